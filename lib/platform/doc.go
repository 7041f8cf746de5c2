// Package platform is a client of the platform's configuration service, which
// nodes read and watch but never write. The service answers these requests:
//
//	GET /v1/revision?after=N&wait=10s   the manifest of the newest revision
//	GET /v1/documents/{name}?revision=N a document of a revision
//	GET /v1/vms?after=N&wait=10s        the list of live and leaving VMs
//
// A request with the parameter after is a long poll. The service answers at once if
// the number of its newest revision or list is greater than after, and otherwise as
// soon as there is such a number. If that takes longer than wait, it answers with
// status 304.
package platform

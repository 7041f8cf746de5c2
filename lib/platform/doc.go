// Package platform describes the platform's configuration service, which nodes
// read and watch and never write.
//
//	GET /v1/revision?after=N&wait=10s   the manifest of the newest revision
//	GET /v1/documents/{name}?revision=N a document of a revision
//	GET /v1/vms?after=N&wait=10s        the list of live and leaving VMs
//
// With after, the service answers at once when it has a newer number, and
// otherwise when it gets one or when the wait is over, then with status 304.
package platform

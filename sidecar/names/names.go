// Package names defines the names under which the services of a sidecar find each
// other in the kernel's directory.
package names

// Names of the services of a sidecar.
const (
	Metrics        = "metrics"
	Journal        = "journal"
	Peers          = "peers"
	Notices        = "notices"
	Publication    = "publication"
	Authentication = "authentication"
	Limiter        = "limiter"
	Gate           = "gate"
	Room           = "room"
	Transfer       = "transfer"
	Relay          = "relay"
	Ingress        = "ingress"
	Admin          = "admin"
	Settings       = "settings"
)

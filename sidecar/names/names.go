// Package names holds the names under which the services of a sidecar find each
// other.
package names

// Names of services.
const (
	Metrics     = "metrics"
	Journal     = "journal"
	Peers       = "peers"
	Notices     = "notices"
	Publication = "publication"
	Gate        = "gate"
	Relay       = "relay"
	Ingress     = "ingress"
	Admin       = "admin"
	Settings    = "settings"
)

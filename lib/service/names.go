// Package service names the services of a node. Each folder below holds one
// service, which performs one duty.
package service

// Names under which the services of a node are registered.
const (
	Metrics   = "metrics"
	Peers     = "peers"
	Config    = "config"
	Reader    = "reader"
	Gossip    = "gossip"
	Router    = "router"
	Observer  = "observer"
	Ejection  = "ejection"
	Gate      = "gate"
	Ledger    = "ledger"
	Handoff   = "handoff"
	Front     = "front"
	Pause     = "pause"
	Admin     = "admin"
	Decisions = "decisions"
	// Credentials holds the keys and certificates of the node.
	Credentials = "credentials"
)

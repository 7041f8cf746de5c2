// Package service defines the names of the services of a node. Each folder below
// it implements one service.
package service

// Names under which the services of a node are registered in the kernel.
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
	// Credentials is the service that holds the keys and certificates of the node.
	Credentials = "credentials"
)

// Package config is the service that owns the documents and the configuration
// in force, and distributes what the platform publishes from node to node.
//
// Its goroutines are connected by rings. The duty owns all state and publishes it
// as an immutable snapshot, from which requests of other nodes are answered. The
// compiler decodes and compiles documents, the receiver fetches documents from
// other nodes, and the ask workers exchange revisions with other nodes. None of
// them blocks the duty.
package config

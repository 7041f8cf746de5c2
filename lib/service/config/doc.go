// Package config is the service that owns the documents and the configuration
// in force, and spreads what the platform publishes from node to node.
//
// Its goroutines are joined by rings. The duty owns all state and publishes it
// as an immutable snapshot, from which other nodes are answered. The compiler
// decodes and compiles, the receiver fetches documents from other nodes, and
// the askers exchange revisions with them. Neither keeps the duty waiting.
package config

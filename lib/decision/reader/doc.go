// Package reader decides which nodes read the platform, and how often.
//
// The readers of a data centre are the members of lowest rendezvous rank among
// those that a node believes alive. Each node computes this for itself, so that
// wrong views make more nodes read, never fewer than one in each part of a
// partition. A budget in each node bounds the sum.
package reader

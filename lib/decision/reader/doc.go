// Package reader decides which nodes read from the platform, and how often.
//
// The readers of a data centre are the members with the lowest rendezvous rank
// among those that a node considers alive. Each node decides for itself, so
// incorrect membership views lead to more readers, and each part of a partition
// keeps at least one. A budget on each node bounds the total rate of reads.
package reader

// Package gossip is the service that maintains the membership of the fleet with
// datagrams between nodes.
//
// One goroutine receives datagrams, verifies their authentication code and puts
// them into the ring. The duty owns the table of members and sends datagrams.
// Datagrams also contain the sender's revision, whether it serves, and ejection
// leases.
//
// A datagram is an HMAC-SHA256 followed by the encoded wire.Datagram that it
// authenticates. Each contains the start time of the sender's process and an
// increasing number, and a receiver accepts each number once. A datagram that was
// captured on its way to another node passes this check, but contains only what its
// sender sent to the fleet.
package gossip

// Package gossip is the service that keeps the membership of the fleet by
// datagrams between nodes.
//
// One goroutine receives datagrams, checks their authentication and puts them
// into the ring. One duty owns the table of members and sends. Datagrams also
// carry the sender's revision, whether it serves, and ejection leases.
//
// A datagram is its HMAC-SHA256 followed by a wire.Datagram. Each carries the
// start of the sender's process and a number that grows, and a receiver takes
// each number once. A datagram that was captured on its way to another node
// passes this check, but says nothing that its sender did not say to the fleet.
package gossip

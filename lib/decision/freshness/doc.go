// Package freshness decides how old the configuration of a node may be.
//
// A node must not accept a key that a newer configuration has taken away for longer
// than a bound. It therefore keeps a Proof: the earliest time at which a read of the
// platform's store that returned its version may have begun. Each way to learn of a
// read makes the proof older, never younger:
//
//   - an own read counts from before its call was sent;
//   - a reply of another node counts from before the request was sent, less the age
//     that the reply states;
//   - an announcement of another node counts from the earliest time at which the
//     sender's clock may have shown the value in it, less the stated age. That takes an
//     earlier exchange with the same incarnation of the sender, see Clocks.
//
// The time of arrival is never used, since a datagram may wait for any time in the
// network or in the socket of a suspended process.
//
// All times of one node are readings of its boot clock. The clock of another node is
// a duration since its start.
package freshness

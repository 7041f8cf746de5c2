// Package ratelimit decides which requests of an organisation are within its limit,
// which holds over all nodes together.
//
// Each organisation has five ledgers, nodes that are chosen by rendezvous hashing. A
// ledger grants credits from a token bucket with a fifth of the rate and burst. The
// ledgers do not communicate, so the sum of what they grant is bounded whatever they
// know of each other. The node that a request arrives at, the entry, keeps a stock of
// credits for a short time and asks a ledger when it is empty.
//
// The nodes learn of changes in the list of nodes at different times. A node that has
// become a ledger by such a change grants nothing until all others know of it, so
// that a ledger and its replacement do not grant together.
//
// All times that are passed to one value must come from one clock that includes the
// time in which the machine was suspended.
package ratelimit

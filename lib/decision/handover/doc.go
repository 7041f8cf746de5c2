// Package handover decides whether a request that was handed from an entry
// node to a gate may start.
//
// A gate reserves a slot for an attempt and returns a grant. Work starts only
// when the grant is committed: once, in the incarnation of the gate that made
// it, before it expires, and not after the gate was paused. Settle voids a
// grant that was not committed, so that a commit that arrives later is refused
// and the answer "not run" is true.
package handover

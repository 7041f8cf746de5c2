// Package handover decides whether a request that an entry node handed to a
// gate may start.
//
// A gate reserves a slot for an attempt and returns a grant. Work starts only
// when the grant is committed. The gate accepts a commit once, only if it made
// the grant itself in its current incarnation, only before the grant expires,
// and not after its process was paused. Settle voids a grant that was not
// committed, so that a commit that arrives later is refused and the answer "not
// run" stays true.
package handover

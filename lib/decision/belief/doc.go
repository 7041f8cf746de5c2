// Package belief estimates whether an instance fails its requests at present.
//
// An instance is good or failing, and changes between the two at random (a
// two-state hidden Markov model). Each outcome of a request is evidence: an
// instance that fails seldom returns a success, a good one seldom a failure. A
// single failure therefore moves the belief far, and without evidence it returns
// to the share of time that instances fail on average. The load answered is an
// instance with about five requests a second that fails most of them for a few
// seconds, while its health check passes: counts over a window would notice it
// only when the episode is over.
package belief

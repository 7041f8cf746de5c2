// Package belief estimates the probability that an instance fails its requests
// at present.
//
// The estimate is that of a hidden Markov model with two states: an instance is
// good or failing, and changes between the two at random. Each outcome of a
// request is evidence, as a failing instance seldom returns a success and a
// good one seldom a failure. A single failure therefore changes the probability
// much. Without evidence the probability returns to the share of time that
// instances fail on average.
//
// The model is meant for an instance with about five requests a second that
// fails most of them for a few seconds while its health check passes. Counting
// failures over a window would detect such an episode only when it is over.
package belief

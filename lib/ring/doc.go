// Package ring provides the bounded rings that join the duties of a process.
//
// A Ring is a bounded first-in first-out queue for any number of producers and
// consumers. A producer chooses between waiting for room (Put) and a refusal
// when the ring is full (Offer). Waiting goroutines block; they never spin.
// After Close, producers are refused and consumers receive what is left and
// then an error of kind KindClosed.
//
// A Call carries a request and the place of its reply, so that a duty can
// answer the goroutine that asked.
package ring

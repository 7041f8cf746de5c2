// Package ring provides the bounded queues that join the goroutines of a process.
//
// A Ring is a bounded first-in, first-out queue for any number of producers and
// consumers. When the ring is full, Put waits for room and Offer returns an error.
// Waiting goroutines block; they never spin. After Close, producers get an error
// of kind KindClosed; consumers receive the remaining items and then that error.
//
// A Duty is a loop on one goroutine that handles the items of a ring and ticks of
// a timer. A Call carries a request and the channel for its reply, so that a Duty
// can answer the goroutine that asked.
package ring

// Package handoff is the service with which an entry node hands requests to the
// gates and returns their answers.
//
// Each request in flight has its own goroutines: the goroutine of the caller
// chooses an instance, reserves a slot and commits; one goroutine receives the
// gate's messages and one sends the body. Bounded rings connect them.
package handoff

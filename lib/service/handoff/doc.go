// Package handoff is the service that hands requests from the entry node to
// the gates and returns their answers.
//
// Each request in flight is a duty of its own: the goroutine of the caller
// chooses, reserves and commits; one goroutine receives the gate's messages and
// one sends the body. They are joined by bounded rings of pieces.
package handoff

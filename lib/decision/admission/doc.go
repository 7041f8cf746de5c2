// Package admission decides which requests run in the slots of one instance, in
// which order they wait, and which are refused.
//
// The load answered is a demand that exceeds the slots for seconds. A request is
// refused as soon as it is known that it cannot be served before its deadline, so
// that it can be offered elsewhere or its caller be told. Waiting requests that
// can still be answered within their target run first, the most urgent route
// first, and within a route the one whose target ends first.
package admission

// Package slot decides which requests get the slots of an instance, which
// wait, and which are refused.
//
// A Gate belongs to one instance and is used by one goroutine. It starts
// nothing by itself: each call returns the requests that got a slot or were
// refused.
package slot

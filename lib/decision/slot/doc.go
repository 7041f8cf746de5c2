// Package slot decides which requests get the slots of an instance, which
// wait, and which are refused.
//
// A Gate belongs to one instance and is used by one goroutine. It starts
// nothing by itself: each call returns the requests that got a slot or were
// refused. The order of the queue is a type argument: Fair is the policy in
// use, FIFO is the baseline.
//
// Fair keeps one flow for each organisation and class. A flow's next request
// starts in the order of virtual start tags, which advance by the expected run
// time divided by the organisation's weight. All operations of a Gate with a
// Fair queue take O(log n) time in the number of waiting requests.
package slot

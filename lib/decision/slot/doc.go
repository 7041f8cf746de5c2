// Package slot decides which requests run in the slots of an instance, which
// wait in its queue, and which are refused.
//
// A Gate controls one instance and is used by one goroutine. It has no timers:
// each call returns the requests that were granted a slot or refused by it. The
// queueing policy is a type argument: Fair is the policy in use, FIFO is the
// baseline for comparisons.
//
// Fair implements start-time fair queueing with one flow for each organisation
// and class. The flow with the smallest virtual start tag goes first; its tag
// then advances by the expected run time of the request divided by the weight of
// the organisation. All operations of a Gate with a Fair queue take O(log n)
// time in the number of waiting requests.
package slot

// Package retry decides whether and when a request may be attempted again: the
// budgets of retries and hedges, the delay before a retry, the wait at each
// gate, and the refusal at the entry node while all gates are full.
//
// An offer to another gate after a refusal is not a retry, because the refused
// attempt used no capacity.
package retry

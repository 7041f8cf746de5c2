// Package retry decides whether an attempt may be repeated: budgets of retries
// and hedges, delays with full jitter, the wait at each gate, and the refusal
// at the entry while all gates are full.
//
// Moving on to another gate after a refusal is not a retry, as the refused
// attempt took no capacity.
package retry

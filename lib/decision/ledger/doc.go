// Package ledger decides which request may run the work of an idempotency key.
//
// Each key has an owner, one VM of its service. The owner grants a key to one
// claimant and records the claim. It grants nothing while a claim may exist
// that it does not know: for a time after its start, after a pause, and for
// keys that another VM owned before the list of VMs changed. Keys in that time
// are in quarantine. No exception is made for the first start of a fleet,
// because nothing inside the fleet distinguishes it from a restart of all
// nodes, which loses all claims.
package ledger

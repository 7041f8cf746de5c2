// Package ledger decides which request may run the work of an idempotency key.
//
// Each key has a home, one VM of its service. The home grants a key to one
// claimant and remembers the claim. It grants nothing while an earlier claim
// may exist that it does not know: after its start, after a pause, and for
// keys whose home was another VM before the list of VMs changed. Nothing
// inside the fleet tells the first start of a fleet from a restart of all its
// nodes, in which all claims are lost, so there is no exception for it.
package ledger

// Package ejection is the service that takes suspect instances out of the
// choice, under the floor of their service.
//
// One duty owns the tokens that this VM holds, the reports about instances and
// the leases that this node knows. It publishes an immutable Snapshot, which the
// router reads for each choice. A few sender goroutines carry reports and new
// leases to other nodes; they take their jobs from one bounded ring.
package ejection

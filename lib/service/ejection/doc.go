// Package ejection is the service that ejects suspicious instances, so that the
// router chooses others, while each service keeps its floor of instances in use.
//
// One duty owns the tokens that this VM holds, the reports about instances and
// the leases that this node knows. It publishes an immutable Snapshot, which the
// router reads for each choice. A few sender goroutines send reports and new
// leases to other nodes. They take their jobs from one bounded ring.
package ejection

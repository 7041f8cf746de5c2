// Package member implements a variant of the SWIM membership protocol, which
// decides which nodes of the fleet are alive.
//
// Each node pings one member a second. When no acknowledgement arrives, it asks
// three other members to ping the target, so that a broken link between two
// nodes makes neither of them suspect. A member that none of them reached is
// suspected, and is declared dead unless it refutes the suspicion with a higher
// incarnation. Updates are carried by pings, ping requests and
// acknowledgements, and by at most two announcements a second.
//
// Updates are ordered by incarnation and then by state (alive, suspect,
// leaving, dead). A table keeps the greatest update of each member, so tables
// agree regardless of the order in which updates arrive. The first incarnation
// of a node is its start time in nanoseconds, so a restart supersedes every
// refutation of the previous run.
//
// The package performs no input or output: a Table returns the messages to
// send. A Table must be used by one goroutine only.
package member

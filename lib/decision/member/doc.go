// Package member decides which nodes of the fleet are alive, in the manner of
// SWIM.
//
// Each node pings one member a second and asks three others to ping it when no
// acknowledgement arrives, so that a link that is cut between two nodes makes
// neither of them suspect. A member that nobody reached is suspected, and dies
// unless it refutes the suspicion with a higher incarnation. News travels on
// the pings and acknowledgements, and on at most two announcements a second.
//
// An update is ordered by its incarnation and then by its state (alive,
// suspect, leaving, dead). Tables keep the greatest update of each member, so
// that they agree whatever the order in which updates arrive. The first
// incarnation of a node is the time of its start in nanoseconds, so a restart
// is newer than every refutation of the run before.
//
// The package performs no input or output: a Table returns the messages to
// send. It is used by one goroutine.
package member

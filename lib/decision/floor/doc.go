// Package floor decides which suspect instances may be ejected so that the
// healthy capacity of a service never falls below its floor.
//
// A service with n instances, l of them leaving, and floor f has
// max(0, n - l - f) tokens. Each token has one holder, a VM that every node
// computes from the register. A holder grants its token to one instance at a
// time, as a lease that ends by itself. A node keeps at most one lease for each
// token, so that it never takes more instances out of its choice than there are
// tokens, whatever is lost, late, doubled or partitioned.
package floor

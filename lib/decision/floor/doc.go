// Package floor decides which suspect instances may be ejected so that the
// healthy capacity of a service never falls below its floor.
//
// The floor of a service is the smallest number of instances that ejections may
// leave in use.
// A service with n instances, l of them leaving, and floor f has
// max(0, n - l - f) tokens. Each token has one holder, a VM that every node
// computes from the register. A holder grants its token to one instance at a
// time, as a lease that expires. A node keeps at most one lease for each token,
// so it never ejects more instances than there are tokens, even when messages
// are lost, delayed or duplicated or the network is partitioned.
package floor

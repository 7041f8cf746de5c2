// Package spread decides to whom a node sends a notice that all nodes need.
//
// Traffic between data centres is dear and the links of the nodes are narrow, so a
// notice crosses to each other data centre only once or twice. The nodes that
// receive it there pass it on to their neighbours. The number of datagrams between
// data centres then grows with the data centres, not with the nodes.
package spread

import (
	"math/rand/v2"
	"net/netip"
)

// forwarders is the number of nodes of another data centre that get a notice to
// pass it on. With two, a lost datagram or a node that is down does not keep the
// notice from the data centre.
const forwarders = 2

// Forwarders returns the nodes that pass a notice on, chosen at random: up to two of
// each data centre.
func Forwarders(rng *rand.Rand, dataCentres [][]netip.Addr) []netip.Addr {
	var out []netip.Addr
	for _, nodes := range dataCentres {
		if len(nodes) <= forwarders {
			out = append(out, nodes...)
			continue
		}
		first := rng.IntN(len(nodes))
		// The second differs from the first, at a distance of 1 to len-1.
		second := (first + 1 + rng.IntN(len(nodes)-1)) % len(nodes)
		out = append(out, nodes[first], nodes[second])
	}
	return out
}

package spread

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"

	"cassiarack.example/lib/golden"
)

// dataCentres returns the given number of data centres with n nodes each.
func dataCentres(count, n int) [][]netip.Addr {
	out := make([][]netip.Addr, count)
	for d := range out {
		for i := range n {
			out[d] = append(out[d], netip.AddrFrom4([4]byte{10, byte(d), byte(i / 250), byte(i % 250)}))
		}
	}
	return out
}

// TestForwarders guards against datagrams between data centres that grow with the
// nodes, and against notices that do not reach a data centre although most of its
// nodes are up. One datagram in 100 is lost, and a fifth of the nodes is down.
func TestForwarders(t *testing.T) {
	const (
		notices = 2000
		loss    = 0.01
		down    = 0.2
	)
	var b strings.Builder
	for _, size := range []struct{ dataCentres, nodes int }{{2, 9}, {2, 30}, {4, 47}, {11, 275}} {
		rng := rand.New(rand.NewPCG(1, 1))
		all := dataCentres(size.dataCentres, size.nodes)
		sent, missed := 0, 0
		for range notices {
			reached := make(map[byte]bool)
			targets := Forwarders(rng, all)
			for i, a := range targets {
				if i > 0 && targets[i-1] == a {
					t.Fatalf("%v is chosen twice", a)
				}
				if rng.Float64() >= loss && rng.Float64() >= down {
					reached[a.As4()[1]] = true
				}
			}
			sent += len(targets)
			missed += size.dataCentres - len(reached)
		}
		fmt.Fprintf(&b, "%d other data centres of %d nodes: %.1f datagrams a notice instead of %d, %.1f%% of data centres missed\n",
			size.dataCentres, size.nodes, float64(sent)/notices, size.dataCentres*size.nodes,
			100*float64(missed)/float64(notices*size.dataCentres))
	}
	golden.Check(t, "forwarders", b.String())
}

package reader

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassiarack.example/lib/golden"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func fleet(nodes, dataCentres int) []Member {
	ms := make([]Member, nodes)
	for i := range ms {
		ms[i] = Member{Name: fmt.Sprintf("vm-%04d", i), DataCentre: fmt.Sprintf("dc-%02d", i%dataCentres), Alive: true}
	}
	return ms
}

// countReaders returns the number of readers if node i has the members that view(i)
// returns.
func countReaders(ms []Member, view func(self int) []Member) int {
	n := 0
	for i, m := range ms {
		if IsReader(epoch, m.Name, m.DataCentre, view(i)) {
			n++
		}
	}
	return n
}

// wrongViews returns views in which each node considers a random share of the
// members of its data centre dead.
func wrongViews(ms []Member, share float64) func(int) []Member {
	rng := rand.New(rand.NewPCG(1, 2))
	return func(self int) []Member {
		out := dataCentreOf(ms, self)
		for i := range out {
			out[i].Alive = rng.Float64() >= share
		}
		return out
	}
}

func dataCentreOf(ms []Member, self int) []Member {
	var out []Member
	for _, m := range ms {
		if m.DataCentre == ms[self].DataCentre {
			out = append(out, m)
		}
	}
	return out
}

// partitionedViews returns views in which each data centre is partitioned into
// parts.
func partitionedViews(ms []Member, dataCentres, parts int) func(int) []Member {
	return func(self int) []Member {
		out := dataCentreOf(ms, self)
		for i := range out {
			out[i].Alive = i%parts == self/dataCentres%parts
		}
		return out
	}
}

// TestReaders guards against more readers than the platform supports, and
// against a part of a partition without any reader. An idle reader makes two
// watch requests in 10 s, and at most one read a second after its burst.
func TestReaders(t *testing.T) {
	is := is.New(t)
	const platformReads = 2000
	var b strings.Builder
	for _, c := range []struct{ nodes, dataCentres int }{{25, 3}, {100, 3}, {1000, 6}, {3300, 12}} {
		ms := fleet(c.nodes, c.dataCentres)
		right := countReaders(ms, func(int) []Member { return ms })
		is.Equal(right, PerDataCentre*c.dataCentres)
		fmt.Fprintf(&b, "%d nodes in %d data centres: %d readers", c.nodes, c.dataCentres, right)
		for _, share := range []float64{0.1, 0.5, 0.9} {
			n := countReaders(ms, wrongViews(ms, share))
			is.True(n >= right)
			is.True(n*2/10 < platformReads)
			fmt.Fprintf(&b, "; %.0f%% wrongly dead: %d", share*100, n)
		}
		for _, parts := range []int{2, 4} {
			n := countReaders(ms, partitionedViews(ms, c.dataCentres, parts))
			is.Equal(n, right*parts)
			fmt.Fprintf(&b, "; %d parts: %d", parts, n)
		}
		isolated := countReaders(ms, func(int) []Member { return nil })
		fmt.Fprintf(&b, "; each node isolated: %d, %.0f watches a second\n", isolated, float64(isolated)*2/10)
	}
	golden.Check(t, "readers", b.String())
}

// TestBudget guards against reads above the rate limit after the burst, and
// against readers that retry at the same time.
func TestBudget(t *testing.T) {
	is := is.New(t)
	b := NewBudget()
	for range ReadBurst {
		is.Equal(b.Reserve(epoch), time.Duration(0))
	}
	is.Equal(b.Reserve(epoch), time.Second)
	is.Equal(b.Reserve(epoch.Add(time.Second)), time.Second)
	rng := rand.New(rand.NewPCG(1, 2))
	for failures := range 100 {
		seen := make(map[time.Duration]bool)
		for range 20 {
			d := Backoff(rng, failures)
			is.True(d >= 0 && d <= backoffMax)
			seen[d] = true
		}
		is.True(len(seen) > 10)
	}
}

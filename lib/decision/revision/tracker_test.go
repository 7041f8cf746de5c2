package revision

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/golden"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func rev(number uint64, digest byte) config.Revision {
	return config.Revision{Number: number, Digest: [32]byte{digest}}
}

// TestOffer guards against putting a revision in force that is older, forked or
// invalid, and against refusing one without a reason.
func TestOffer(t *testing.T) {
	var b strings.Builder
	tr := &Tracker{Self: "a", Started: epoch}
	neighbours := []string{"a", "b", "c"}
	offer := func(what string, r config.Revision, from Source, fault error) {
		v := tr.Offer(epoch, r, from, neighbours, fault)
		force, ok := tr.InForce()
		fmt.Fprintf(&b, "%s: %s %q; held %d, in force %d %v\n", what, v.Outcome, v.Reason, tr.Held().Number, force.Number, ok)
	}
	platform, peer := Source{Name: "platform"}, Source{Name: "b", Serving: true}
	offer("stale platform after the start", rev(3, 1), platform, nil)
	offer("platform has a fork of the held revision", rev(3, 2), platform, nil)
	offer("serving peer has the number with another digest", rev(3, 3), peer, nil)
	answer := func(what string, a Answer) {
		tr.HandleAnswer(epoch.Add(time.Second), a)
		fmt.Fprintf(&b, "%s: %q\n", what, tr.WaitingReason(epoch.Add(time.Second)))
	}
	asked := epoch.Add(time.Millisecond)
	answer("peer that is not a neighbour does not serve", Answer{Peer: "x", Asked: asked})
	answer("peer serves a newer revision", Answer{Peer: "b", Asked: asked, Revision: rev(7, 1), Serving: true})
	answer("a neighbour does not serve", Answer{Peer: "c", Asked: asked})
	answer("same revision, asked before the start", Answer{Peer: "b", Asked: epoch.Add(-1), Revision: rev(3, 3), Serving: true})
	offer("fetched from the peer", rev(7, 1), peer, nil)
	answer("peer serves the same revision", Answer{Peer: "b", Asked: asked, Revision: rev(7, 1), Serving: true})
	offer("older", rev(6, 1), platform, nil)
	offer("fork", rev(7, 2), peer, nil)
	offer("invalid", rev(8, 1), platform, errors.New("rules:1:1: unknown key"))
	offer("invalid again", rev(8, 1), peer, nil)
	offer("same again", rev(7, 1), platform, nil)
	offer("newer", rev(9, 1), platform, nil)
	tr.Paused(epoch.Add(time.Minute), PauseLimit)
	fmt.Fprintf(&b, "after a short pause: %q\n", tr.WaitingReason(epoch))
	tr.Paused(epoch.Add(time.Minute), PauseLimit+1)
	fmt.Fprintf(&b, "after a long pause: %q\n", tr.WaitingReason(epoch))
	golden.Check(t, "offer", b.String())
}

// TestNeighbours guards against a node that serves a stale revision without any
// answer, because its data centre has no other VM or because the node is not in
// the register.
func TestNeighbours(t *testing.T) {
	var b strings.Builder
	c := &config.Configuration{VMs: make(map[string]*config.VM)}
	for _, v := range []struct{ name, dataCentre string }{
		{"a", "one"}, {"b", "two"}, {"c", "two"}, {"d", "three"}, {"e", "three"}, {"f", "three"},
	} {
		c.VMs[v.name] = &config.VM{Name: v.name, DataCentre: v.dataCentre}
	}
	for _, self := range []string{"a", "b", "d", "x"} {
		tr := &Tracker{Self: self, Started: epoch}
		tr.Offer(epoch, rev(1, 1), Source{Name: "platform"}, Neighbours(c, self), nil)
		fmt.Fprintf(&b, "%s: serves without answers %v, %s\n", self, tr.MayServe(epoch), tr.WaitingReason(epoch))
	}
	golden.Check(t, "neighbours", b.String())
}

// TestRejectedBound guards against memory use that grows with each invalid
// revision.
func TestRejectedBound(t *testing.T) {
	is := is.New(t)
	tr := &Tracker{Self: "a", Started: epoch}
	for n := range uint64(10 * maxRejected) {
		tr.Offer(epoch, rev(n+1, 1), Source{}, nil, errors.New("invalid"))
	}
	is.Equal(len(tr.rejected), maxRejected)
	is.Equal(len(tr.rejectedOrder), maxRejected)
}

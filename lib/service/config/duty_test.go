package config

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/decision/revision"
	"cassiarack.example/lib/golden"
	"cassiarack.example/lib/ring"
	"cassiarack.example/lib/service/peers"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newDuty returns a service whose commands the test applies itself, without the
// goroutines of the service.
func newDuty() *Service {
	s := &Service{VM: "self", Random: rand.New(rand.NewPCG(1, 2)), Log: log.New(io.Discard),
		commands: ring.New[command](commandRingSize), jobs: ring.New[job](1), pulls: ring.New[pull](1),
		questions: ring.New[question](questionRingSize), adopted: ring.New[config.Revision](adoptedRingSize), scope: tally.NoopScope}
	s.duty.tracker = revision.Tracker{Self: s.VM, Started: epoch}
	s.duty.lastRun = epoch
	s.snapshot.Store(&snapshot{})
	return s
}

func revisionOf(number uint64) config.Revision {
	return config.Revision{Number: number, Digest: [32]byte{byte(number)}}
}

// TestSources guards against a node that keeps waiting for a revision after all
// transfers from its sources failed, and against more than one transfer at a time.
func TestSources(t *testing.T) {
	var b strings.Builder
	s := newDuty()
	node := netip.MustParseAddrPort("127.0.0.1:1")
	do := func(what string, c command) {
		s.handle(epoch, c)
		p, err := s.pulls.Take(doneContext)
		if err != nil {
			fmt.Fprintf(&b, "%s: no transfer\n", what)
			return
		}
		fmt.Fprintf(&b, "%s: revision %d from %s\n", what, p.rev.Number, p.from.vm)
	}
	report := func(vm string, number uint64) peerRevision {
		return peerRevision{vm: vm, node: node, rev: revisionOf(number), serving: true}
	}
	lost := pulled{err: errors.New("lost")}
	do("revision 9 reported by a", report("a", 9))
	do("revision 9 reported by b", report("b", 9))
	do("revision 9 reported by b again", report("b", 9))
	do("revision 8 reported by c", report("c", 8))
	do("transfer from a lost", lost)
	do("transfer from b lost", lost)
	do("revision 8 reported by c again", report("c", 8))
	do("revision 9 reported by a again", report("a", 9))
	do("transfer from c lost", lost)
	do("revision 10 reported by d without an address", peerRevision{vm: "d", rev: revisionOf(10)})
	golden.Check(t, "sources", b.String())
}

// TestPause guards against a node that serves between the end of a pause of its
// process and the moment at which the duty detects the pause.
func TestPause(t *testing.T) {
	is := is.New(t)
	s := newDuty()
	s.duty.tracker.Started = time.Now()
	s.duty.lastRun = time.Now()
	c := contentOf(t, 1, map[string]string{"rules": "{}"})
	s.handle(time.Now(), compiled{job: job{content: c}, conf: &config.Configuration{Revision: c.Revision}})
	s.handle(time.Now(), answered{answer: revision.Answer{Peer: "a", Asked: time.Now(), Revision: c.Revision, Serving: true}})
	is.True(s.Serving())
	is.Equal(s.Current().Revision, c.Revision)
	past := time.Now().Add(-revision.PauseLimit - time.Second)
	s.heartbeat.Store(&past)
	is.True(!s.Serving())
	is.Equal(s.State().Waiting, "the process was paused")
	s.duty.lastRun = past
	s.tick(time.Now())
	is.True(!s.Serving())
	is.Equal(s.Current().Revision, c.Revision)
}

// TestUnresponsiveProvider guards against a transfer that occupies the receiver for
// the whole fetchTimeout when the answers of a node are lost.
func TestUnresponsiveProvider(t *testing.T) {
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer lis.Close()
	s := newDuty()
	s.peers = &peers.Service{Log: s.Log}
	is.NoErr(s.peers.Bind(nil))
	r := &receiver{s: s, completed: make(map[string]config.Document)}
	ctx, cancel := context.WithTimeout(t.Context(), fetchTimeout/2)
	defer cancel()
	_, err = r.fetch(ctx, pull{rev: revisionOf(1), from: source{node: lis.Addr().(*net.TCPAddr).AddrPort()}})
	is.True(err != nil)
	is.NoErr(ctx.Err())
}

package config

import (
	"context"
	"net/netip"
	"time"

	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/decision/revision"
	"cassiarack.example/lib/wire"
)

const (
	// askWorkers is the number of goroutines that ask other nodes. With 32, a node
	// hears half of a data centre of 275 VMs while the answers count, even if a
	// third of them is dead and each question to those takes askTimeout.
	askWorkers = 32
	// questionRingSize bounds the questions that wait. A question that finds the ring
	// full is asked again in a later round.
	questionRingSize = 128
	// askTimeout bounds a question and its answer.
	askTimeout = time.Second
)

// doneContext is a context that is done, for a Take that must not wait.
var doneContext = func() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}()

// question is a node to exchange revisions with.
type question struct {
	node netip.AddrPort
}

// askPeers asks nodes of the settings and neighbours.
func (s *Service) askPeers() {
	for _, i := range s.Random.Perm(len(s.Seeds))[:min(seedsPerRound, len(s.Seeds))] {
		s.enqueueQuestion(s.Seeds[i])
	}
	s.exchangeWithMatching(neighboursPerRound, func(v *config.VM) bool { return s.duty.tracker.IsNeighbour(v.Name) })
	s.exchangeWithRandom(1)
}

// exchangeWithRandom exchanges revisions with n random VMs.
func (s *Service) exchangeWithRandom(n int) {
	s.exchangeWithMatching(n, func(*config.VM) bool { return true })
}

func (s *Service) exchangeWithMatching(n int, want func(*config.VM) bool) {
	if s.duty.conf == nil {
		return
	}
	var nodes []netip.AddrPort
	seen := 0
	// Reservoir sampling draws n VMs evenly without a copy of all of them.
	for _, v := range s.duty.conf.VMs {
		if v.Name == s.VM || !want(v) {
			continue
		}
		seen++
		if len(nodes) < n {
			nodes = append(nodes, v.Node)
		} else if i := s.Random.IntN(seen); i < n {
			nodes[i] = v.Node
		}
	}
	for _, a := range nodes {
		s.enqueueQuestion(a)
	}
}

func (s *Service) enqueueQuestion(node netip.AddrPort) {
	if s.questions.Offer(question{node}) != nil {
		s.scope.Counter("asks_dropped").Inc(1)
	}
}

// askQueued asks other nodes until ctx is done.
func (s *Service) askQueued(ctx context.Context) {
	for {
		a, err := s.questions.Take(ctx)
		if err != nil {
			return
		}
		if err := s.askNode(ctx, a.node); err != nil && ctx.Err() == nil {
			s.scope.Counter("asks_failed").Inc(1)
			s.Log.Debug("Question failed.", "node", a.node, "err", err)
		}
	}
}

func (s *Service) askNode(ctx context.Context, node netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asked := time.Now()
	client := wire.NewDRPCFleetClient(s.peers.Conn(ctx, node))
	sn := s.snapshot.Load()
	r, err := client.Confirm(ctx, &wire.ConfirmRequest{Name: s.VM, Revision: toRevision(sn.held()),
		Serving: s.isServing(sn), List: sn.listNumber()})
	if err != nil {
		return err
	}
	a := answered{node: node, answer: revision.Answer{Peer: r.GetName(), Asked: asked,
		Revision: fromRevision(r.GetRevision()), Serving: r.GetServing()}}
	if err := s.commands.Offer(a); err != nil {
		return err
	}
	if r.GetList() <= sn.listNumber() {
		return nil
	}
	l, err := client.List(ctx, &wire.ListRequest{After: sn.listNumber()})
	if err != nil {
		return err
	}
	return s.commands.Offer(listUpdate{sn.list.apply(l)})
}

// answered is the answer to a question.
type answered struct {
	node   netip.AddrPort
	answer revision.Answer
}

func (a answered) apply(now time.Time, s *Service) {
	s.duty.tracker.HandleAnswer(now, a.answer)
	peerRevision{vm: a.answer.Peer, node: a.node, rev: a.answer.Revision, serving: a.answer.Serving}.apply(now, s)
}

func (s *snapshot) listNumber() uint64 {
	if s.list == nil {
		return 0
	}
	return s.list.Number
}

func toRevision(r config.Revision) *wire.Revision {
	if r.Number == 0 {
		return nil
	}
	return &wire.Revision{Number: r.Number, Digest: r.Digest[:]}
}

// fromRevision returns the revision of a message. A digest of another length
// counts as no revision.
func fromRevision(r *wire.Revision) config.Revision {
	out := config.Revision{Number: r.GetNumber()}
	if copy(out.Digest[:], r.GetDigest()) != len(out.Digest) || len(r.GetDigest()) != len(out.Digest) {
		return config.Revision{}
	}
	return out
}

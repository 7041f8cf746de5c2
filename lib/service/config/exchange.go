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
	// receives the answers of half of a data centre of 275 VMs within the lifetime
	// of an answer, even if a third of the VMs is dead and each question to a dead
	// one takes askTimeout.
	askWorkers = 32
	// questionRingSize limits the number of waiting questions. A question that is
	// dropped because the ring is full is repeated in a later round.
	questionRingSize = 128
	// askTimeout limits the time of a question, its answer and the fetch of a newer
	// list of VMs.
	askTimeout = time.Second
)

// doneContext is a cancelled context, for a Take that must not block.
var doneContext = func() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}()

// question is a request to exchange revisions with a node.
type question struct {
	node netip.AddrPort
}

// askPeers asks random nodes of the settings, random neighbours and one random VM for
// their revisions.
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

// exchangeWithMatching exchanges revisions with n random VMs, other than this one,
// for which want returns true.
func (s *Service) exchangeWithMatching(n int, want func(*config.VM) bool) {
	if s.duty.conf == nil {
		return
	}
	var nodes []netip.AddrPort
	seen := 0
	// Reservoir sampling selects n VMs uniformly without a copy of all of them.
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

// enqueueQuestion queues a question to a node, or drops it if the ring is full.
func (s *Service) enqueueQuestion(node netip.AddrPort) {
	if s.questions.Offer(question{node}) != nil {
		s.scope.Counter("asks_dropped").Inc(1)
	}
}

// askQueued sends the queued questions until ctx is done.
func (s *Service) askQueued(ctx context.Context) {
	for {
		a, err := s.questions.Take(ctx)
		if err != nil {
			return
		}
		if err := s.askNode(ctx, a.node); err != nil && ctx.Err() == nil {
			s.scope.Counter("asks_failed").Inc(1)
			s.Log.Debug("Asking a node for its revision failed.", "node", a.node, "err", err)
		}
	}
}

// askNode exchanges revisions with a node, and fetches its list of VMs if that is
// newer.
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

// answered is the command that handles the answer to a question.
type answered struct {
	node   netip.AddrPort
	answer revision.Answer
}

func (a answered) apply(now time.Time, s *Service) {
	s.duty.tracker.HandleAnswer(now, a.answer)
	peerRevision{vm: a.answer.Peer, node: a.node, rev: a.answer.Revision, serving: a.answer.Serving}.apply(now, s)
}

// listNumber returns the number of the list of VMs, or 0 without a list.
func (s *snapshot) listNumber() uint64 {
	if s.list == nil {
		return 0
	}
	return s.list.Number
}

// toRevision returns the message for a revision, or nil if its number is 0.
func toRevision(r config.Revision) *wire.Revision {
	if r.Number == 0 {
		return nil
	}
	return &wire.Revision{Number: r.Number, Digest: r.Digest[:]}
}

// fromRevision returns the revision of a message. If the digest has the wrong length,
// it returns the zero revision.
func fromRevision(r *wire.Revision) config.Revision {
	out := config.Revision{Number: r.GetNumber()}
	if copy(out.Digest[:], r.GetDigest()) != len(out.Digest) || len(r.GetDigest()) != len(out.Digest) {
		return config.Revision{}
	}
	return out
}

package router

import (
	"context"
	"time"

	"cassiarack.example/lib/decision/choice"
	"cassiarack.example/lib/ring"
)

// ExplainedCandidate is an instance with the values that the choice uses.
type ExplainedCandidate struct {
	Instance   string
	DataCentre string
	choice.Candidate
}

// Explain implements Router.
func (s *Service[P]) Explain(ctx context.Context, q Query) ([]ExplainedCandidate, error) {
	call := ring.NewCall[Query, []ExplainedCandidate](q)
	if err := s.commands.Offer(command{explain: &call}); err != nil {
		return nil, err
	}
	return call.Wait(ctx)
}

func (s *Service[P]) explain(now time.Time, q Query) []ExplainedCandidate {
	cs := s.candidates(now, q)
	out := make([]ExplainedCandidate, cs.Len())
	for i, inst := range cs.state.instances {
		out[i] = ExplainedCandidate{Instance: inst.Name, DataCentre: inst.VM.DataCentre, Candidate: cs.At(i)}
	}
	return out
}

package router

import (
	"context"
	"time"

	"cassiarack.example/lib/decision/choice"
	"cassiarack.example/lib/ring"
)

// Explained is an instance as the choice sees it.
type Explained struct {
	Instance   string
	DataCentre string
	choice.Candidate
}

// Explain implements Router.
func (s *Service[P]) Explain(ctx context.Context, q Query) ([]Explained, error) {
	call := ring.NewCall[Query, []Explained](q)
	if err := s.commands.Offer(command{explain: &call}); err != nil {
		return nil, err
	}
	return call.Wait(ctx)
}

func (s *Service[P]) explain(now time.Time, q Query) []Explained {
	cs := s.candidates(now, q)
	out := make([]Explained, cs.Len())
	for i, inst := range cs.of.instances {
		out[i] = Explained{Instance: inst.Name, DataCentre: inst.VM.DataCentre, Candidate: cs.At(i)}
	}
	return out
}

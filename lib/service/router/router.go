// Package router is the service that chooses an instance for each request and
// keeps the load picture that the choice needs.
package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"cassiarack.example/lib/decision/choice"
	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/kernel"
	"cassiarack.example/lib/ring"
	"cassiarack.example/lib/service"
	"cassiarack.example/lib/service/ejection"
)

// ringSize bounds the questions and reports that wait for the duty.
const ringSize = 4096

// Query asks for an instance.
type Query struct {
	Service *config.Service
	// Idempotent requests may go to instances that return on trial.
	Idempotent bool
	// Exclude holds the instances that were tried before.
	Exclude []string
}

// Load is the occupancy that a gate reported.
type Load struct {
	Running, Waiting int
}

// Report tells the end of an attempt at an instance.
type Report struct {
	Instance string
	// Load is the last load of the gate, if one was reported.
	Load *Load
}

// chosen is the answer to a Query.
type chosen struct {
	instance *config.Instance
	err      error
}

// command is one command to the duty.
type command struct {
	choose  *ring.Call[Query, chosen]
	explain *ring.Call[Query, []choice.Candidate]
	report  *Report
}

// Service chooses instances with policy P.
type Service[P choice.Policy] struct {
	// Policy is the policy in use.
	Policy P
	// DataCentre is the node's own.
	DataCentre string
	// Random is the random source.
	Random *rand.Rand

	ejection *ejection.Service
	commands *ring.Ring[command]
	chooser  choice.Chooser[P]
	picture  map[string]*picture
}

// picture is what the node knows about the load of an instance.
type picture struct {
	outstanding int
	load        Load
	reported    time.Time
}

// Router is how other services use the service, whatever its policy.
type Router interface {
	// Choose returns an instance. Each choice must be followed by a Report.
	Choose(ctx context.Context, q Query) (*config.Instance, error)
	// Explain returns the candidates of a query without choosing one.
	Explain(ctx context.Context, q Query) ([]choice.Candidate, error)
	// Report tells the end of an attempt.
	Report(ctx context.Context, r Report) error
}

// Bind implements kernel.Service.
func (s *Service[P]) Bind(dir *kernel.Directory) error {
	var err error
	if s.ejection, err = kernel.Find[*ejection.Service](dir, service.Ejection); err != nil {
		return err
	}
	s.commands = ring.New[command](ringSize)
	s.chooser = choice.Chooser[P]{Policy: s.Policy, Random: s.Random}
	s.picture = make(map[string]*picture)
	return nil
}

// Choose implements Router.
func (s *Service[P]) Choose(ctx context.Context, q Query) (*config.Instance, error) {
	call := ring.NewCall[Query, chosen](q)
	if err := s.commands.Offer(command{choose: &call}); err != nil {
		return nil, err
	}
	c, err := call.Wait(ctx)
	if err != nil {
		return nil, err
	}
	return c.instance, c.err
}

// Explain implements Router.
func (s *Service[P]) Explain(ctx context.Context, q Query) ([]choice.Candidate, error) {
	call := ring.NewCall[Query, []choice.Candidate](q)
	if err := s.commands.Offer(command{explain: &call}); err != nil {
		return nil, err
	}
	return call.Wait(ctx)
}

// Report implements Router.
func (s *Service[P]) Report(ctx context.Context, r Report) error {
	return s.commands.Put(ctx, command{report: &r})
}

// Run implements kernel.Service.
func (s *Service[P]) Run(ctx context.Context) error {
	d := ring.Duty[command]{Ring: s.commands, Handle: s.handle}
	return d.Run(ctx)
}

func (s *Service[P]) handle(now time.Time, c command) {
	switch {
	case c.choose != nil:
		c.choose.Reply(s.choose(now, c.choose.Query))
	case c.explain != nil:
		c.explain.Reply(s.candidates(now, c.explain.Query))
	case c.report != nil:
		s.record(now, *c.report)
	}
}

func (s *Service[P]) choose(now time.Time, q Query) chosen {
	c, err := s.chooser.Choose(now, q.Service.Name, s.candidates(now, q))
	if err != nil {
		return chosen{err: err}
	}
	s.of(c.Instance).outstanding++
	i := slices.IndexFunc(q.Service.Instances, func(i *config.Instance) bool { return i.Name == c.Instance })
	return chosen{instance: q.Service.Instances[i]}
}

// candidates returns the instances that may get the request of a query.
func (s *Service[P]) candidates(now time.Time, q Query) []choice.Candidate {
	cs := make([]choice.Candidate, 0, len(q.Service.Instances))
	for _, i := range q.Service.Instances {
		if i.Leaving || slices.Contains(q.Exclude, i.Name) {
			continue
		}
		cs = append(cs, s.candidate(i))
	}
	s.weigh(now, q, cs)
	return cs
}

func (s *Service[P]) candidate(i *config.Instance) choice.Candidate {
	p := s.of(i.Name)
	return choice.Candidate{
		Instance:    i.Name,
		Local:       i.VM.DataCentre == s.DataCentre,
		Weight:      1,
		Slots:       i.Service.Slots,
		Outstanding: p.outstanding,
		Running:     p.load.Running,
		Waiting:     p.load.Waiting,
		Reported:    p.reported,
	}
}

func (s *Service[P]) record(now time.Time, r Report) {
	p := s.of(r.Instance)
	p.outstanding--
	if r.Load != nil {
		p.load, p.reported = *r.Load, now
	}
}

func (s *Service[P]) of(instance string) *picture {
	p, ok := s.picture[instance]
	if !ok {
		p = &picture{}
		s.picture[instance] = p
	}
	return p
}

// Find returns the router of a process.
func Find(dir *kernel.Directory) (Router, error) {
	return kernel.Find[Router](dir, service.Router)
}

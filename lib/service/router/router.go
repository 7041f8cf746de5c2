// Package router is the service that chooses an instance for each request. It
// keeps the load of the instances, on which the choice depends, and the budgets of
// retries and hedges.
package router

import (
	"context"
	"math/rand/v2"
	"time"

	"cassiarack.example/lib/decision/choice"
	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/decision/member"
	"cassiarack.example/lib/kernel"
	"cassiarack.example/lib/ring"
	"cassiarack.example/lib/service"
	"cassiarack.example/lib/service/ejection"
)

// ringSize is the capacity of the ring of commands to the router's goroutine.
const ringSize = 4096

// undoTimeout bounds the wait for the reply to a command whose caller went away.
// The router's goroutine replies within microseconds unless it is stopping.
const undoTimeout = time.Second

// Query describes the request for which an instance is chosen.
type Query struct {
	Service *config.Service
	// Idempotent is set for idempotent requests, which may go to instances that get
	// a trial share after an ejection.
	Idempotent bool
	// Exclude holds the names of instances that must not be chosen.
	Exclude []string
}

// Load is the occupancy that a gate reported.
type Load struct {
	Running, Waiting int
	// OpenSlots is the number of usable slots.
	OpenSlots int
	// Leaving is set when the instance takes no new requests.
	Leaving bool
}

// Report describes an attempt at an instance that has ended.
type Report struct {
	Instance string
	// Load is the load that the gate reported last, or nil.
	Load *Load
	// Route and RunTime are the route and the run time of a request that ran. RunTime
	// is zero for a request that did not run.
	Route   string
	RunTime time.Duration
	// EndedEarly is set when the answer did not come to its end, so that RunTime is
	// a lower bound.
	EndedEarly bool
}

// choiceResult is the answer to a Query.
type choiceResult struct {
	instance *config.Instance
	err      error
}

// command is a command to the router's goroutine. Exactly one field is set.
type command struct {
	choose  *ring.Call[Query, choiceResult]
	explain *ring.Call[Query, []ExplainedCandidate]
	report  *Report
	budget  *ring.Call[budgetQuery, BudgetDecision]
}

// Service chooses instances with policy P.
type Service[P choice.Policy] struct {
	// Policy is the policy in use.
	Policy P
	// DataCentre is the name of the node's data centre.
	DataCentre string
	// Random is the random source.
	Random *rand.Rand

	ejection *ejection.Service
	members  members
	commands *ring.Ring[command]
	chooser  choice.Chooser[P]
	loads    map[string]*instanceLoad
	runTimes choice.RunTimes
	services map[string]*serviceState
}

// instanceLoad is what this node knows about the load of an instance: its own
// outstanding requests and the last report of the gate.
type instanceLoad struct {
	outstanding       int
	othersOutstanding int
	load              Load
	reportedAt        time.Time
}

// Router is the interface of the service to other services, independent of its
// policy.
type Router interface {
	// Choose returns an instance for a request. Each successful Choose must be
	// followed by a Report.
	Choose(ctx context.Context, q Query) (*config.Instance, error)
	// Explain returns the candidates for a query without choosing one.
	Explain(ctx context.Context, q Query) ([]ExplainedCandidate, error)
	// Report records the end of an attempt.
	Report(ctx context.Context, r Report) error
	Budgets
}

// members is the part of the gossip service that returns the state of a node.
type members interface {
	State(vm string) member.State
}

// Bind implements kernel.Service.
func (s *Service[P]) Bind(dir *kernel.Directory) error {
	var err error
	if s.ejection, err = kernel.Find[*ejection.Service](dir, service.Ejection); err != nil {
		return err
	}
	if s.members, err = kernel.Find[members](dir, service.Gossip); err != nil {
		return err
	}
	s.init()
	return nil
}

// init creates the state of the router's goroutine.
func (s *Service[P]) init() {
	s.commands = ring.New[command](ringSize)
	s.chooser = choice.Chooser[P]{Policy: s.Policy, Random: s.Random}
	s.loads = make(map[string]*instanceLoad)
	s.services = make(map[string]*serviceState)
}

// Choose implements Router.
func (s *Service[P]) Choose(ctx context.Context, q Query) (*config.Instance, error) {
	call := ring.NewCall[Query, choiceResult](q)
	if err := s.commands.Offer(command{choose: &call}); err != nil {
		return nil, err
	}
	c, err := call.Wait(ctx)
	if err != nil {
		s.undoChoice(ctx, call)
		return nil, err
	}
	return c.instance, c.err
}

// undoChoice reports the end of an attempt for a choice whose caller went away
// before it was made, because each choice counts an outstanding request.
func (s *Service[P]) undoChoice(ctx context.Context, call ring.Call[Query, choiceResult]) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), undoTimeout)
	defer cancel()
	if c, err := call.Wait(ctx); err == nil && c.instance != nil {
		// An error means that the router's goroutine has stopped.
		_ = s.Report(ctx, Report{Instance: c.instance.Name})
	}
}

// Report implements Router.
func (s *Service[P]) Report(ctx context.Context, r Report) error {
	return s.commands.Put(ctx, command{report: &r})
}

// Run implements kernel.Service.
func (s *Service[P]) Run(ctx context.Context) error {
	d := ring.Duty[command]{Ring: s.commands, Interval: pruneInterval, Handle: s.handle, Tick: s.prune}
	return d.Run(ctx)
}

func (s *Service[P]) handle(now time.Time, c command) {
	switch {
	case c.choose != nil:
		c.choose.Reply(s.choose(now, c.choose.Query))
	case c.explain != nil:
		c.explain.Reply(s.explain(now, c.explain.Query))
	case c.report != nil:
		s.recordReport(now, *c.report)
	case c.budget != nil:
		c.budget.Reply(s.decide(now, c.budget.Query))
	}
}

func (s *Service[P]) choose(now time.Time, q Query) choiceResult {
	cs := s.candidates(now, q)
	i, err := s.chooser.Choose(now, q.Service.Name, cs)
	if err != nil {
		// When only instances on dead nodes are left, it is more likely that this
		// node has lost contact with the others than that all of them are dead.
		cs.includeDead = true
		i, err = s.chooser.Choose(now, q.Service.Name, cs)
	}
	if err != nil {
		cs.lastResort = cs.leastBad()
		i, err = s.chooser.Choose(now, q.Service.Name, cs)
	}
	if err != nil {
		return choiceResult{err: err}
	}
	inst := cs.state.instances[i]
	s.loadOf(inst.Name).outstanding++
	return choiceResult{instance: inst}
}

func (s *Service[P]) candidate(now time.Time, i *config.Instance) choice.Candidate {
	p := s.loadOf(i.Name)
	c := choice.Candidate{
		Weight:            1,
		Slots:             i.Service.Slots,
		OpenSlots:         p.load.OpenSlots,
		Outstanding:       p.outstanding,
		OthersOutstanding: p.othersOutstanding,
		ReportedAt:        p.reportedAt,
	}
	if i.Leaving || p.load.Leaving && now.Sub(p.reportedAt) < leavingReportLifetime {
		c.Weight = 0
	}
	return c
}

func (s *Service[P]) recordReport(now time.Time, r Report) {
	p := s.loadOf(r.Instance)
	p.outstanding--
	if r.Load != nil {
		p.load, p.reportedAt = *r.Load, now
		p.othersOutstanding = max(0, r.Load.Running+r.Load.Waiting-p.outstanding)
	}
	s.observeRunTime(now, r)
}

func (s *Service[P]) loadOf(instance string) *instanceLoad {
	p, ok := s.loads[instance]
	if !ok {
		p = &instanceLoad{}
		s.loads[instance] = p
	}
	return p
}

// Find returns the router service of a process.
func Find(dir *kernel.Directory) (Router, error) {
	return kernel.Find[Router](dir, service.Router)
}

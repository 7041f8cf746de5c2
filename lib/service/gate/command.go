package gate

import (
	"context"
	"sync"
	"time"

	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/decision/handover"
	"cassiarack.example/lib/decision/slot"
	"cassiarack.example/lib/request"
	"cassiarack.example/lib/ring"
	"cassiarack.example/lib/wire"
)

// command is a command to the duty.
type command interface {
	apply(now time.Time, s *Service)
}

// admit requests a slot for an attempt.
type admit struct {
	instance     string
	attempt      handover.Attempt
	organisation string
	expected     time.Duration
	remaining    time.Duration
	maxWait      time.Duration
	commitNow    bool
}

// admitted is the answer to an admit. At most one of refusal, reason and err is
// set; if none is, the attempt has a slot.
type admitted struct {
	instance   *config.Instance
	grant      handover.Grant
	refusal    slot.Refusal
	reason     request.Reason
	retryAfter time.Duration
	err        error
	load       *wire.Load
}

// admission is the command for an admit. It stays in the waiting attempts of the
// instance until its commit, or until the attempt ends without one.
type admission struct {
	call ring.Call[admit, admitted]
}

func (a *admission) apply(now time.Time, s *Service) {
	q := a.call.Query
	d := s.state(q.instance)
	if d == nil {
		a.call.Reply(admitted{reason: request.ReasonUnknownInstance})
		return
	}
	if err := s.grants.Open(now, q.attempt); err != nil {
		a.call.Reply(admitted{err: err, load: d.load(now)})
		return
	}
	d.waiting[q.attempt] = a
	s.applyDecisions(now, d, d.slots.Admit(now, s.slotRequest(now, d, q)))
}

// commit is the command that starts the work of a grant.
type commit struct {
	instance string
	attempt  handover.Attempt
	call     ring.Call[handover.Grant, error]
}

func (c commit) apply(now time.Time, s *Service) {
	err := s.grants.Commit(now, c.call.Query)
	if err == nil {
		if d := s.states[c.instance]; d != nil {
			delete(d.waiting, c.attempt)
		}
	}
	c.call.Reply(err)
}

// abandon is the command that ends an attempt whose entry stopped before the
// commit. It has no effect on committed work.
type abandon struct {
	instance string
	attempt  handover.Attempt
}

func (c abandon) apply(now time.Time, s *Service) {
	d := s.states[c.instance]
	if d == nil {
		return
	}
	adm, ok := d.waiting[c.attempt]
	if !ok || !s.grants.Void(now, c.attempt) {
		return
	}
	delete(d.waiting, c.attempt)
	if d.slots.Withdraw(c.attempt) {
		adm.call.Reply(admitted{reason: request.ReasonCancelled})
		return
	}
	s.applyDecisions(now, d, d.slots.Release(now, c.attempt))
}

// finish is the command that ends committed work and releases its slot.
type finish struct {
	instance string
	attempt  handover.Attempt
	grant    handover.Grant
	outcome  runOutcome
	call     ring.Call[struct{}, *wire.Load]
}

func (c finish) apply(now time.Time, s *Service) {
	s.grants.Finish(now, c.grant)
	d := s.states[c.instance]
	d.recordRun(now, c.outcome)
	s.applyDecisions(now, d, d.slots.Release(now, c.attempt))
	c.call.Reply(d.load(now))
}

// settle is the command that voids an attempt, or reports that its work was
// started. A voided attempt loses its slot or its place in the queue.
type settle struct {
	instance string
	attempt  handover.Attempt
	call     ring.Call[handover.Grant, handover.Settlement]
}

func (c settle) apply(now time.Time, s *Service) {
	d := s.states[c.instance]
	var adm *admission
	if d != nil {
		adm = d.waiting[c.attempt]
	}
	result := s.grants.Settle(now, c.attempt, c.call.Query)
	if adm != nil && result == handover.SettledNotRun {
		delete(d.waiting, c.attempt)
		if !d.slots.Withdraw(c.attempt) {
			s.applyDecisions(now, d, d.slots.Release(now, c.attempt))
		}
		adm.call.Reply(admitted{reason: request.ReasonInvalidGrant})
	}
	c.call.Reply(result)
}

// leave is the command that makes all instances refuse new work.
type leave struct{}

func (leave) apply(now time.Time, s *Service) {
	s.leaving = true
	for _, i := range s.instances() {
		d := s.state(i.Name)
		d.slots.Leaving = true
		s.applyDecisions(now, d, d.slots.Tick(now))
	}
}

// instances returns the configured instances of this VM.
func (s *Service) instances() []*config.Instance {
	c := s.config.Current()
	if c == nil || c.VMs[s.VM] == nil {
		return nil
	}
	return c.VMs[s.VM].Instances
}

// inFlight counts the requests in flight, so that a drain can wait for them.
type inFlight struct {
	mu   sync.Mutex
	n    int
	zero chan struct{}
}

func (f *inFlight) add(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n += n
	if f.n == 0 && f.zero != nil {
		close(f.zero)
		f.zero = nil
	}
}

// wait waits until no request is in flight. If ctx is done first, it returns a
// drainError with the number of remaining requests.
func (f *inFlight) wait(ctx context.Context) error {
	f.mu.Lock()
	if f.n == 0 {
		f.mu.Unlock()
		return nil
	}
	if f.zero == nil {
		f.zero = make(chan struct{})
	}
	zero := f.zero
	f.mu.Unlock()
	select {
	case <-zero:
		return nil
	case <-ctx.Done():
		f.mu.Lock()
		defer f.mu.Unlock()
		return &drainError{remaining: f.n}
	}
}

package gate

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"cassiarack.example/lib/decision/choice"
	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/decision/handover"
	"cassiarack.example/lib/decision/slot"
	"cassiarack.example/lib/kernel"
	"cassiarack.example/lib/ring"
	"cassiarack.example/lib/service"
	configservice "cassiarack.example/lib/service/config"
	"cassiarack.example/lib/service/metrics"
	"cassiarack.example/lib/service/observer"
	"cassiarack.example/lib/service/peers"
	"cassiarack.example/lib/wire"
)

const (
	// ringSize bounds the commands that wait for the duty.
	ringSize = 4096
	// tickInterval is how often the deadlines of waiting requests and of grants
	// are checked.
	tickInterval = 10 * time.Millisecond
	// grantTimeout is the time after a grant within which it can be committed.
	grantTimeout = time.Second
	// attemptRetention is how long the gate keeps the record of an attempt. It
	// exceeds the longest time that a message between nodes can be in transit,
	// because nodes give up a connection after a much shorter time.
	attemptRetention = 2 * time.Minute
)

// Service is the gate of a VM. Set the exported fields before Bind.
type Service struct {
	// VM is the name of the node's VM.
	VM string
	// Incarnation distinguishes this run of the gate from earlier ones.
	Incarnation uint64
	// Log receives refused commits, pauses, and commands that the duty did not
	// accept.
	Log *log.Logger

	commands   *ring.Ring[command]
	config     *configservice.Service
	observer   observer.Observer
	scope      tally.Scope
	grants     handover.GrantTable
	states     map[string]*instanceState
	backends   *backends
	inFlight   inFlight
	dutyCtx    context.Context
	cancelDuty context.CancelFunc
	// leaving is set while the node stops. Only the duty accesses it.
	leaving bool
}

// instanceState is the state of one instance. Only the duty accesses it.
type instanceState struct {
	instance *config.Instance
	slots    slotGate
	runTimes choice.RunTimes
	waiting  map[handover.Attempt]*admission

	openSlots, running, queued tally.Gauge
}

// Bind implements kernel.Service.
func (s *Service) Bind(dir *kernel.Directory) error {
	var err error
	if s.config, err = kernel.Find[*configservice.Service](dir, service.Config); err != nil {
		return err
	}
	p, err := kernel.Find[*peers.Service](dir, service.Peers)
	if err != nil {
		return err
	}
	m, err := kernel.Find[*metrics.Service](dir, service.Metrics)
	if err != nil {
		return err
	}
	if s.observer, err = observer.Find(dir); err != nil {
		return err
	}
	s.scope = m.Scope().SubScope("gate")
	s.commands = ring.New[command](ringSize)
	s.grants = handover.GrantTable{Incarnation: s.Incarnation, GrantTimeout: grantTimeout, Retention: attemptRetention, MaxGap: maxGap}
	s.initDutyContext()
	s.states = make(map[string]*instanceState)
	s.backends = newBackends()
	return wire.DRPCRegisterHandover(p.Mux(), s)
}

// Run implements kernel.Service.
func (s *Service) Run(ctx context.Context) error {
	defer s.backends.close()
	defer s.cancelDuty()
	d := ring.Duty[command]{
		Ring:     s.commands,
		Interval: tickInterval,
		Handle:   func(now time.Time, c command) { s.heartbeat(now); c.apply(now, s) },
		Tick:     s.tick,
		Idle:     s.idle,
	}
	return d.Run(ctx)
}

// Leave implements kernel.Leaver. It makes the gate refuse new work. The kernel
// calls it after gossip has announced the stop, so that few entries still send
// requests.
func (s *Service) Leave(ctx context.Context) error { return s.commands.Put(ctx, leave{}) }

// Drain implements kernel.Drainer. It waits for the requests in flight.
func (s *Service) Drain(ctx context.Context) error { return s.inFlight.wait(ctx) }

// state returns the state of an instance, updated from the configuration in
// force, or nil if this VM has no such instance.
func (s *Service) state(name string) *instanceState {
	c := s.config.Current()
	if c == nil {
		return nil
	}
	i, ok := c.Instances[name]
	if !ok || i.VM.Name != s.VM {
		return nil
	}
	d, ok := s.states[name]
	if !ok {
		d = newInstanceState()
		s.states[name] = d
	}
	d.instance = i
	d.slots.Slots = i.Service.Slots
	d.slots.Leaving = s.leaving || i.Leaving
	return d
}

func (s *Service) tick(now time.Time) {
	s.heartbeat(now)
	for _, a := range s.grants.Expire(now) {
		s.releaseUncommitted(now, a)
	}
	for name, d := range s.states {
		s.state(name)
		s.applyDecisions(now, d, d.slots.Tick(now))
		s.publish(now, name, d)
	}
}

// releaseUncommitted releases the slot of an attempt whose grant expired or was
// voided before the commit.
func (s *Service) releaseUncommitted(now time.Time, a handover.Attempt) {
	for _, d := range s.states {
		if _, ok := d.waiting[a]; ok {
			delete(d.waiting, a)
			s.applyDecisions(now, d, d.slots.Release(now, a))
			return
		}
	}
}

// applyDecisions answers the admissions for which the slots returned a decision.
// A granted attempt that cannot be reserved or committed releases its slot, and
// the decisions that follow from this are applied as well.
func (s *Service) applyDecisions(now time.Time, d *instanceState, ds []slot.Decision[handover.Attempt]) {
	for len(ds) > 0 {
		next := ds[0]
		ds = ds[1:]
		adm, ok := d.waiting[next.Item]
		if !ok {
			continue
		}
		if !next.Granted {
			s.grants.Void(now, next.Item)
			delete(d.waiting, next.Item)
			adm.call.Reply(admitted{refusal: next.Refusal, retryAfter: next.RetryAfter, load: d.load(now)})
			continue
		}
		grant, err := s.grants.Reserve(now, next.Item)
		if err != nil {
			delete(d.waiting, next.Item)
			adm.call.Reply(admitted{err: err, load: d.load(now)})
			ds = append(ds, d.slots.Release(now, next.Item)...)
			continue
		}
		if adm.call.Query.commitNow {
			err = s.grants.Commit(now, grant)
			delete(d.waiting, next.Item)
			if err != nil {
				ds = append(ds, d.slots.Release(now, next.Item)...)
			}
		}
		adm.call.Reply(admitted{instance: d.instance, grant: grant, err: err, load: d.load(now)})
	}
}

// idle reports whether no request waits for a slot or for its commit. Nothing can
// expire then, so that no ticks are needed.
func (s *Service) idle() bool {
	for _, d := range s.states {
		if len(d.waiting) > 0 {
			return false
		}
	}
	return true
}

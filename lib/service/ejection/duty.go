package ejection

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/decision/floor"
	"cassiarack.example/lib/decision/health"
	"cassiarack.example/lib/ring"
	"cassiarack.example/lib/wire"
)

const (
	// reportEvery is the time between two reports about an instance. It is
	// shorter than the time for which a holder counts a report.
	reportEvery = 200 * time.Millisecond
	// markMemory is how long own evidence lowers a weight after the last verdict.
	markMemory = 2 * time.Second
	// rankDelay is how long the holder of the next token waits, so that the
	// holders of a service do not spend several tokens on one instance.
	rankDelay = 400 * time.Millisecond
	// cleanEvery is the time between two reports of good requests on trial.
	cleanEvery = time.Second
	// maxGap is the longest time between two ticks that is no pause.
	maxGap = 500 * time.Millisecond
	// commonMemory is how long a decision that a fault is common is published.
	commonMemory = 10 * time.Second
	// selfMemory is how long the node suspects itself after the last verdict.
	selfMemory = 2 * time.Second
)

// duty is the state that the duty owns.
type duty struct {
	conf     *config.Configuration
	services map[string]*serviceState
	weights  map[string]mark
	common   map[string]time.Time
	reported map[reportKey]time.Time
	served   map[string]int
	cleaned  time.Time
	ticked   time.Time
	suspect  time.Time
	log      decisionLog
	// changed is set when the snapshot must be made anew.
	changed, logged bool
}

// serviceState is what the duty knows of a service.
type serviceState struct {
	assignment *floor.Assignment
	leases     floor.Leases
	// holder is nil where this VM holds no token.
	holder     *floor.Holder
	aggregator health.Aggregator
	// upheld is since when the evidence against an instance is enough.
	upheld map[string]time.Time
	asked  map[string]time.Time
	// stood is when the gates of the service were asked for their scores.
	stood time.Time
}

// mark is a weight lowered by own evidence.
type mark struct {
	weight float64
	until  time.Time
}

type reportKey struct {
	instance string
	source   health.Source
}

// adopt puts a changed configuration in force.
func (s *Service) adopt(now time.Time) {
	conf := s.config.Current()
	d := &s.duty
	if conf == nil || conf == d.conf {
		return
	}
	d.conf, d.changed = conf, true
	for name := range d.services {
		if conf.Services[name] == nil {
			delete(d.services, name)
			continue
		}
		s.assign(now, d.services[name], conf.Services[name])
	}
	if vm := conf.VMs[s.VM]; vm != nil {
		for _, i := range vm.Instances {
			s.service(now, i.Service.Name)
		}
	}
}

// service returns the state of a service, or nil if it is not configured.
func (s *Service) service(now time.Time, name string) *serviceState {
	if x, ok := s.duty.services[name]; ok {
		return x
	}
	if s.duty.conf == nil || s.duty.conf.Services[name] == nil {
		return nil
	}
	x := &serviceState{upheld: make(map[string]time.Time), asked: make(map[string]time.Time)}
	s.assign(now, x, s.duty.conf.Services[name])
	s.duty.services[name] = x
	return x
}

func (s *Service) assign(now time.Time, x *serviceState, c *config.Service) {
	x.assignment = floor.Assign(c)
	x.leases.Adopt(x.assignment)
	if x.holder == nil && len(x.assignment.Tokens(s.VM)) > 0 {
		x.holder = floor.NewHolder(now, s.VM, s.Incarnation)
	}
	if x.holder != nil {
		x.holder.Adopt(now, x.assignment)
	}
}

// tick looks after leases and publishes what changed.
func (s *Service) tick(now time.Time) {
	s.watch(now)
	s.duty.ticked = now
	s.adopt(now)
	for _, x := range s.duty.services {
		if x.holder == nil {
			continue
		}
		s.granted(now, x, x.holder.Tick(now, x.leases.Running(now)))
	}
	for i, m := range s.duty.weights {
		if now.After(m.until) {
			delete(s.duty.weights, i)
			s.duty.changed = true
		}
	}
	for i, at := range s.duty.common {
		if now.Sub(at) > commonMemory {
			delete(s.duty.common, i)
		}
	}
	s.reportClean(now)
	s.publish(now)
	s.metrics.Ring("ejection", s.commands.Stats())
	s.metrics.Ring("ejection_jobs", s.jobs.Stats())
}

// granted records new leases of this node's holder and tells other nodes.
func (s *Service) granted(now time.Time, x *serviceState, leases []floor.Lease) {
	for _, l := range leases {
		before := x.leases.Share(now, l.Instance)
		if !x.leases.Merge(now, l) {
			continue
		}
		s.duty.changed = true
		s.note(now, l, before, x.leases.Share(now, l.Instance))
	}
	s.share(now, leases)
}

// note records a lease that changes the share of an instance.
func (s *Service) note(now time.Time, l floor.Lease, before, after int) {
	if before == after {
		return
	}
	d := Decision{At: now, Service: l.Service, Instance: l.Instance, Reporter: l.Holder, Cause: l.Cause, Share: after}
	switch {
	case after == 0:
		d.What, d.Until = "ejected", &l.Until
	case after < floor.FullShare:
		d.What, d.Until = "trial", &l.Until
	default:
		d.What = "returned"
	}
	if s.record(d) {
		s.Log.Info("Changed share.", "instance", l.Instance, "what", d.What, "share", after, "cause", l.Cause)
		s.scope.Tagged(map[string]string{"what": d.What}).Counter("changes").Inc(1)
	}
}

func (s *Service) record(d Decision) bool {
	ok := s.duty.log.add(d)
	s.duty.logged = s.duty.logged || ok
	return ok
}

// publish makes the snapshot anew if something changed.
func (s *Service) publish(now time.Time) {
	d := &s.duty
	if d.logged {
		entries := slices.Clone(d.log.entries)
		s.decisions.Store(&entries)
		d.logged = false
	}
	if !d.changed {
		return
	}
	d.changed = false
	snap := &Snapshot{At: now, Instances: make(map[string]State), Common: make(map[string]time.Time),
		Suspect: now.Sub(d.suspect) < selfMemory}
	for i, m := range d.weights {
		snap.Instances[i] = State{Local: m.weight}
	}
	for i, at := range d.common {
		snap.Common[i] = at
	}
	for _, x := range d.services {
		for _, l := range x.leases.Latest() {
			snap.leases = append(snap.leases, l)
			if !now.Before(l.Until) {
				continue
			}
			st := snap.Instances[l.Instance]
			st.Ejected, st.Trial, st.Until = l.TrialShare == 0, float64(l.TrialShare)/floor.FullShare, l.Until
			snap.Instances[l.Instance] = st
		}
	}
	slices.SortFunc(snap.leases, func(a, b floor.Lease) int {
		return cmp.Or(b.Granted.Compare(a.Granted), cmp.Compare(a.Instance, b.Instance))
	})
	s.snapshot.Store(snap)
}

// judged is a judgement of this node's observer.
type judged struct{ Judgement }

func (c judged) apply(now time.Time, s *Service) {
	d := &s.duty
	for i, n := range c.Served {
		d.served[i] += n
	}
	s.watch(now)
	s.setDown(c.Down)
	for _, v := range c.Verdicts {
		s.verdict(now, v)
	}
}

// verdict acts on a verdict: it lowers this node's own weight and reports to the
// holders.
func (s *Service) verdict(now time.Time, v health.Verdict) {
	d := &s.duty
	if v.Score >= 1 || v.Cause != health.CauseStraggler {
		s.record(Decision{At: now, Service: v.Service, Instance: v.Instance, What: "verdict", Reporter: s.VM,
			Cause: causeOf(v.Cause, v.Hypothesis), Samples: v.Samples, Bad: v.Bad, Score: v.Score, Confidence: v.Confidence})
	}
	switch v.Cause {
	case health.CauseSelf:
		d.suspect, d.changed = now, true
		return
	case health.CauseColdStart:
		return
	}
	link := v.Cause == health.CauseLink && v.Score >= health.LinkReportScore
	if link || v.Cause == health.CauseServer && v.Score >= 1 {
		d.weights[v.Instance] = mark{weight: max(minWeight, math.Exp2(-2*v.Score)), until: now.Add(markMemory)}
		d.changed = true
	}
	k := reportKey{v.Instance, v.Source}
	if !link && max(v.Score, v.Raw) < 1 {
		return
	}
	if now.Sub(d.suspect) < selfMemory || now.Sub(d.reported[k]) < reportEvery {
		return
	}
	d.reported[k] = now
	s.report(now, health.Suspicion{Instance: v.Instance, Reporter: s.VM, Gate: v.Source == health.SourceGate, Cause: v.Cause,
		Hypothesis: v.Hypothesis, Samples: v.Samples, Bad: v.Bad, Siblings: v.Siblings, Score: v.Score, Raw: v.Raw,
		Since: v.Since})
}

func causeOf(c health.Cause, h health.Hypothesis) string {
	if c != health.CauseServer {
		return string(c)
	}
	return string(c) + ": " + h.String()
}

// report sends a suspicion to the holders of the service.
func (s *Service) report(now time.Time, x health.Suspicion) {
	if s.duty.conf == nil || s.duty.conf.Instances[x.Instance] == nil {
		return
	}
	st := s.service(now, s.duty.conf.Instances[x.Instance].Service.Name)
	m := toSuspicion(now, x, st.assignment.ID)
	for i, h := range st.assignment.Holders {
		if slices.Contains(st.assignment.Holders[:i], h) {
			continue
		}
		if h == s.VM {
			s.replied(now, x.Instance, s.decide(now, m))
			continue
		}
		s.offer(job{to: s.duty.conf.VMs[h].Node, suspicion: m})
	}
}

// suspect is a suspicion of another node.
type suspect struct {
	call ring.Call[*wire.Suspicion, *wire.SuspectReply]
}

func (c suspect) apply(now time.Time, s *Service) {
	s.watch(now)
	s.adopt(now)
	c.call.Reply(s.decide(now, c.call.Query))
}

// decide weighs a suspicion, as a holder.
func (s *Service) decide(now time.Time, m *wire.Suspicion) *wire.SuspectReply {
	x, refusal := s.holding(now, m)
	if refusal != "" {
		return &wire.SuspectReply{Reason: string(refusal)}
	}
	if n := int(m.GetClean()); n > 0 {
		x.holder.RecordClean(now, m.GetInstance(), n)
		return &wire.SuspectReply{}
	}
	in := fromSuspicion(now, m)
	x.aggregator.Report(now, in)
	if in.Cause == health.CauseLink {
		s.askLinkReports(now, x, in)
	}
	if in.Score >= 1 && in.Cause != health.CauseLink {
		s.askScoreReports(now, x, in)
	}
	decision := x.aggregator.Decide(now, in.Instance, len(s.duty.conf.Services[x.assignment.Service].Instances))
	if !decision.Confirmed {
		delete(x.upheld, in.Instance)
		if in.Score >= 1 {
			s.refused(now, x, in, decision.Reason)
		}
		return &wire.SuspectReply{Reason: decision.Reason, Common: decision.Reason == health.ReasonServiceWide}
	}
	return s.eject(now, x, in)
}

// holding returns the service of a suspicion, or why this node cannot decide.
func (s *Service) holding(now time.Time, m *wire.Suspicion) (*serviceState, floor.Refusal) {
	if s.duty.conf == nil || s.duty.conf.Instances[m.GetInstance()] == nil {
		return nil, floor.RefusedUnknownName
	}
	x := s.service(now, s.duty.conf.Instances[m.GetInstance()].Service.Name)
	switch {
	case m.GetAssignment() != x.assignment.ID:
		return nil, floor.RefusedAssignment
	case x.holder == nil || len(x.assignment.Tokens(s.VM)) == 0:
		return nil, floor.RefusedNotHolder
	}
	return x, ""
}

// eject asks the holder for a token. The holder of the first token goes first.
func (s *Service) eject(now time.Time, x *serviceState, in health.Suspicion) *wire.SuspectReply {
	since, ok := x.upheld[in.Instance]
	if !ok {
		since = now
		x.upheld[in.Instance] = now
	}
	others := x.leases.Running(now)
	held := slices.ContainsFunc(others, func(l floor.Lease) bool { return l.Instance == in.Instance && l.Holder != s.VM })
	if held {
		return &wire.SuspectReply{Granted: true, Reason: "another holder ejected it"}
	}
	if now.Sub(since) < time.Duration(x.assignment.Tokens(s.VM)[0])*rankDelay {
		return &wire.SuspectReply{Reason: "waiting for the holder of an earlier token"}
	}
	before := x.leases.Share(now, in.Instance)
	r := x.holder.Request(now, in.Instance, causeOf(in.Cause, in.Hypothesis), x.assignment.ID, others)
	if !r.Granted {
		reason := string(r.Refusal)
		s.refused(now, x, in, reason)
		return &wire.SuspectReply{Reason: reason + " " + r.Detail}
	}
	x.aggregator.Forget(in.Instance)
	delete(x.upheld, in.Instance)
	if x.leases.Merge(now, r.Lease) {
		s.duty.changed = true
		s.note(now, r.Lease, before, x.leases.Share(now, in.Instance))
		s.share(now, []floor.Lease{r.Lease})
		s.publish(now)
	}
	return &wire.SuspectReply{Granted: true}
}

func (s *Service) refused(now time.Time, x *serviceState, in health.Suspicion, reason string) {
	if reason == health.ReasonSettling {
		return
	}
	d := Decision{At: now, Service: x.assignment.Service, Instance: in.Instance, What: "refused", Reporter: in.Reporter,
		Cause: causeOf(in.Cause, in.Hypothesis), Samples: in.Samples, Bad: in.Bad, Score: in.Score, Reason: reason}
	if s.record(d) {
		s.Log.Warn("Refused ejection.", "instance", in.Instance, "reporter", in.Reporter, "reason", reason)
		s.scope.Counter("refused").Inc(1)
	}
}

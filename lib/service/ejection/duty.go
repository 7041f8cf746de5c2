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
	// reportEvery is the minimum time between two reports about an instance from
	// the same source. It is shorter than the time for which a holder counts a
	// report, so that continuing evidence always counts.
	reportEvery = 200 * time.Millisecond
	// localWeightRetention is how long a local weight applies after the last
	// verdict against the instance.
	localWeightRetention = 2 * time.Second
	// tokenDelay is how much longer each holder waits than the holder of the
	// preceding token, so that the holders of a service do not use several tokens
	// for one instance.
	tokenDelay = 400 * time.Millisecond
	// cleanReportEvery is the minimum time between two reports of the requests
	// that instances on trial answered without an error.
	cleanReportEvery = time.Second
	// maxTickGap is the longest time between two ticks that does not count as a
	// pause.
	maxTickGap = 500 * time.Millisecond
	// serviceWideRetention is how long the decision that a fault is service-wide
	// is published.
	serviceWideRetention = 10 * time.Second
	// selfSuspicionRetention is how long the node suspects itself after the last
	// verdict with CauseSelf.
	selfSuspicionRetention = 2 * time.Second
)

// dutyState is the state owned by the duty. Only its goroutine may use it.
type dutyState struct {
	conf            *config.Configuration
	services        map[string]*serviceState
	localWeights    map[string]localWeight
	serviceWide     map[string]time.Time
	lastReport      map[reportKey]time.Time
	servedCounts    map[string]int
	lastCleanReport time.Time
	lastTick        time.Time
	selfSuspectedAt time.Time
	log             decisionLog
	// snapshotChanged and logChanged are set when the snapshot or the decision log
	// must be published again.
	snapshotChanged, logChanged bool
}

// serviceState is the state of one service.
type serviceState struct {
	assignment *floor.Assignment
	leases     floor.Leases
	// holder is nil if this VM has held no token of the service.
	holder     *floor.Holder
	aggregator health.Aggregator
	// confirmedSince holds the time since which the evidence against an instance
	// has been enough for an ejection.
	confirmedSince map[string]time.Time
	// linkReportsAskedAt holds the time of the last link report requests about
	// each instance.
	linkReportsAskedAt map[string]time.Time
	// scoreReportsAskedAt is the time of the last score report requests to the
	// gates of the service.
	scoreReportsAskedAt time.Time
}

// localWeight is the weight of an instance that this node lowered on its own
// evidence.
type localWeight struct {
	weight float64
	until  time.Time
}

// reportKey identifies the reports that are limited to one per reportEvery.
type reportKey struct {
	instance string
	source   health.Source
}

// adopt puts the current configuration in force if it changed.
func (s *Service) adopt(now time.Time) {
	conf := s.config.Current()
	d := &s.state
	if conf == nil || conf == d.conf {
		return
	}
	d.conf, d.snapshotChanged = conf, true
	for name := range d.services {
		if conf.Services[name] == nil {
			delete(d.services, name)
			continue
		}
		s.updateAssignment(now, d.services[name], conf.Services[name])
	}
	if vm := conf.VMs[s.VM]; vm != nil {
		for _, i := range vm.Instances {
			s.service(now, i.Service.Name)
		}
	}
}

// service returns the state of a service, creating it if needed, or nil if the
// service is not configured.
func (s *Service) service(now time.Time, name string) *serviceState {
	if x, ok := s.state.services[name]; ok {
		return x
	}
	if s.state.conf == nil || s.state.conf.Services[name] == nil {
		return nil
	}
	x := &serviceState{confirmedSince: make(map[string]time.Time), linkReportsAskedAt: make(map[string]time.Time)}
	s.updateAssignment(now, x, s.state.conf.Services[name])
	s.state.services[name] = x
	return x
}

// updateAssignment computes the assignment of tokens from the configuration and
// creates a holder if this VM now holds a token.
func (s *Service) updateAssignment(now time.Time, x *serviceState, c *config.Service) {
	x.assignment = floor.Assign(c)
	x.leases.Adopt(x.assignment)
	if x.holder == nil && len(x.assignment.Tokens(s.VM)) > 0 {
		x.holder = floor.NewHolder(now, s.VM, s.Incarnation)
	}
	if x.holder != nil {
		x.holder.Adopt(now, x.assignment)
	}
}

// tick renews and ends the leases of this VM's tokens, removes expired state and
// publishes what changed.
func (s *Service) tick(now time.Time) {
	s.checkPause(now)
	s.state.lastTick = now
	s.adopt(now)
	for _, x := range s.state.services {
		if x.holder == nil {
			continue
		}
		s.recordGranted(now, x, x.holder.Tick(now, x.leases.Running(now)))
	}
	for i, m := range s.state.localWeights {
		if now.After(m.until) {
			delete(s.state.localWeights, i)
			s.state.snapshotChanged = true
		}
	}
	for i, at := range s.state.serviceWide {
		if now.Sub(at) > serviceWideRetention {
			delete(s.state.serviceWide, i)
		}
	}
	s.reportClean(now)
	s.publish(now)
	s.metrics.PublishRing("ejection", s.commands.Stats())
	s.metrics.PublishRing("ejection_jobs", s.jobs.Stats())
}

// recordGranted records new leases of this node's holder and sends them to other
// nodes.
func (s *Service) recordGranted(now time.Time, x *serviceState, leases []floor.Lease) {
	for _, l := range leases {
		before := x.leases.Share(now, l.Instance)
		if !x.leases.Merge(now, l) {
			continue
		}
		s.state.snapshotChanged = true
		s.recordShareChange(now, l, before, x.leases.Share(now, l.Instance))
	}
	s.shareLeases(now, leases)
}

// recordShareChange records, logs and counts a lease that changes the share of
// requests of an instance, in thousandths, from before to after.
func (s *Service) recordShareChange(now time.Time, l floor.Lease, before, after int) {
	if before == after {
		return
	}
	d := Decision{At: now, Service: l.Service, Instance: l.Instance, Reporter: l.Holder, Cause: l.Cause, Share: after}
	switch {
	case after == 0:
		d.Kind, d.Until = "ejected", &l.Until
	case after < floor.FullShare:
		d.Kind, d.Until = "trial", &l.Until
	default:
		d.Kind = "returned"
	}
	if s.record(d) {
		s.Log.Info("Share of requests changed.", "instance", l.Instance, "what", d.Kind, "share", after, "cause", l.Cause)
		s.scope.Tagged(map[string]string{"what": d.Kind}).Counter("changes").Inc(1)
	}
}

// record adds a decision to the log and reports whether it did so.
func (s *Service) record(d Decision) bool {
	ok := s.state.log.add(d)
	s.state.logChanged = s.state.logChanged || ok
	return ok
}

// publish replaces the published decision log and snapshot if they changed.
func (s *Service) publish(now time.Time) {
	d := &s.state
	if d.logChanged {
		entries := slices.Clone(d.log.entries)
		s.decisions.Store(&entries)
		d.logChanged = false
	}
	if !d.snapshotChanged {
		return
	}
	d.snapshotChanged = false
	snap := &Snapshot{At: now, Instances: make(map[string]State), ServiceWide: make(map[string]time.Time),
		SelfSuspected: now.Sub(d.selfSuspectedAt) < selfSuspicionRetention}
	for i, m := range d.localWeights {
		snap.Instances[i] = State{LocalWeight: m.weight}
	}
	for i, at := range d.serviceWide {
		snap.ServiceWide[i] = at
	}
	for _, x := range d.services {
		for _, l := range x.leases.Latest() {
			snap.leases = append(snap.leases, l)
			if !now.Before(l.Until) {
				continue
			}
			st := snap.Instances[l.Instance]
			st.Ejected, st.TrialShare, st.Until = l.TrialShare == 0, float64(l.TrialShare)/floor.FullShare, l.Until
			snap.Instances[l.Instance] = st
		}
	}
	slices.SortFunc(snap.leases, func(a, b floor.Lease) int {
		return cmp.Or(b.Granted.Compare(a.Granted), cmp.Compare(a.Instance, b.Instance))
	})
	s.snapshot.Store(snap)
}

// localEvaluation is the command that applies an evaluation by this node's
// observer.
type localEvaluation struct{ Evaluation }

func (c localEvaluation) apply(now time.Time, s *Service) {
	d := &s.state
	for i, n := range c.Served {
		d.servedCounts[i] += n
	}
	s.checkPause(now)
	s.setDown(c.Down)
	for _, v := range c.Verdicts {
		s.handleVerdict(now, v)
	}
}

// handleVerdict records a verdict, lowers the local weight of the instance and
// reports the suspicion to the holders of the service.
func (s *Service) handleVerdict(now time.Time, v health.Verdict) {
	d := &s.state
	if v.Score >= 1 || v.Cause != health.CauseStraggler {
		s.record(Decision{At: now, Service: v.Service, Instance: v.Instance, Kind: "verdict", Reporter: s.VM,
			Cause: causeText(v.Cause, v.Hypothesis), Samples: v.Samples, Bad: v.Bad, Score: v.Score, Confidence: v.Confidence})
	}
	switch v.Cause {
	case health.CauseSelf:
		d.selfSuspectedAt, d.snapshotChanged = now, true
		return
	case health.CauseColdStart:
		return
	}
	link := v.Cause == health.CauseLink && v.Score >= health.LinkReportScore
	if link || v.Cause == health.CauseServer && v.Score >= 1 {
		d.localWeights[v.Instance] = localWeight{weight: max(minLocalWeight, math.Exp2(-2*v.Score)), until: now.Add(localWeightRetention)}
		d.snapshotChanged = true
	}
	k := reportKey{v.Instance, v.Source}
	if !link && max(v.Score, v.Raw) < 1 {
		return
	}
	if now.Sub(d.selfSuspectedAt) < selfSuspicionRetention || now.Sub(d.lastReport[k]) < reportEvery {
		return
	}
	d.lastReport[k] = now
	s.report(now, health.Suspicion{Instance: v.Instance, Reporter: s.VM, Gate: v.Source == health.SourceGate, Cause: v.Cause,
		Hypothesis: v.Hypothesis, Samples: v.Samples, Bad: v.Bad, Siblings: v.Siblings, Score: v.Score, Raw: v.Raw,
		Since: v.Since})
}

// causeText returns the cause as shown to operators. A fault of the backend server
// includes the hypothesis.
func causeText(c health.Cause, h health.Hypothesis) string {
	if c != health.CauseServer {
		return string(c)
	}
	return string(c) + ": " + h.String()
}

// report sends a suspicion once to each holder of the service.
func (s *Service) report(now time.Time, x health.Suspicion) {
	if s.state.conf == nil || s.state.conf.Instances[x.Instance] == nil {
		return
	}
	st := s.service(now, s.state.conf.Instances[x.Instance].Service.Name)
	m := toSuspicion(now, x, st.assignment.ID)
	for i, h := range st.assignment.Holders {
		if slices.Contains(st.assignment.Holders[:i], h) {
			continue
		}
		if h == s.VM {
			s.recordReply(now, x.Instance, s.decide(now, m))
			continue
		}
		s.enqueue(job{to: s.state.conf.VMs[h].Node, suspicion: m})
	}
}

// suspectCall is the command that decides about a suspicion received from another
// node.
type suspectCall struct {
	call ring.Call[*wire.Suspicion, *wire.SuspectReply]
}

func (c suspectCall) apply(now time.Time, s *Service) {
	s.checkPause(now)
	s.adopt(now)
	c.call.Reply(s.decide(now, c.call.Query))
}

// decide records a suspicion at this holder and requests an ejection if the
// reports confirm it. A suspicion with a count of clean requests is not evidence
// of a fault; it only adds to the count for the trial of the instance.
func (s *Service) decide(now time.Time, m *wire.Suspicion) *wire.SuspectReply {
	x, refusal := s.checkSuspicion(now, m)
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
	decision := x.aggregator.Decide(now, in.Instance, len(s.state.conf.Services[x.assignment.Service].Instances))
	if !decision.Confirmed {
		delete(x.confirmedSince, in.Instance)
		if in.Score >= 1 {
			s.recordRefusal(now, x, in, decision.Reason)
		}
		return &wire.SuspectReply{Reason: decision.Reason, Common: decision.Reason == health.ReasonServiceWide}
	}
	return s.requestEjection(now, x, in)
}

// checkSuspicion returns the state of the service that a suspicion is about, or why
// this node cannot decide about it.
func (s *Service) checkSuspicion(now time.Time, m *wire.Suspicion) (*serviceState, floor.Refusal) {
	if s.state.conf == nil || s.state.conf.Instances[m.GetInstance()] == nil {
		return nil, floor.RefusedUnknownName
	}
	x := s.service(now, s.state.conf.Instances[m.GetInstance()].Service.Name)
	switch {
	case m.GetAssignment() != x.assignment.ID:
		return nil, floor.RefusedAssignment
	case x.holder == nil || len(x.assignment.Tokens(s.VM)) == 0:
		return nil, floor.RefusedNotHolder
	}
	return x, ""
}

// requestEjection requests a token for a confirmed suspicion. The holder of the
// first token does so at once, the others after tokenDelay for each preceding
// token.
func (s *Service) requestEjection(now time.Time, x *serviceState, in health.Suspicion) *wire.SuspectReply {
	since, ok := x.confirmedSince[in.Instance]
	if !ok {
		since = now
		x.confirmedSince[in.Instance] = now
	}
	others := x.leases.Running(now)
	held := slices.ContainsFunc(others, func(l floor.Lease) bool { return l.Instance == in.Instance && l.Holder != s.VM })
	if held {
		return &wire.SuspectReply{Granted: true, Reason: "another holder ejected it"}
	}
	if now.Sub(since) < time.Duration(x.assignment.Tokens(s.VM)[0])*tokenDelay {
		return &wire.SuspectReply{Reason: "waiting for the holder of an earlier token"}
	}
	before := x.leases.Share(now, in.Instance)
	r := x.holder.Request(now, in.Instance, causeText(in.Cause, in.Hypothesis), x.assignment.ID, others)
	if !r.Granted {
		reason := string(r.Refusal)
		s.recordRefusal(now, x, in, reason)
		return &wire.SuspectReply{Reason: reason + " " + r.Detail}
	}
	x.aggregator.Forget(in.Instance)
	delete(x.confirmedSince, in.Instance)
	if x.leases.Merge(now, r.Lease) {
		s.state.snapshotChanged = true
		s.recordShareChange(now, r.Lease, before, x.leases.Share(now, in.Instance))
		s.shareLeases(now, []floor.Lease{r.Lease})
		s.publish(now)
	}
	return &wire.SuspectReply{Granted: true}
}

// recordRefusal records, logs and counts the refusal of an ejection. It ignores
// refusals that only wait for reports about other instances.
func (s *Service) recordRefusal(now time.Time, x *serviceState, in health.Suspicion, reason string) {
	if reason == health.ReasonSettling {
		return
	}
	d := Decision{At: now, Service: x.assignment.Service, Instance: in.Instance, Kind: "refused", Reporter: in.Reporter,
		Cause: causeText(in.Cause, in.Hypothesis), Samples: in.Samples, Bad: in.Bad, Score: in.Score, Reason: reason}
	if s.record(d) {
		s.Log.Warn("Refused ejection.", "instance", in.Instance, "reporter", in.Reporter, "reason", reason)
		s.scope.Counter("refused").Inc(1)
	}
}

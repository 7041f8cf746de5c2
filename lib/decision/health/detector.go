package health

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxRunning limits the number of running requests that are tracked for an
	// instance and source.
	maxRunning = 512
	// SuspectScore is the score from which an instance is suspicious and gets a
	// verdict. Two simultaneous stragglers do not reach it.
	SuspectScore = 0.4
	// maxLearnScore is the score from which the observations of an instance are
	// no longer added to the baseline. It is higher than the scores that
	// stragglers cause, because stragglers must remain part of the baseline.
	maxLearnScore = 0.6
	// gateWeight is the weight in the baseline of observations by the gate on
	// the same VM. It is low because the gate sees only one instance, and more
	// requests to it than this node sees of its siblings.
	gateWeight = 0.1
	// maxStragglers is the largest number of bad observations that can be
	// explained by stragglers alone.
	maxStragglers = 2
	// recentWindow is how long an observation counts as recent.
	recentWindow = 10 * time.Second
	// coldAfterSilence is how long an instance counts as cold after its gate
	// replies again.
	coldAfterSilence = 5 * time.Second
)

// Detector finds faulty instances from the observations of one node. S is the
// state of policy P for one instance. The zero value with a Policy is ready for
// use. A Detector is not safe for concurrent use.
type Detector[S any, P Policy[S]] struct {
	// Policy turns evidence into scores.
	Policy P

	services  map[string]*service
	instances map[string]*instance[S]
	order     []*instance[S]
	scratch   []Evidence
}

// service holds the baseline of a service.
type service struct {
	routes map[string]*route
	errors errorCounts
	// seen is the number of entry observations that were added as evidence.
	seen int
	// evaluated is the number of instances with recent evidence in the last
	// evaluation, and affected the number of those with a score of at least
	// affectedScore.
	evaluated, affected int
}

// instance holds the evidence about an instance.
type instance[S any] struct {
	name, vm    string
	service     *service
	serviceName string
	tracks      [sources]track[S]
	// seen is the part of service.seen that comes from this instance.
	seen int
	link link
	// cold is the latest time at which the instance is known to be cold. It is
	// in the future after the gate replies again.
	cold time.Time
}

// track holds the evidence of one source about an instance.
type track[S any] struct {
	state   S
	running []running
	// last and failed are the times of the last observation and of the last
	// error.
	last, failed time.Time
	score        Score
	// rawScore is the score before the comparison with the siblings.
	rawScore float64
}

// running is a request that has not ended.
type running struct {
	id      uint64
	route   *route
	started time.Time
	// siblings is the number of observations of siblings before the request
	// started.
	siblings int
}

// Observe records an observation made at time now.
func (d *Detector[S, P]) Observe(now time.Time, o Observation) {
	i := d.instance(o)
	t := &i.tracks[o.Source]
	t.last = now
	if o.Cold {
		i.cold = now
	}
	i.updateLink(now, o)
	r := i.service.route(o.Route)
	switch o.Kind {
	case Started:
		if len(t.running) < maxRunning && !i.isCold(now) {
			t.running = append(t.running, running{id: o.ID, route: r, started: now,
				siblings: i.service.seen - i.seen})
		}
	case Answered, Failed:
		// Requests that start while the instance is cold are not tracked.
		if _, ok := t.removeRunning(o.ID); ok && !i.isCold(now) {
			d.addFinished(now, i, t, r, o)
		}
	case NoReply, Aborted:
		if x, ok := t.removeRunning(o.ID); ok && !i.isCold(now) {
			d.addUnfinished(now, i, t, x, o.Source)
		}
	}
}

// addFinished adds the evidence of a request that was answered or failed. It
// adds the request to the baseline if the score of the instance is low enough.
func (d *Detector[S, P]) addFinished(now time.Time, i *instance[S], t *track[S], r *route, o Observation) {
	s := i.service
	failed := o.Kind == Failed
	s.errors.refresh(now)
	if failed {
		t.failed = now
	}
	e := Evidence{Failed: failed, Bad: failed}
	e.Ratios[Errors] = s.errors.answeredRatio
	if failed {
		e.Ratios[Errors] = s.errors.failedRatio
	}
	if r.ready() && !failed {
		e.Ratios[Slow] = r.ratios(now).slow[bin(o.Time)]
		e.Ratios[Hangs] = hangAnsweredRatio
		e.Bad = e.Ratios[Slow] > 0
	}
	d.add(now, i, t, e, o.Source)
	if t.score.Value >= maxLearnScore {
		return
	}
	w := 1.0
	if o.Source == SourceGate {
		w = gateWeight
	}
	s.errors.learn(failed, w)
	if !failed {
		r.decay(now)
		r.learn(o.Time, w)
	}
}

// addUnfinished adds the evidence of a request that ended without an answer,
// from the time that it ran at least.
func (d *Detector[S, P]) addUnfinished(now time.Time, i *instance[S], t *track[S], x running, from Source) {
	if e := x.evidence(now); e.Bad {
		d.add(now, i, t, e, from)
	}
}

// add passes evidence to the policy and counts the observations of entries.
func (d *Detector[S, P]) add(now time.Time, i *instance[S], t *track[S], e Evidence, from Source) {
	if from == SourceEntry {
		i.seen++
		i.service.seen++
	}
	d.Policy.Add(&t.state, now, e, i.service.seen-i.seen)
}

// evidence returns the evidence that follows from the age of a running request.
// It is zero if the baseline has too few observations.
func (x running) evidence(now time.Time) Evidence {
	if !x.route.ready() {
		return Evidence{}
	}
	table, b := x.route.ratios(now), bin(now.Sub(x.started))
	e := Evidence{Ratios: Ratios{Slow: table.slowRunning[b], Hangs: table.hangRunning[b]}, Since: x.started,
		Siblings: x.siblings}
	e.Bad = e.Ratios[Hangs] > minBadRunningRatio || e.Ratios[Slow] > minBadRunningRatio
	return e
}

// minBadRunningRatio is the log-likelihood ratio above which a running request
// counts as bad.
const minBadRunningRatio = 1

// Evaluate returns a verdict for each suspicious instance, ordered by instance
// name. If the node itself appears to be faulty, it returns only verdicts with
// CauseSelf.
func (d *Detector[S, P]) Evaluate(now time.Time) []Verdict {
	links, self := d.evaluateLinks(now)
	if self {
		return links
	}
	for _, s := range d.services {
		s.evaluated, s.affected = 0, 0
	}
	for _, i := range d.order {
		d.score(now, i)
	}
	out := links
	for _, i := range d.order {
		for from := range i.tracks {
			if v, ok := d.verdict(now, i, Source(from)); ok {
				out = append(out, v)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Verdict) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

// evidence appends the evidence of the running requests that count as bad to
// out.
func (t *track[S]) evidence(now time.Time, out []Evidence) []Evidence {
	for _, x := range t.running {
		if e := x.evidence(now); e.Bad {
			out = append(out, e)
		}
	}
	return out
}

// score computes the scores of an instance without the comparison with its
// siblings and updates the counts of its service.
func (d *Detector[S, P]) score(now time.Time, i *instance[S]) {
	for from := range i.tracks {
		t := &i.tracks[from]
		if len(t.running) == 0 && (t.last.IsZero() || now.Sub(t.last) > recentWindow) {
			t.score, t.rawScore = Score{}, 0
			continue
		}
		d.scratch = t.evidence(now, d.scratch[:0])
		t.score = d.Policy.Score(&t.state, now, d.scratch, i.service.seen-i.seen)
		t.rawScore = t.score.Value
		if Source(from) == SourceEntry {
			i.service.evaluated++
			if t.score.Value >= affectedScore {
				i.service.affected++
			}
		}
	}
}

// isServiceWide reports whether at least half of the other instances are
// affected, so that the fault is one of the whole service. It counts instances
// instead of averaging their scores, because several instances may be faulty at
// once.
func (i *instance[S]) isServiceWide() bool {
	others, affected := i.service.evaluated, i.service.affected
	if e := i.tracks[SourceEntry].score; !e.Since.IsZero() {
		others--
		if e.Value >= affectedScore {
			affected--
		}
	}
	return affected > 0 && serviceWideDivisor*affected >= others
}

// verdict returns the verdict on an instance from the evidence of one source, and
// false if its score is not suspicious. For a fault of the whole service, it sets
// the score to 0 and discounts the evidence.
func (d *Detector[S, P]) verdict(now time.Time, i *instance[S], from Source) (Verdict, bool) {
	t := &i.tracks[from]
	s := t.score
	if s.Value < SuspectScore {
		return Verdict{}, false
	}
	v := Verdict{Service: i.serviceName, Instance: i.name, VM: i.vm, Source: from, Cause: i.cause(now, s),
		Hypothesis: s.Hypothesis, Samples: s.Samples, Bad: s.Bad, Score: s.Value, Raw: s.Value,
		Confidence: confidence(s.LogOdds), Siblings: s.Siblings, Since: s.Since}
	if i.isServiceWide() {
		v.Cause, v.Score = CauseServiceWide, 0
		t.score.Value = 0
		if s.Value >= 1 {
			d.Policy.DiscountShared(&t.state, now)
		}
	}
	return v, true
}

// cause returns the cause of a suspicious score, apart from faults of the link or of
// the whole service.
func (i *instance[S]) cause(now time.Time, s Score) Cause {
	switch {
	case i.isCold(now):
		return CauseColdStart
	case s.Value < 1 && s.Bad <= maxStragglers && s.Hypothesis != Errors:
		return CauseStraggler
	default:
		return CauseServer
	}
}

// Reset forgets the evidence against an instance. Callers use it when the
// instance is ejected and when it returns.
func (d *Detector[S, P]) Reset(name string) {
	i, ok := d.instances[name]
	if !ok {
		return
	}
	for from := range i.tracks {
		i.tracks[from] = track[S]{}
	}
	i.link = link{}
}

// DiscountShared reduces the evidence of a source against an instance because
// the whole service shows the same fault.
func (d *Detector[S, P]) DiscountShared(now time.Time, name string, from Source) {
	if i, ok := d.instances[name]; ok {
		d.Policy.DiscountShared(&i.tracks[from].state, now)
	}
}

// DropRunning drops the running requests after a pause of the process, as their
// ages include the pause.
func (d *Detector[S, P]) DropRunning(time.Time) {
	for _, i := range d.order {
		for from := range i.tracks {
			i.tracks[from].running = nil
		}
	}
}

// Retain forgets the instances for which keep returns false.
func (d *Detector[S, P]) Retain(keep func(instance string) bool) {
	d.order = slices.DeleteFunc(d.order, func(i *instance[S]) bool {
		if keep(i.name) {
			return false
		}
		delete(d.instances, i.name)
		return true
	})
}

// instance returns the state of the instance of an observation and creates it if
// there is none.
func (d *Detector[S, P]) instance(o Observation) *instance[S] {
	if i, ok := d.instances[o.Instance]; ok {
		return i
	}
	if d.instances == nil {
		d.instances = make(map[string]*instance[S])
		d.services = make(map[string]*service)
	}
	s, ok := d.services[o.Service]
	if !ok {
		s = &service{routes: make(map[string]*route)}
		d.services[o.Service] = s
	}
	i := &instance[S]{name: o.Instance, vm: o.VM, service: s, serviceName: o.Service}
	d.instances[o.Instance] = i
	d.order = append(d.order, i)
	return i
}

// route returns the baseline of a route and creates it if there is none.
func (s *service) route(name string) *route {
	r, ok := s.routes[name]
	if !ok {
		r = &route{}
		s.routes[name] = r
	}
	return r
}

// removeRunning removes a request from the running ones and returns it, or false if
// it is not tracked.
func (t *track[S]) removeRunning(id uint64) (running, bool) {
	for k, x := range t.running {
		if x.id == id {
			last := len(t.running) - 1
			t.running[k] = t.running[last]
			t.running = t.running[:last]
			return x, true
		}
	}
	return running{}, false
}

// isCold reports whether the instance was reported or assumed to be cold within the
// last second.
func (i *instance[S]) isCold(now time.Time) bool {
	return !i.cold.IsZero() && now.Sub(i.cold) < time.Second
}

// Constants of the evaluation of links. An entry that gets no reply from a gate
// suspects the link before the backend server.
const (
	// silentShare is the share of requests without a reply over a faulty link.
	silentShare = 0.5
	// healthySilentShare is the share of requests without a reply over a
	// healthy link.
	healthySilentShare = 2e-3
	// linkThreshold is the sum of log-likelihood ratios that is enough to
	// suspect a link: two consecutive requests without a reply. A suspected
	// link only lowers the weight that this node gives to the instance.
	linkThreshold = 9
	// LinkReportScore is the score from which a link is reported to a holder:
	// one request without a reply. The holder adds up the reports of several
	// nodes.
	LinkReportScore = 0.5
	// minSilentVMs is the minimum number of VMs without a reply for which the
	// node suspects itself.
	minSilentVMs = 3
)

// Log-likelihood ratios of a request without and with a reply, for the hypothesis of
// a faulty link.
var (
	noReplyRatio = math.Log(silentShare / healthySilentShare)
	replyRatio   = math.Log((1 - silentShare) / (1 - healthySilentShare))
)

// link is the evidence about the link to a gate and back.
type link struct {
	value        float64
	samples, bad int
	since, last  time.Time
	// lastReply is the time of the last reply of the gate.
	lastReply time.Time
}

// updateLink records whether the gate of an instance replied to this node.
func (i *instance[S]) updateLink(now time.Time, o Observation) {
	if o.Source != SourceEntry || o.Kind == Aborted {
		return
	}
	l := &i.link
	l.last = now
	if o.Kind == NoReply {
		if l.value == 0 {
			*l = link{since: now, last: now, lastReply: l.lastReply}
		}
		l.value = min(l.value+noReplyRatio, 2*linkThreshold)
		l.samples++
		l.bad++
		return
	}
	l.lastReply = now
	if l.value >= linkThreshold && l.bad > maxStragglers {
		// The VM is reachable again, and its backend server may have restarted.
		i.cold = now.Add(coldAfterSilence - time.Second)
	}
	l.value = max(0, l.value+replyRatio)
	l.samples++
	if o.Kind == Answered && l.value < linkThreshold {
		l.value = max(0, l.value+replyRatio)
	}
}

// evaluateLinks returns a verdict for each suspected link of this node. If more
// VMs are without a reply than with one, and at least minSilentVMs are, self is
// true and the verdicts have CauseSelf.
func (d *Detector[S, P]) evaluateLinks(now time.Time) (out []Verdict, self bool) {
	if !d.anyLinkSuspect(now) {
		return nil, false
	}
	silent, replied := make(map[string]bool), make(map[string]bool)
	first := now
	for _, i := range d.order {
		if !i.isLinkSuspect(now) {
			continue
		}
		silent[i.vm] = true
		if i.link.since.Before(first) {
			first = i.link.since
		}
		out = append(out, Verdict{Service: i.serviceName, Instance: i.name, VM: i.vm, Source: SourceEntry, Cause: CauseLink,
			Samples: i.link.samples, Bad: i.link.bad, Score: i.link.value / linkThreshold,
			Confidence: confidence(i.link.value), Since: i.link.since})
	}
	for _, i := range d.order {
		replied[i.vm] = replied[i.vm] || i.link.lastReply.After(first)
	}
	answering := 0
	for vm, ok := range replied {
		if ok && !silent[vm] {
			answering++
		}
	}
	self = len(silent) >= minSilentVMs && len(silent) > answering
	if self {
		for k := range out {
			out[k].Cause = CauseSelf
		}
	}
	return out, self
}

// anyLinkSuspect reports whether the link to any gate is suspicious.
func (d *Detector[S, P]) anyLinkSuspect(now time.Time) bool {
	return slices.ContainsFunc(d.order, func(i *instance[S]) bool { return i.isLinkSuspect(now) })
}

// isLinkSuspect reports whether the link to the gate of an instance is
// suspicious and was used recently.
func (i *instance[S]) isLinkSuspect(now time.Time) bool {
	return i.link.value >= LinkReportScore*linkThreshold && now.Sub(i.link.last) <= recentWindow
}

package health

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxRunning bounds the running requests that are kept for an instance.
	maxRunning = 512
	// SuspectScore is the share of the threshold from which an instance stands
	// out. Two stragglers at once do not reach it.
	SuspectScore = 0.4
	// maxLearnScore is the score from which the observations of an instance do not
	// count as usual any more. It is higher than what stragglers reach, which
	// must stay part of the usual times.
	maxLearnScore = 0.6
	// gateWeight is the weight of what the gate on the same VM sees in the usual
	// times. It is low because the gate sees one instance only, and more of it
	// than of its siblings.
	gateWeight = 0.1
	// maxStragglers is the largest number of bad observations that stragglers alone
	// explain.
	maxStragglers = 2
	// recentWindow is how long an observation counts as recent.
	recentWindow = 10 * time.Second
	// coldAfterSilence is how long an instance counts as cold when it answers
	// again after it was silent.
	coldAfterSilence = 5 * time.Second
)

// Detector finds faulty instances. S is the state of policy P for one instance.
// The zero value with a Policy is ready for use.
type Detector[S any, P Policy[S]] struct {
	// Policy is the policy in use.
	Policy P

	services  map[string]*service
	instances map[string]*instance[S]
	order     []*instance[S]
	scratch   []Evidence
}

// service is what is usual in a service.
type service struct {
	routes map[string]*route
	errors errorCounts
	// seen counts the observations of the entry.
	seen int
	// evaluated and scoreReport count the instances with recent evidence and those of
	// them that stand out, at the last judgement.
	evaluated, affected int
}

// instance is what was observed of an instance.
type instance[S any] struct {
	name, vm    string
	service     *service
	serviceName string
	tracks      [sources]track[S]
	// seen is the part of the service's count that this instance contributed.
	seen int
	link link
	cold time.Time
}

// track is the evidence of one source about an instance.
type track[S any] struct {
	state   S
	running []running
	// last and failed are the times of the last observation and the last error.
	last, failed time.Time
	score        Score
	// rawScore is the score without a comparison with the siblings.
	rawScore float64
}

// running is a request without an answer.
type running struct {
	id      uint64
	route   *route
	started time.Time
	// siblings is the number of observations of siblings up to the start.
	siblings int
}

// Observe records an observation.
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
		// A request that started while the instance was cold was not recorded.
		if _, ok := t.removeRunning(o.ID); ok && !i.isCold(now) {
			d.addFinished(now, i, t, r, o)
		}
	case NoReply, Aborted:
		if x, ok := t.removeRunning(o.ID); ok && !i.isCold(now) {
			d.addUnfinished(now, i, t, x, o.Source)
		}
	}
}

// addFinished scores a request that ended with an answer or an error.
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

// addUnfinished scores a request that ended without an answer: it ran at least this long.
func (d *Detector[S, P]) addUnfinished(now time.Time, i *instance[S], t *track[S], x running, from Source) {
	if e := x.evidence(now); e.Bad {
		d.add(now, i, t, e, from)
	}
}

func (d *Detector[S, P]) add(now time.Time, i *instance[S], t *track[S], e Evidence, from Source) {
	if from == SourceEntry {
		i.seen++
		i.service.seen++
	}
	d.Policy.Add(&t.state, now, e, i.service.seen-i.seen)
}

// evidence is what the age of a running request tells.
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

// minBadRunningRatio is the ratio from which a running request counts as bad.
const minBadRunningRatio = 1

// Evaluate returns a verdict for each instance that stands out, ordered by name. A
// node that suspects itself returns no verdict about others but those with
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

// evidence appends the bad ones of the running requests.
func (t *track[S]) evidence(now time.Time, out []Evidence) []Evidence {
	for _, x := range t.running {
		if e := x.evidence(now); e.Bad {
			out = append(out, e)
		}
	}
	return out
}

// score judges an instance by itself and counts it among its service.
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

// isCommon reports whether so many of the other instances stand out that the
// fault is one of the service. It compares with most instances and not with the
// mean, as several instances may be faulty at once.
func (i *instance[S]) isCommon() bool {
	others, scoreReport := i.service.evaluated, i.service.affected
	if e := i.tracks[SourceEntry].score; !e.Since.IsZero() {
		others--
		if e.Value >= affectedScore {
			scoreReport--
		}
	}
	return scoreReport > 0 && serviceWideDivisor*scoreReport >= others
}

func (d *Detector[S, P]) verdict(now time.Time, i *instance[S], from Source) (Verdict, bool) {
	t := &i.tracks[from]
	s := t.score
	if s.Value < SuspectScore {
		return Verdict{}, false
	}
	v := Verdict{Service: i.serviceName, Instance: i.name, VM: i.vm, Source: from, Cause: i.cause(now, s),
		Hypothesis: s.Hypothesis, Samples: s.Samples, Bad: s.Bad, Score: s.Value, Raw: s.Value,
		Confidence: confidence(s.LogOdds), Siblings: s.Siblings, Since: s.Since}
	if i.isCommon() {
		v.Cause, v.Score = CauseServiceWide, 0
		t.score.Value = 0
		if s.Value >= 1 {
			d.Policy.DiscountShared(&t.state, now)
		}
	}
	return v, true
}

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

// Reset forgets the evidence against an instance. It is called when the
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

// DiscountShared tells that the evidence of a source against an instance is shared by
// its service.
func (d *Detector[S, P]) DiscountShared(now time.Time, name string, from Source) {
	if i, ok := d.instances[name]; ok {
		d.Policy.DiscountShared(&i.tracks[from].state, now)
	}
}

// DropRunning drops the running requests, whose ages span a pause of the process.
func (d *Detector[S, P]) DropRunning(time.Time) {
	for _, i := range d.order {
		for from := range i.tracks {
			i.tracks[from].running = nil
		}
	}
}

// Retain forgets the instances for which keep is false.
func (d *Detector[S, P]) Retain(keep func(instance string) bool) {
	d.order = slices.DeleteFunc(d.order, func(i *instance[S]) bool {
		if keep(i.name) {
			return false
		}
		delete(d.instances, i.name)
		return true
	})
}

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

func (s *service) route(name string) *route {
	r, ok := s.routes[name]
	if !ok {
		r = &route{}
		s.routes[name] = r
	}
	return r
}

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

func (i *instance[S]) isCold(now time.Time) bool {
	return !i.cold.IsZero() && now.Sub(i.cold) < time.Second
}

// Links: an entry that gets no word from a gate suspects the link first.
const (
	// silentShare is the share of silent requests over a bad link.
	silentShare = 0.5
	// healthySilentShare is the share over a good one.
	healthySilentShare = 2e-3
	// linkThreshold is the sum that is enough to suspect a link: two silent
	// requests in a row. It only lowers the weight that this node gives.
	linkThreshold = 9
	// LinkReportScore is the score that a holder is told of: one silent request. The
	// holder adds up the reports of several nodes.
	LinkReportScore = 0.5
	// minSilentVMs is the least number of VMs whose silence speaks against the node
	// itself.
	minSilentVMs = 3
)

var (
	noReplyRatio = math.Log(silentShare / healthySilentShare)
	replyRatio   = math.Log((1 - silentShare) / (1 - healthySilentShare))
)

// link is the evidence about the way to a gate and back.
type link struct {
	value        float64
	samples, bad int
	since, last  time.Time
	// lastReply is when the gate last answered.
	lastReply time.Time
}

// updateLink records whether the gate of an instance answered this node.
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
		// The VM is back; its backend server may have started anew.
		i.cold = now.Add(coldAfterSilence - time.Second)
	}
	l.value = max(0, l.value+replyRatio)
	l.samples++
	if o.Kind == Answered && l.value < linkThreshold {
		l.value = max(0, l.value+replyRatio)
	}
}

// evaluateLinks judges the links of this node. A node that most VMs are silent to
// suspects itself and nobody else.
func (d *Detector[S, P]) evaluateLinks(now time.Time) (out []Verdict, self bool) {
	if !d.anyLinkSuspect(now) {
		return nil, false
	}
	silent, heard := make(map[string]bool), make(map[string]bool)
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
		heard[i.vm] = heard[i.vm] || i.link.lastReply.After(first)
	}
	answering := 0
	for vm, ok := range heard {
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

func (d *Detector[S, P]) anyLinkSuspect(now time.Time) bool {
	return slices.ContainsFunc(d.order, func(i *instance[S]) bool { return i.isLinkSuspect(now) })
}

// isLinkSuspect reports whether the gate of an instance stands out as silent.
func (i *instance[S]) isLinkSuspect(now time.Time) bool {
	return i.link.value >= LinkReportScore*linkThreshold && now.Sub(i.link.last) <= recentWindow
}

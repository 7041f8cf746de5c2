package health

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// serviceShape is the size of a service of a stream: the number of instances
// and the slots of each.
type serviceShape struct {
	name  string
	count int
	slots int
}

var (
	latvia = []serviceShape{{"catalogue", 6, 3}, {"quotes", 12, 3}, {"surveys", 9, 3}}
	rio    = []serviceShape{{"galeria", 6, 4}, {"pedidos", 9, 4}, {"agenda", 9, 4}}
)

// Behaviour of the healthy backend servers of a stream. The mean service time is
// that of the stand-in backend servers, package standin/fleet.
const (
	meanTime        = 10 * time.Millisecond
	stragglerShare  = 0.01
	stragglerFactor = 50
	usualErrors     = 0.0005
	// reserveWait is how long an entry waits for the reply to a reserve.
	reserveWait        = 500 * time.Millisecond
	deadline           = 30 * time.Second
	evaluationInterval = 100 * time.Millisecond
)

// fault is a fault that is injected into an instance.
type fault struct {
	name     string
	errors   float64
	slowdown float64
	hangs    float64
	// lost is set when replies of the gate do not reach the entries.
	lost bool
	// flap is the time for which the fault is active and inactive in turn. The
	// fault is always active if flap is 0.
	flap time.Duration
}

// server is an instance of a service together with the node on its VM, whose
// detector serves both its gate and its entry.
type server[S any, P Policy[S]] struct {
	id       int
	name     string
	service  *group[S, P]
	detector *Detector[S, P]
	running  int
	fault    *fault
	since    time.Time
	cold     time.Time
	// ejected is the time until which the instance gets no requests.
	ejected time.Time
}

// group is a service of a stream.
type group[S any, P Policy[S]] struct {
	serviceShape
	servers    []*server[S, P]
	aggregator Aggregator
	// slow multiplies the service times of all instances, and errors is added
	// to their share of errors.
	slow, errors float64
}

// stream generates observations for the detectors of all nodes. It simulates no
// messages between nodes.
type stream[S any, P Policy[S]] struct {
	rng       *rand.Rand
	now       time.Time
	rate      float64
	groups    []*group[S, P]
	all       []*server[S, P]
	ends      endHeap[S, P]
	id        uint64
	evaluated time.Time
	arrival   time.Time
	// aggregator is unset for policies that eject without a decision of an
	// aggregator.
	aggregator bool
	// paced makes the gaps between arrivals equal instead of exponentially
	// distributed, and sends requests to the instances in turn.
	paced bool
	// onFaulty is called for each instance that is found faulty.
	onFaulty func(x *server[S, P], v Verdict)
	requests int
}

// end is a pending event: the end of a request at the gate, at the entry or both.
type end[S any, P Policy[S]] struct {
	at           time.Time
	target       *server[S, P]
	entry        *server[S, P]
	id           uint64
	gateKind     Kind
	entryKind    Kind
	took         time.Duration
	occupiesSlot bool
}

// endHeap is a priority queue of ends ordered by time.
type endHeap[S any, P Policy[S]] []end[S, P]

func (h endHeap[S, P]) Len() int           { return len(h) }
func (h endHeap[S, P]) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h endHeap[S, P]) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endHeap[S, P]) Push(x any)        { *h = append(*h, x.(end[S, P])) }
func (h *endHeap[S, P]) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// newStream returns a stream with the given services. The rate is in requests per
// second and instance.
func newStream[S any, P Policy[S]](seed uint64, policy P, shapes []serviceShape, rate float64) *stream[S, P] {
	s := &stream[S, P]{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), rate: rate, aggregator: true,
		onFaulty: func(*server[S, P], Verdict) {}}
	s.evaluated, s.arrival = s.now, s.now
	for _, sh := range shapes {
		g := &group[S, P]{serviceShape: sh, slow: 1}
		for i := range sh.count {
			x := &server[S, P]{id: len(s.all), name: fmt.Sprintf("%s-%02d", sh.name, i+1), service: g,
				detector: &Detector[S, P]{Policy: policy}}
			g.servers = append(g.servers, x)
			s.all = append(s.all, x)
		}
		s.groups = append(s.groups, g)
	}
	return s
}

// run simulates the given time.
func (s *stream[S, P]) run(d time.Duration) {
	stop := s.now.Add(d)
	for s.now.Before(stop) {
		next := s.arrival
		if len(s.ends) > 0 && s.ends[0].at.Before(next) {
			next = s.ends[0].at
		}
		if at := s.evaluated.Add(evaluationInterval); !at.After(next) {
			s.now, s.evaluated = at, at
			s.evaluate()
			continue
		}
		s.now = next
		if next.Equal(s.arrival) {
			s.arrive()
			gap := 1.0
			if !s.paced {
				gap = s.rng.ExpFloat64()
			}
			s.arrival = s.now.Add(time.Duration(gap / (s.rate * float64(len(s.all))) * float64(time.Second)))
			continue
		}
		s.finish(heap.Pop(&s.ends).(end[S, P]))
	}
}

// arrive sends a request to an instance from a random entry. The request is
// dropped if the instance is ejected or all its slots are in use.
func (s *stream[S, P]) arrive() {
	s.requests++
	x := s.all[s.rng.IntN(len(s.all))]
	if s.paced {
		x = s.all[s.requests%len(s.all)]
	}
	if s.now.Before(x.ejected) || x.running >= x.service.slots {
		return
	}
	entry := s.all[s.rng.IntN(len(s.all))]
	s.id++
	e := end[S, P]{target: x, entry: entry, id: s.id, gateKind: Answered, entryKind: Answered, occupiesSlot: true}
	e.took = s.serviceTime(x, &e)
	e.at = s.now.Add(e.took)
	x.running++
	s.observe(x, x.detector, SourceGate, Started, s.id, 0)
	if x.losesAnswers(s.now) {
		e.entryKind = Aborted
		heap.Push(&s.ends, end[S, P]{at: s.now.Add(reserveWait), target: x, entry: entry, id: s.id, entryKind: NoReply})
	} else {
		s.observe(x, entry.detector, SourceEntry, Started, s.id, 0)
	}
	heap.Push(&s.ends, e)
}

// active returns the fault of the instance at the given time, or nil.
func (x *server[S, P]) active(now time.Time) *fault {
	f := x.fault
	if f == nil || f.flap > 0 && now.Sub(x.since)/f.flap%2 == 1 {
		return nil
	}
	return f
}

// losesAnswers reports whether replies of the gate do not reach the entries.
func (x *server[S, P]) losesAnswers(now time.Time) bool {
	f := x.active(now)
	return f != nil && f.lost
}

// serviceTime returns the service time of a request and sets how it ends in e.
func (s *stream[S, P]) serviceTime(x *server[S, P], e *end[S, P]) time.Duration {
	d := s.rng.ExpFloat64() * float64(meanTime) * x.service.slow
	if s.rng.Float64() < stragglerShare {
		d *= stragglerFactor
	}
	if s.now.Before(x.cold) {
		d *= 8
	}
	errors := usualErrors + x.service.errors
	if f := x.active(s.now); f != nil {
		errors += f.errors
		if f.slowdown > 0 {
			d *= f.slowdown
		}
		if s.rng.Float64() < f.hangs {
			e.gateKind, e.entryKind = Aborted, Aborted
			return deadline
		}
	}
	if s.rng.Float64() < errors {
		e.gateKind, e.entryKind = Failed, Failed
	}
	return time.Duration(d)
}

// finish feeds the end of a request to the detectors of the gate and the entry.
func (s *stream[S, P]) finish(e end[S, P]) {
	if e.occupiesSlot {
		e.target.running--
		s.observe(e.target, e.target.detector, SourceGate, e.gateKind, e.id, e.took)
	}
	if e.entryKind != Aborted || e.gateKind == Aborted {
		s.observe(e.target, e.entry.detector, SourceEntry, e.entryKind, e.id, e.took)
	}
}

func (s *stream[S, P]) observe(x *server[S, P], d *Detector[S, P], from Source, k Kind, id uint64, took time.Duration) {
	d.Observe(s.now, Observation{Service: x.service.name, Instance: x.name, VM: x.name, Route: "GET /" + x.service.name + "/",
		Source: from, Kind: k, ID: id, Time: took, Cold: s.now.Before(x.cold)})
}

// evaluate runs an evaluation of all detectors and passes their verdicts to the
// aggregators. Each service has one aggregator, which decides about its
// instances.
func (s *stream[S, P]) evaluate() {
	suspects := make(map[*server[S, P]]Verdict)
	for _, reporter := range s.all {
		for _, v := range reporter.detector.Evaluate(s.now) {
			if v.Cause == CauseSelf || v.Cause == CauseColdStart {
				continue
			}
			x := s.find(v)
			x.service.aggregator.Report(s.now, Suspicion{Instance: v.Instance, Reporter: reporter.name,
				Gate: v.Source == SourceGate, Cause: v.Cause, Hypothesis: v.Hypothesis, Score: v.Score, Raw: v.Raw,
				Samples: v.Samples, Siblings: v.Siblings, Since: v.Since})
			if v.Cause == CauseLink {
				s.collectLinkReports(x, v.Since)
			}
			suspects[x] = v
		}
	}
	for x, v := range suspects {
		for _, y := range x.service.servers {
			for _, st := range y.detector.ScoreReports(s.now, x.service.name, x.service.aggregator.ComparisonStart(s.now, x.name)) {
				x.service.aggregator.AddScore(s.now, st)
			}
		}
		if !s.aggregator {
			if v.Score >= 1 {
				s.onFaulty(x, v)
			}
			continue
		}
		switch r := x.service.aggregator.Decide(s.now, x.name, x.service.count); {
		case r.Confirmed:
			s.onFaulty(x, v)
		case r.Reason == ReasonServiceWide:
			x.detector.DiscountShared(s.now, x.name, SourceGate)
		}
	}
}

// collectLinkReports asks all nodes whether they got a reply from the gate of
// an instance since the given time.
func (s *stream[S, P]) collectLinkReports(x *server[S, P], since time.Time) {
	for _, node := range s.all {
		if node.detector.GateRepliedSince(x.name, since) {
			x.service.aggregator.Report(s.now, Suspicion{Instance: x.name, Reporter: node.name, Cause: CauseLink})
		}
	}
}

// find returns the instance of a verdict.
func (s *stream[S, P]) find(v Verdict) *server[S, P] {
	for _, x := range s.all {
		if x.name == v.Instance {
			return x
		}
	}
	panic("verdict on an unknown instance " + v.Instance)
}

// reset makes all detectors and the aggregator forget the evidence against an
// instance.
func (s *stream[S, P]) reset(x *server[S, P]) {
	for _, n := range s.all {
		n.detector.Reset(x.name)
	}
	x.service.aggregator.Forget(x.name)
}

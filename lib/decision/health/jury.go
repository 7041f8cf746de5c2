package health

import "time"

// Suspicion is what one node reports about an instance to a holder of ejection
// tokens.
type Suspicion struct {
	Instance string
	// Reporter is the VM of the node that reports.
	Reporter string
	// Gate is set when the reporter is the gate beside the instance.
	Gate       bool
	Cause      Cause
	Hypothesis Hypothesis
	// Samples, Bad, Score and Siblings are those of the Verdict. A score below 1
	// is an opinion in favour of the instance.
	Samples, Bad, Siblings int
	Score                  float64
}

// Witness is what the holder's own gate saw of the same service, which is a
// sibling that the holder observes in full.
type Witness struct {
	// Samples is the number of recent requests, at most the number that matters.
	Samples int
	// Raw is the largest score of an own instance for each hypothesis.
	Raw [hypotheses]float64
}

// Ruling is the decision about a suspicion.
type Ruling struct {
	// Upheld is set when the evidence is enough to ask for a token.
	Upheld bool
	// Reason tells why not.
	Reason string
}

// Reasons of a Ruling against a suspicion.
const (
	ReasonWeak     = "evidence below the threshold"
	ReasonOneVM    = "only one VM without an answer: the link is suspected"
	ReasonMinority = "most VMs with recent evidence get answers"
	ReasonService  = "the holder's own instance of the service is as bad"
	ReasonSiblings = "no recent evidence of siblings to compare with"
)

const (
	// opinionAge is how long a report counts.
	opinionAge = 5 * time.Second
	// minReporters is the least number of VMs that must agree where the gate
	// itself does not speak.
	minReporters = 2
	// minSiblings is the least number of observations of siblings, at the
	// reporter or at the holder.
	minSiblings = 2
)

// Jury gathers the reports about instances at a holder.
type Jury struct {
	reports map[string]map[string]report
}

type report struct {
	Suspicion
	at time.Time
}

// Report records what a node says. A later report of the same node about the
// same instance replaces the earlier one.
func (j *Jury) Report(now time.Time, s Suspicion) {
	if j.reports == nil {
		j.reports = make(map[string]map[string]report)
	}
	m, ok := j.reports[s.Instance]
	if !ok {
		m = make(map[string]report)
		j.reports[s.Instance] = m
	}
	m[s.Reporter] = report{Suspicion: s, at: now}
}

// Rule decides whether the evidence against an instance is enough.
func (j *Jury) Rule(now time.Time, instance string, w Witness) Ruling {
	var against, inFavour int
	var gate, strongest *Suspicion
	for vm, r := range j.reports[instance] {
		switch {
		case now.Sub(r.at) > opinionAge:
			delete(j.reports[instance], vm)
			continue
		case r.Score < 1:
			inFavour++
			continue
		}
		against++
		if r.Gate {
			gate = &r.Suspicion
		}
		if strongest == nil || r.Score > strongest.Score {
			strongest = &r.Suspicion
		}
	}
	switch {
	case strongest == nil:
		return Ruling{Reason: ReasonWeak}
	case gate != nil:
		return compare(*gate, w)
	case against < minReporters:
		return Ruling{Reason: ReasonOneVM}
	case against <= inFavour:
		return Ruling{Reason: ReasonMinority}
	case strongest.Cause == CauseLink:
		return Ruling{Upheld: true}
	}
	return compare(*strongest, w)
}

// compare checks a suspicion against what the holder saw of the service itself.
func compare(s Suspicion, w Witness) Ruling {
	switch {
	case w.Raw[s.Hypothesis] >= suspectScore:
		return Ruling{Reason: ReasonService}
	case s.Siblings < minSiblings && w.Samples < minSiblings:
		return Ruling{Reason: ReasonSiblings}
	}
	return Ruling{Upheld: true}
}

// Forget drops the reports about an instance.
func (j *Jury) Forget(instance string) { delete(j.reports, instance) }

// Witness returns what the gates of the given VM saw of a service lately.
func (d *Detector[S, P]) Witness(now time.Time, service, vm, except string) Witness {
	var w Witness
	for _, i := range d.order {
		t := &i.tracks[SourceGate]
		if i.label != service || i.vm != vm || i.name == except || now.Sub(t.last) > opinionAge {
			continue
		}
		w.Samples = minSiblings
		h := t.score.Hypothesis
		w.Raw[h] = max(w.Raw[h], t.score.Raw)
	}
	return w
}

// Opinion returns the verdict of this node, as an entry, about the way to an
// instance, and whether it has recent evidence.
func (d *Detector[S, P]) Opinion(now time.Time, name string) (score float64, ok bool) {
	i, found := d.instances[name]
	if !found || i.link.last.IsZero() || now.Sub(i.link.last) > recent {
		return 0, false
	}
	return i.link.value / linkThreshold, true
}

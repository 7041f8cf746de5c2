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
	// Samples, Bad, Score and Siblings are those of the Verdict. A score of
	// 0 is a report in favour of the instance.
	Samples, Bad, Siblings int
	Score, Raw             float64
	// Since is when the evidence began.
	Since time.Time
}

// Decision is the decision about a suspicion.
type Decision struct {
	// Confirmed is set when the evidence is enough to ask for a token.
	Confirmed bool
	// Reason tells why not.
	Reason string
}

// Reasons of a Decision against a suspicion.
const (
	ReasonBelowThreshold = "evidence below the threshold"
	ReasonOneVM          = "only one VM without an answer: the link is suspected"
	ReasonMinority       = "most VMs with recent evidence get answers"
	ReasonServiceWide    = "too many instances of the service stand out at the same time"
	ReasonSettling       = "waiting for reports about other instances of the service"
	ReasonNoSiblings     = "no recent evidence of siblings to compare with"
)

const (
	// reportMaxAge is how long a report counts.
	reportMaxAge = 5 * time.Second
	// minReporters is the least number of VMs that must agree where the gate
	// itself does not speak.
	minReporters = 2
	// minLinkSum is the least sum of the scores of silent links: three silent
	// requests.
	minLinkSum = 1.8
	// A part of 1/crowdPart of the other instances that stand out at the same time
	// makes the fault one of the service: most instances are what is usual.
	serviceWideDivisor = 2
	// settleRequests is the number of requests of the suspect for which a
	// decision waits, so that other instances with the same fault stand out too.
	// The wait is bounded by minSettle, two judgements of a detector, and
	// maxSettle.
	settleRequests = 10
	minSettle      = 200 * time.Millisecond
	maxSettle      = 4 * time.Second
	// affectedScore is the score from which an instance belongs to a crowd: one
	// error.
	affectedScore = 0.25
	// minComparisonWindow is the least time before the evidence in which errors of
	// other instances count.
	minComparisonWindow = time.Second
	// scoreReportMaxAge is how long a scoreReport counts. Holders ask anew in less.
	scoreReportMaxAge = time.Second
	// minSiblings is the least number of observations of siblings at a reporter
	// where no other gate answers the holder.
	minSiblings = 2
)

// Aggregator gathers the reports about the instances of one service at a holder.
type Aggregator struct {
	reports      map[string]map[reporter]report
	scoreReports map[string]scoreReport
}

// ScoreReport is the score of an instance as its gate sees it, without the
// comparison with its siblings. Holders ask for it before they decide.
type ScoreReport struct {
	Instance string
	Raw      float64
}

type scoreReport struct {
	raw float64
	at  time.Time
}

// AddScore records the score report of an instance.
func (j *Aggregator) AddScore(now time.Time, s ScoreReport) {
	if j.scoreReports == nil {
		j.scoreReports = make(map[string]scoreReport)
	}
	j.scoreReports[s.Instance] = scoreReport{raw: s.Raw, at: now}
}

// reporter is a VM in one of its roles.
type reporter struct {
	vm   string
	gate bool
}

type report struct {
	Suspicion
	at time.Time
	// aboveThresholdSince is since when the score is enough.
	aboveThresholdSince time.Time
}

// Report records what a node says. A later report of the same node about the
// same instance in the same role replaces the earlier one.
func (j *Aggregator) Report(now time.Time, s Suspicion) {
	if j.reports == nil {
		j.reports = make(map[string]map[reporter]report)
	}
	m, ok := j.reports[s.Instance]
	if !ok {
		m = make(map[reporter]report)
		j.reports[s.Instance] = m
	}
	k := reporter{s.Reporter, s.Gate}
	r := report{Suspicion: s, at: now}
	if s.Score >= 1 {
		r.aboveThresholdSince = now
		if old := m[k]; !old.aboveThresholdSince.IsZero() && now.Sub(old.at) < scoreReportMaxAge {
			r.aboveThresholdSince = old.aboveThresholdSince
		}
	}
	m[k] = r
}

// Decide decides whether the evidence against an instance is enough. Instances is
// the size of the service.
func (j *Aggregator) Decide(now time.Time, instance string, instances int) Decision {
	t := j.count(now, instance)
	switch {
	case t.gate != nil:
		return j.compareWithSiblings(now, *t.gate, instances)
	case t.silentLinks >= minReporters && t.silentLinks > t.answeredLinks && t.linkSum >= minLinkSum:
		return Decision{Confirmed: true}
	case t.serverReports >= minReporters:
		return j.compareWithSiblings(now, *t.server, instances)
	case t.silentLinks+t.serverReports == 1:
		return Decision{Reason: ReasonOneVM}
	case t.silentLinks > 0 && t.silentLinks <= t.answeredLinks:
		return Decision{Reason: ReasonMinority}
	}
	return Decision{Reason: ReasonBelowThreshold}
}

// tally sums the reports about an instance.
type tally struct {
	// gate and server are the strongest reports of the gate and of an entry
	// against the backend server.
	gate, server *report
	// links, servers and inFavour count VMs.
	silentLinks, serverReports, answeredLinks int
	linkSum                                   float64
}

func (j *Aggregator) count(now time.Time, instance string) tally {
	var t tally
	for k, r := range j.reports[instance] {
		switch {
		case now.Sub(r.at) > reportMaxAge:
			delete(j.reports[instance], k)
		case r.Cause == CauseLink && r.Score >= LinkReportScore:
			t.silentLinks++
			t.linkSum += r.Score
		case r.Cause == CauseLink:
			// Samples is the number of nodes that an asked one stands for.
			t.answeredLinks += max(1, r.Samples)
		case r.Score < 1:
		case r.Gate:
			t.gate = &r
		default:
			t.serverReports++
			if t.server == nil || r.Score > t.server.Score {
				t.server = &r
			}
		}
	}
	return t
}

// compareWithSiblings checks a report against what is known of the other instances.
func (j *Aggregator) compareWithSiblings(now time.Time, r report, instances int) Decision {
	crowd, heard := j.countAffected(now, r.Instance)
	switch {
	case now.Sub(r.aboveThresholdSince) < settle(r):
		return Decision{Reason: ReasonSettling}
	case serviceWideDivisor*crowd >= instances-1 && instances > 1:
		return Decision{Reason: ReasonServiceWide}
	case r.Siblings < minSiblings && heard == 0:
		return Decision{Reason: ReasonNoSiblings}
	}
	return Decision{Confirmed: true}
}

// settle returns how long a report must stand.
func settle(r report) time.Duration {
	gap := r.aboveThresholdSince.Sub(r.Since) / time.Duration(max(r.Samples, 1))
	return min(max(settleRequests*gap, minSettle), maxSettle)
}

// countAffected counts the other instances whose score report is known and those of them
// that stand out. In a fault of the whole service, the first instance to reach
// the threshold is surrounded by many that are on their way.
func (j *Aggregator) countAffected(now time.Time, instance string) (crowd, heard int) {
	for name, x := range j.scoreReports {
		switch {
		case now.Sub(x.at) > scoreReportMaxAge:
			delete(j.scoreReports, name)
		case name != instance:
			heard++
			if x.raw >= affectedScore {
				crowd++
			}
		}
	}
	return crowd, heard
}

// ComparisonStart returns the time from which errors of other instances count for the
// crowd. It lies as long before the evidence against an instance as that is old,
// since the instance that fails first of many fails often in a short time.
func (j *Aggregator) ComparisonStart(now time.Time, instance string) time.Time {
	since := now
	for _, r := range j.reports[instance] {
		if r.Score >= 1 && r.Since.Before(since) {
			since = r.Since
		}
	}
	return since.Add(-max(now.Sub(since), minComparisonWindow))
}

// Forget drops the reports about an instance.
func (j *Aggregator) Forget(instance string) { delete(j.reports, instance) }

// ScoreReports returns the score reports of the instances of a service whose gates are
// on this VM and saw requests lately. An instance that failed a request after
// the given time belongs to the crowd: where a whole service fails, the usual
// share of errors soon rises, and with it the scores of all instances fall.
func (d *Detector[S, P]) ScoreReports(now time.Time, service string, since time.Time) []ScoreReport {
	var out []ScoreReport
	for _, i := range d.order {
		t := &i.tracks[SourceGate]
		if i.serviceName == service && now.Sub(t.last) <= reportMaxAge {
			x := ScoreReport{Instance: i.name, Raw: t.rawScore}
			if t.failed.After(since) {
				x.Raw = max(x.Raw, affectedScore)
			}
			out = append(out, x)
		}
	}
	return out
}

// GateRepliedSince reports whether this node, as an entry, got an answer from the gate of
// an instance after the given time. Such a node speaks for the instance when
// others report silence.
func (d *Detector[S, P]) GateRepliedSince(name string, since time.Time) bool {
	i, ok := d.instances[name]
	return ok && i.link.lastReply.After(since)
}

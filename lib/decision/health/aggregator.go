package health

import "time"

// Suspicion is the report of a node about an instance. The node sends it to a
// holder of ejection tokens.
type Suspicion struct {
	Instance string
	// Reporter is the name of the VM of the reporting node.
	Reporter string
	// Gate is set when the reporter is the gate on the VM of the instance.
	Gate       bool
	Cause      Cause
	Hypothesis Hypothesis
	// Samples, Bad, Siblings, Score and Raw are those of the Verdict. A Score
	// of 0 is a report in favour of the instance. In a report with CauseLink in
	// favour of the instance, Samples is the number of nodes that the reporter
	// represents.
	Samples, Bad, Siblings int
	Score, Raw             float64
	// Since is the time at which the evidence began.
	Since time.Time
}

// Decision is the result of Aggregator.Decide.
type Decision struct {
	// Confirmed is set when the evidence is enough to request an ejection
	// token.
	Confirmed bool
	// Reason tells why the suspicion is not confirmed. It is empty if it is.
	Reason string
}

// Reasons why a Decision does not confirm a suspicion.
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
	// minReporters is the minimum number of VMs that must agree when the gate
	// itself sent no report against the backend server.
	minReporters = 2
	// minLinkSum is the minimum sum of the scores of links without replies. It
	// corresponds to three requests without a reply.
	minLinkSum = 1.8
	// A fault counts as one of the whole service when at least
	// 1/serviceWideDivisor of the other instances are affected at the same
	// time: what most instances do is usual for the service.
	serviceWideDivisor = 2
	// settleRequests is the number of requests to the suspect for which a
	// decision is delayed, so that the scores of other instances with the same
	// fault can rise too. The delay is at least minSettle, which is two
	// evaluations of a detector, and at most maxSettle.
	settleRequests = 10
	minSettle      = 200 * time.Millisecond
	maxSettle      = 4 * time.Second
	// affectedScore is the score from which an instance counts as affected by a
	// fault of the service. One error is enough to reach it.
	affectedScore = 0.25
	// minComparisonWindow is the minimum time before the start of the evidence
	// in which errors of other instances count.
	minComparisonWindow = time.Second
	// scoreReportMaxAge is how long a score report counts. Holders ask for new
	// ones more often than that. It is also the longest gap between two reports
	// above the threshold that count as uninterrupted.
	scoreReportMaxAge = time.Second
	// minSiblings is the minimum number of observations of siblings at the
	// reporter if the holder has no score report of another instance.
	minSiblings = 2
)

// Aggregator collects the reports about the instances of one service. A holder
// of ejection tokens uses it to decide about suspicions.
type Aggregator struct {
	reports      map[string]map[reporter]report
	scoreReports map[string]scoreReport
}

// ScoreReport is the score of an instance at its gate, before the comparison
// with its siblings. Holders request it before they decide.
type ScoreReport struct {
	Instance string
	Raw      float64
}

type scoreReport struct {
	raw float64
	at  time.Time
}

// AddScore records the score report of an instance.
func (a *Aggregator) AddScore(now time.Time, s ScoreReport) {
	if a.scoreReports == nil {
		a.scoreReports = make(map[string]scoreReport)
	}
	a.scoreReports[s.Instance] = scoreReport{raw: s.Raw, at: now}
}

// reporter identifies a VM together with its role, gate or entry.
type reporter struct {
	vm   string
	gate bool
}

type report struct {
	Suspicion
	at time.Time
	// aboveThresholdSince is the time of the first of the uninterrupted reports
	// with a score of at least 1.
	aboveThresholdSince time.Time
}

// Report records a report of a node. It replaces an earlier report of the same
// node in the same role about the same instance.
func (a *Aggregator) Report(now time.Time, s Suspicion) {
	if a.reports == nil {
		a.reports = make(map[string]map[reporter]report)
	}
	m, ok := a.reports[s.Instance]
	if !ok {
		m = make(map[reporter]report)
		a.reports[s.Instance] = m
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

// Decide returns whether the evidence against an instance is enough to request
// an ejection token. The argument instances is the number of instances of the
// service.
func (a *Aggregator) Decide(now time.Time, instance string, instances int) Decision {
	t := a.count(now, instance)
	switch {
	case t.gate != nil:
		return a.compareWithSiblings(now, *t.gate, instances)
	case t.silentLinks >= minReporters && t.silentLinks > t.answeredLinks && t.linkSum >= minLinkSum:
		return Decision{Confirmed: true}
	case t.serverReports >= minReporters:
		return a.compareWithSiblings(now, *t.server, instances)
	case t.silentLinks+t.serverReports == 1:
		return Decision{Reason: ReasonOneVM}
	case t.silentLinks > 0 && t.silentLinks <= t.answeredLinks:
		return Decision{Reason: ReasonMinority}
	}
	return Decision{Reason: ReasonBelowThreshold}
}

// tally summarises the reports about an instance.
type tally struct {
	// gate is the report of the gate against the backend server, and server the
	// one with the highest score among those of the entries.
	gate, server *report
	// silentLinks is the number of VMs that report a link without replies, and
	// linkSum the sum of their scores. serverReports is the number of entries
	// that report the backend server, and answeredLinks the number of VMs that
	// got replies.
	silentLinks, serverReports, answeredLinks int
	linkSum                                   float64
}

// count summarises the reports about an instance and deletes expired ones.
func (a *Aggregator) count(now time.Time, instance string) tally {
	var t tally
	for k, r := range a.reports[instance] {
		switch {
		case now.Sub(r.at) > reportMaxAge:
			delete(a.reports[instance], k)
		case r.Cause == CauseLink && r.Score >= LinkReportScore:
			t.silentLinks++
			t.linkSum += r.Score
		case r.Cause == CauseLink:
			// Samples is the number of nodes that the reporter represents.
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

// compareWithSiblings decides about a report against the backend server by
// comparison with the other instances of the service.
func (a *Aggregator) compareWithSiblings(now time.Time, r report, instances int) Decision {
	affected, known := a.countAffected(now, r.Instance)
	switch {
	case now.Sub(r.aboveThresholdSince) < settle(r):
		return Decision{Reason: ReasonSettling}
	case serviceWideDivisor*affected >= instances-1 && instances > 1:
		return Decision{Reason: ReasonServiceWide}
	case r.Siblings < minSiblings && known == 0:
		return Decision{Reason: ReasonNoSiblings}
	}
	return Decision{Confirmed: true}
}

// settle returns how long the score of a report must stay at or above the
// threshold before a decision.
func settle(r report) time.Duration {
	gap := r.aboveThresholdSince.Sub(r.Since) / time.Duration(max(r.Samples, 1))
	return min(max(settleRequests*gap, minSettle), maxSettle)
}

// countAffected returns the number of other instances with a recent score
// report, known, and the number of those that are affected. When a whole
// service fails, most other instances have a rising score when the first one
// reaches the threshold.
func (a *Aggregator) countAffected(now time.Time, instance string) (affected, known int) {
	for name, x := range a.scoreReports {
		switch {
		case now.Sub(x.at) > scoreReportMaxAge:
			delete(a.scoreReports, name)
		case name != instance:
			known++
			if x.raw >= affectedScore {
				affected++
			}
		}
	}
	return affected, known
}

// ComparisonStart returns the time from which errors of other instances count
// in the comparison. It precedes the start of the evidence against the instance
// by the age of that evidence, and by at least minComparisonWindow. Of many
// failing instances, the first to be reported had many errors in a short time,
// in which the others may have had none.
func (a *Aggregator) ComparisonStart(now time.Time, instance string) time.Time {
	since := now
	for _, r := range a.reports[instance] {
		if r.Score >= 1 && r.Since.Before(since) {
			since = r.Since
		}
	}
	return since.Add(-max(now.Sub(since), minComparisonWindow))
}

// Forget deletes the reports about an instance.
func (a *Aggregator) Forget(instance string) { delete(a.reports, instance) }

// ScoreReports returns the score reports of the instances of a service that run
// on this VM and received requests in the last 5 s (reportMaxAge). An instance
// that failed a request after the given time counts as affected: when a whole
// service fails, its baseline share of errors soon rises, and the scores of all
// instances fall again.
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

// GateRepliedSince reports whether this node, as an entry, got a reply from the
// gate of an instance after the given time. Such a node is evidence in favour
// of the instance when other nodes report that they get no reply.
func (d *Detector[S, P]) GateRepliedSince(name string, since time.Time) bool {
	i, ok := d.instances[name]
	return ok && i.link.lastReply.After(since)
}

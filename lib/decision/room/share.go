package room

import "time"

const (
	// admittedLoad is the load, as a multiple of the capacity, that entries admit. It
	// is above 1, so that the gates choose among organisations and use all slots.
	admittedLoad = 1.1
	// queuePerSlot is the number of waiting requests for each slot that is let stand.
	queuePerSlot = 0.5
	// drainTime is the time in which a longer queue is to drain.
	drainTime = time.Second
	// smoothing is the weight of a new estimate of the demand.
	smoothing = 0.6
	// minShare bounds the share from below, since the demand is only seen in what is
	// admitted.
	minShare = 0.05
	// minInterval is the minimum time between two sums that are compared.
	minInterval = 200 * time.Millisecond
	// firstRound is the number of gates that are asked before the refusals of all
	// others count.
	firstRound = 4
)

// Share is the share of the requests for a service that an entry admits. It is not
// safe for concurrent use.
//
// Each sum shows how much demand was admitted relative to the capacity: what runs, what
// was refused, and the growth of the queue. Divided by the share that was admitted
// while it was measured, this estimates the whole demand. The share depends on that
// estimate alone, so the delay of the sums causes no oscillation.
type Share struct {
	last    Sum
	runTime time.Duration
	// demand is the estimated demand as a multiple of the capacity.
	demand float64
	// changes holds the shares of the last seconds, oldest first.
	changes []change
}

// change is a share that came into force.
type change struct {
	at    time.Time
	share float64
}

// Update takes a new sum into account. Slots is the number of slots of all instances;
// those that did not report are taken for free. Stay is the mean time from the offer of
// a request to its answer.
func (s *Share) Update(now time.Time, sum Sum, slots int, stay time.Duration) {
	if sum.At.Sub(s.last.At) < minInterval || slots <= 0 || sum.Running == 0 {
		return
	}
	previous := s.last
	s.last = sum
	if sum.At.Sub(previous.At) > Validity {
		s.demand, s.changes = 0, nil
		return
	}
	s.learnRunTime(sum.Load, stay)
	runTime := s.runTime.Seconds()
	growth := float64(sum.Waiting-previous.Waiting) / sum.At.Sub(previous.At).Seconds()
	excess := max(0, float64(sum.Waiting)-queuePerSlot*float64(sum.Slots)) / drainTime.Seconds()
	admitted := (float64(sum.Running) + runTime*(refusedRequests(sum.Load)+growth+excess)) / float64(slots)
	estimate := max(0, admitted) / s.meanBetween(previous.At, sum.At)
	if s.demand == 0 {
		s.demand = estimate
	}
	s.demand += smoothing * (estimate - s.demand)
	share := min(1, max(minShare, admittedLoad/max(s.demand, 1e-3)))
	s.changes = append(s.changes, change{now, share})
	for len(s.changes) > 1 && now.Sub(s.changes[1].at) > 2*Validity {
		s.changes = s.changes[1:]
	}
}

// learnRunTime updates the mean run time. By Little's law, it is to the mean stay as the
// running requests are to all. The stay lags behind a queue that changes, so while there
// is one, the run time is changed little.
func (s *Share) learnRunTime(l Load, stay time.Duration) {
	runTime := time.Duration(float64(stay) * float64(l.Running) / float64(l.Running+l.Waiting))
	weight := 0.3
	if float64(l.Waiting) > queuePerSlot*float64(l.Slots) {
		weight = 0.03
	}
	if s.runTime == 0 {
		weight = 1
	}
	s.runTime += time.Duration(weight * float64(runTime-s.runTime))
}

// refusedRequests returns the number of requests that were refused in a second. An
// entry offers a request to all gates before it gives up, and only offers after the
// first round count.
func refusedRequests(l Load) float64 {
	gates := l.Instances
	if gates >= 2*firstRound {
		gates -= firstRound
	}
	return l.Refused / float64(max(gates, 1))
}

// meanBetween returns the mean share in force between two times.
func (s *Share) meanBetween(from, to time.Time) float64 {
	sum, at, share := 0.0, from, 1.0
	for _, c := range s.changes {
		if c.at.After(to) {
			break
		}
		if c.at.After(at) {
			sum += share * c.at.Sub(at).Seconds()
			at = c.at
		}
		share = c.share
	}
	sum += share * to.Sub(at).Seconds()
	return max(minShare, sum/to.Sub(from).Seconds())
}

// Admitted returns the share of requests that are admitted.
func (s *Share) Admitted(now time.Time) float64 {
	if len(s.changes) == 0 || now.Sub(s.last.At) > Validity {
		return 1
	}
	return s.changes[len(s.changes)-1].share
}

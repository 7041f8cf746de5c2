package room

import "time"

// Sums holds the loads of the gates of a data centre, each known by a key of type K.
// It is not safe for concurrent use.
type Sums[K comparable] struct {
	reports map[K]report
}

// report is the last load of a gate.
type report struct {
	service string
	load    Load
	at      time.Time
}

// Sum is the sum of the loads of a service.
type Sum struct {
	Load
	// At is when the oldest load was measured.
	At time.Time
}

// Record records the load of a gate of a service.
func (s *Sums[K]) Record(now time.Time, gate K, service string, l Load) {
	if s.reports == nil {
		s.reports = make(map[K]report)
	}
	s.reports[gate] = report{service: service, load: l, at: now}
}

// Totals returns the sums of all services whose loads are younger than Validity, and
// forgets older loads.
func (s *Sums[K]) Totals(now time.Time) map[string]Sum {
	totals := make(map[string]Sum)
	for gate, r := range s.reports {
		if now.Sub(r.at) > Validity {
			delete(s.reports, gate)
			continue
		}
		totals[r.service] = totals[r.service].plus(Sum{Load: r.load, At: r.at})
	}
	return totals
}

// plus returns the sum of s and o.
func (s Sum) plus(o Sum) Sum {
	at := s.At
	if at.IsZero() || o.At.Before(at) {
		at = o.At
	}
	return Sum{Load: s.Plus(o.Load), At: at}
}

// Combine returns the sum over data centres, without those older than Validity.
func Combine(now time.Time, sums []Sum) Sum {
	var all Sum
	for _, s := range sums {
		if now.Sub(s.At) <= Validity {
			all = all.plus(s)
		}
	}
	return all
}

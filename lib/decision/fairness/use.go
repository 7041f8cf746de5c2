package fairness

import (
	"math"
	"time"
)

// Use is the recent use of slots by each holder: the time that its ended runs held
// slots, which decays, and the expected time of those that still run, which does not.
// It is not safe for concurrent use.
type Use[K comparable] struct {
	HalfLife time.Duration
	// Limit is the number of holders that are kept. Holders with running requests
	// are kept beyond it.
	Limit int

	table table[K, holder]
	all   holder
}

// holder is the use of one holder, in seconds.
type holder struct {
	ended decaying
	// running is the sum of the expected run times of the running requests, and
	// runs their number.
	running float64
	runs    int
}

// Begin records that a request of k got a slot, which it will hold for the time
// expected.
func (u *Use[K]) Begin(now time.Time, k K, expected time.Duration) {
	h := u.table.get(k, u.Limit, func(h *holder) float64 {
		if h.runs > 0 {
			return math.Inf(1)
		}
		return h.ended.valueAt(now, u.HalfLife)
	})
	h.begin(expected)
	u.all.begin(expected)
}

func (h *holder) begin(expected time.Duration) {
	h.running += expected.Seconds()
	h.runs++
}

// End records that a request of k, begun with the same expected time, held its slot
// for the time held.
func (u *Use[K]) End(now time.Time, k K, expected, held time.Duration) {
	h := u.table.find(k)
	if h == nil || h.runs == 0 {
		return
	}
	h.end(now, u.HalfLife, expected, held)
	u.all.end(now, u.HalfLife, expected, held)
}

func (h *holder) end(now time.Time, halfLife, expected, held time.Duration) {
	if h.runs--; h.runs == 0 {
		h.running = 0
	} else {
		h.running -= expected.Seconds()
	}
	h.ended.add(now, halfLife, held.Seconds())
}

func (h *holder) recent(now time.Time, halfLife time.Duration) time.Duration {
	return time.Duration((h.ended.valueAt(now, halfLife) + h.running) * float64(time.Second))
}

// Recent returns the recent use of k.
func (u *Use[K]) Recent(now time.Time, k K) time.Duration {
	h := u.table.find(k)
	if h == nil {
		return 0
	}
	return h.recent(now, u.HalfLife)
}

// Total returns the recent use of all holders, including those no longer kept.
func (u *Use[K]) Total(now time.Time) time.Duration { return u.all.recent(now, u.HalfLife) }

// Holders returns the number of holders that are kept.
func (u *Use[K]) Holders() int { return len(u.table.records) }

// IsLight reports whether k used at most the mean of the holders that are kept.
func (u *Use[K]) IsLight(now time.Time, k K) bool {
	return u.Recent(now, k)*time.Duration(u.Holders()) <= u.Total(now)
}

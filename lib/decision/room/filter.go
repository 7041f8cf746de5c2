package room

import (
	"math/rand/v2"
	"time"

	"cassiarack.example/lib/decision/fairness"
)

const (
	// filterHalfLife is the half-life of the recent requests by which an entry knows
	// the mix of its demand.
	filterHalfLife = 3 * time.Second
	// maxHolders bounds what is remembered of organisations.
	maxHolders = 1024
	// neglectedPart is the part of the admitted share that each holder gets at least, and
	// neglectedLightPart that of a holder with at most the mean number of requests. The
	// rule asks for a quarter of the rate of all; gates refuse some of what is admitted.
	neglectedPart      = 0.35
	neglectedLightPart = 0.8
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller may
	// try again.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// retrySpread is the largest random part of that time, relative to the rest.
	retrySpread = 0.25
	// minRate is the number of admitted requests in a second that is assumed at least.
	minRate = 2
)

// Request holds the properties of a request by which the least urgent are found.
type Request struct {
	Organisation                   string
	OrganisationPriority, Priority int
	// Nested is set for calls of instances, which are always admitted.
	Nested bool
}

// urgency is the place of a request in the order in which they are admitted.
type urgency struct {
	nested                         bool
	organisationPriority, priority int
}

// before reports whether a is more urgent than b.
func (a urgency) before(b urgency) bool {
	switch {
	case a.nested != b.nested:
		return a.nested
	case a.organisationPriority != b.organisationPriority:
		return a.organisationPriority < b.organisationPriority
	}
	return a.priority < b.priority
}

// holder is an organisation and the urgency of some of its requests.
type holder struct {
	urgency
	organisation string
}

// Filter admits a share of the requests for a service at one entry: the most urgent
// first, and among equally urgent ones each organisation up to an equal share. It is not
// safe for concurrent use.
type Filter struct {
	holders fairness.Grants[holder]
	// roomAt is when the last refused caller may expect room.
	roomAt time.Time
}

// NewFilter returns a filter without recent requests.
func NewFilter() *Filter {
	return &Filter{holders: fairness.Grants[holder]{HalfLife: filterHalfLife, Limit: maxHolders}}
}

// Admit reports whether a request is admitted at the given share. If not, it returns
// the time after which the caller may try again.
func (f *Filter) Admit(now time.Time, rng *rand.Rand, share float64, r Request) (admitted bool, retryAfter time.Duration) {
	h := holder{urgency{r.Nested, r.OrganisationPriority, r.Priority}, r.Organisation}
	f.holders.Request(now, h)
	if r.Nested || share >= 1 || rng.Float64() < f.part(now, share, h) {
		f.holders.Grant(now, h, 1)
		return true, 0
	}
	return false, f.retryAfter(now, rng)
}

// part returns the part of the requests of a holder that is admitted. Equally urgent
// holders divide what the more urgent ones leave of the share by max-min fairness.
func (f *Filter) part(now time.Time, share float64, h holder) float64 {
	all, _ := f.holders.AllRequests(now)
	left, own, holders := share*all, 0.0, 0.0
	var equal []float64
	f.holders.Each(now, func(o holder, requests float64) {
		holders++
		switch {
		case o.urgency == h.urgency:
			equal = append(equal, requests)
			if o == h {
				own = requests
			}
		case o.before(h.urgency):
			left -= requests
		}
	})
	least := neglectedPart
	if (own-1)*holders <= all {
		least = neglectedLightPart
	}
	return max(least*share, fairness.Level(left, equal)/own)
}

// retryAfter returns the time until a refused caller may expect room. Callers that are
// refused later get later times, spaced like the requests that are admitted.
func (f *Filter) retryAfter(now time.Time, rng *rand.Rand) time.Duration {
	_, granted := f.holders.AllRequests(now)
	// A steady rate keeps the half-life divided by ln 2 of it.
	rate := max(minRate, granted/filterHalfLife.Seconds()*0.69)
	if f.roomAt.Before(now) {
		f.roomAt = now
	}
	f.roomAt = f.roomAt.Add(time.Duration(float64(time.Second) / rate))
	if latest := now.Add(maxRetryAfter); f.roomAt.After(latest) {
		f.roomAt = latest
	}
	after := max(minRetryAfter, f.roomAt.Sub(now))
	return after + time.Duration(rng.Float64()*retrySpread*float64(after))
}

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
	// maxKinds and maxOrganisations bound what is remembered.
	maxKinds         = 256
	maxOrganisations = 1024
	// neglectedPart is the part of the admitted share that each kind gets at least. The
	// rule asks for a quarter of the rate of all.
	neglectedPart = 0.35
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

// kind is a kind of requests in the order in which they are admitted.
type kind struct {
	nested                         bool
	organisationPriority, priority int
	// heavy is set for organisations that send more than the mean.
	heavy bool
}

// before reports whether a is more urgent than b.
func (a kind) before(b kind) bool {
	switch {
	case a.nested != b.nested:
		return a.nested
	case a.organisationPriority != b.organisationPriority:
		return a.organisationPriority < b.organisationPriority
	case a.priority != b.priority:
		return a.priority < b.priority
	}
	return !a.heavy && b.heavy
}

// Filter admits a share of the requests for a service at one entry, the most urgent
// first. It is not safe for concurrent use.
type Filter struct {
	kinds         fairness.Grants[kind]
	organisations fairness.Grants[string]
	// roomAt is when the last refused caller may expect room.
	roomAt time.Time
}

// NewFilter returns a filter without recent requests.
func NewFilter() *Filter {
	return &Filter{kinds: fairness.Grants[kind]{HalfLife: filterHalfLife, Limit: maxKinds},
		organisations: fairness.Grants[string]{HalfLife: filterHalfLife, Limit: maxOrganisations}}
}

// Admit reports whether a request is admitted at the given share. If not, it returns
// the time after which the caller may try again.
func (f *Filter) Admit(now time.Time, rng *rand.Rand, share float64, r Request) (admitted bool, retryAfter time.Duration) {
	f.organisations.Request(now, r.Organisation)
	k := kind{r.Nested, r.OrganisationPriority, r.Priority, !f.organisations.IsLight(now, r.Organisation)}
	f.kinds.Request(now, k)
	if r.Nested || share >= 1 || f.kinds.Below(now, k, neglectedPart*share) || rng.Float64() < f.part(now, share, k) {
		f.kinds.Grant(now, k, 1)
		return true, 0
	}
	return false, f.retryAfter(now, rng)
}

// part returns the part of the requests of a kind that is admitted: what the more
// urgent ones leave of the share.
func (f *Filter) part(now time.Time, share float64, k kind) float64 {
	all, _ := f.kinds.AllRequests(now)
	ahead := f.kinds.Requests(now, func(o kind) bool { return o.before(k) })
	own := f.kinds.Requests(now, func(o kind) bool { return o == k })
	return (share*all - ahead) / own
}

// retryAfter returns the time until a refused caller may expect room. Callers that are
// refused later get later times, spaced like the requests that are admitted.
func (f *Filter) retryAfter(now time.Time, rng *rand.Rand) time.Duration {
	_, granted := f.kinds.AllRequests(now)
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

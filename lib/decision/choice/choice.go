package choice

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	KindNoInstance Kind = "no instance to choose"
)

// Error is the error of package choice.
type Error struct {
	Op      string
	Kind    Kind
	Service string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("choice: %s: %s of service %q", e.Op, e.Kind, e.Service)
}

// Candidate is an instance that may get the request.
type Candidate struct {
	// Weight is the share of the instance between 0 and 1; 0 excludes it.
	Weight float64
	// Slots is the number of requests that the instance runs at once.
	Slots int
	// OpenSlots is the number of slots that the gate last reported, which is below
	// Slots after a cold start; 0 means not reported.
	OpenSlots int
	// Outstanding counts the requests that the chooser has at the instance.
	Outstanding int
	// OthersOutstanding counts the requests of other choosers at the instance, as the gate
	// reported at Reported.
	OthersOutstanding int
	ReportedAt        time.Time
}

// Candidates are the instances of a service.
type Candidates interface {
	// Len returns the number of candidates.
	Len() int
	// LocalLen returns how many candidates are in the chooser's data centre. They
	// are the first ones.
	LocalLen() int
	// At returns candidate i.
	At(i int) Candidate
}

// Policy picks one of the candidates.
type Policy interface {
	// Pick returns an index into cs, or a negative number if no candidate has a
	// weight.
	Pick(now time.Time, rng *rand.Rand, cs Candidates) int
}

// Chooser applies a policy.
type Chooser[P Policy] struct {
	// Policy is the policy in use.
	Policy P
	// Random is the random source.
	Random *rand.Rand
}

// Choose returns the index of the chosen candidate, or an error of kind
// KindNone.
func (c *Chooser[P]) Choose(now time.Time, service string, cs Candidates) (int, error) {
	i := -1
	if cs.Len() > 0 {
		i = c.Policy.Pick(now, c.Random, cs)
	}
	if i < 0 {
		return 0, &Error{Op: "choose", Kind: KindNoInstance, Service: service}
	}
	return i, nil
}

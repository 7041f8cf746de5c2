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
	KindNone Kind = "no instance to choose"
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
	Instance string
	// Local is set when the instance is in the chooser's data centre.
	Local bool
	// Weight is the share of the instance between 0 and 1; 0 excludes it.
	Weight float64
	// Slots is the number of requests that the instance runs at once.
	Slots int
	// Outstanding counts the requests that the chooser has at the instance.
	Outstanding int
	// Running and Waiting are the last load that the gate reported, at Reported.
	Running, Waiting int
	Reported         time.Time
}

// Policy picks one of the candidates.
type Policy interface {
	// Pick returns an index into cs, which is never empty.
	Pick(now time.Time, rng *rand.Rand, cs []Candidate) int
}

// Chooser applies a policy.
type Chooser[P Policy] struct {
	// Policy is the policy in use.
	Policy P
	// Random is the random source.
	Random *rand.Rand
}

// Choose returns the chosen candidate, or an error of kind KindNone.
func (c *Chooser[P]) Choose(now time.Time, service string, cs []Candidate) (Candidate, error) {
	eligible := make([]Candidate, 0, len(cs))
	for _, x := range cs {
		if x.Weight > 0 {
			eligible = append(eligible, x)
		}
	}
	if len(eligible) == 0 {
		return Candidate{}, &Error{Op: "choose", Kind: KindNone, Service: service}
	}
	return eligible[c.Policy.Pick(now, c.Random, eligible)], nil
}

package choice

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind classifies an Error.
type Kind string

// KindNoInstance means that no candidate has a weight above 0.
const (
	KindNoInstance Kind = "no instance to choose"
)

// Error is returned when no instance can be chosen.
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
	// Weight is the relative share of requests for the instance, between 0 and 1;
	// 0 excludes it.
	Weight float64
	// Slots is the number of requests that the instance can run at once.
	Slots int
	// OpenSlots is the number of usable slots that the gate last reported. It is
	// below Slots after a cold start; 0 means not reported.
	OpenSlots int
	// Outstanding counts the unfinished requests of this chooser at the instance.
	Outstanding int
	// OthersOutstanding counts the unfinished requests of other choosers at the
	// instance, as the gate reported at ReportedAt.
	OthersOutstanding int
	ReportedAt        time.Time
}

// Candidates are the instances of a service.
type Candidates interface {
	// Len returns the number of candidates.
	Len() int
	// LocalLen returns the number of candidates in the data centre of the chooser.
	// They have the lowest indices.
	LocalLen() int
	// At returns candidate i.
	At(i int) Candidate
}

// Policy is an algorithm that picks one of the candidates.
type Policy interface {
	// Pick returns the index of a candidate, or a negative number if no candidate
	// has a weight above 0.
	Pick(now time.Time, rng *rand.Rand, cs Candidates) int
}

// Chooser picks instances by a policy.
type Chooser[P Policy] struct {
	// Policy is the policy in use.
	Policy P
	// Random is the random source that is passed to Policy.
	Random *rand.Rand
}

// Choose returns the index of the chosen candidate, or an Error of kind
// KindNoInstance.
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

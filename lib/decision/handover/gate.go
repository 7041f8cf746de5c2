package handover

import (
	"fmt"
	"time"
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	KindIncarnation Kind = "grant of another incarnation"
	KindExpired     Kind = "grant expired or voided"
	KindUsed        Kind = "grant already committed"
	KindDuplicate   Kind = "attempt already seen"
)

// Error is the error of package handover.
type Error struct {
	Op   string
	Kind Kind
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("handover: %s: %s", e.Op, e.Kind) }

// Attempt identifies one attempt of an entry to hand a request over. An entry
// never uses an identifier twice.
type Attempt [16]byte

// Grant names a reservation of one incarnation of a gate.
type Grant struct {
	Incarnation uint64
	Number      uint64
}

// Settlement is what a gate knows about an attempt.
type Settlement int

// Settlements.
const (
	// SettledUnknown means that another incarnation made the grant.
	SettledUnknown Settlement = iota
	// SettledNotRun means that the attempt did not start and cannot start.
	SettledNotRun
	// SettledStarted means that the work was started.
	SettledStarted
)

// Gate holds the grants of one gate. It is used by one goroutine.
type Gate struct {
	// Incarnation tells this run of the gate from earlier ones.
	Incarnation uint64
	// Hold is how long a grant may be committed.
	Hold time.Duration
	// Memory is how long an attempt is remembered after its last change. It
	// must exceed the longest time that a message can be on its way.
	Memory time.Duration

	number   uint64
	grants   map[uint64]*record
	attempts map[Attempt]*record
}

type state int

const (
	waiting state = iota
	reserved
	committed
	voided
)

// record is what the gate remembers of an attempt.
type record struct {
	attempt Attempt
	number  uint64
	state   state
	expires time.Time
	changed time.Time
	running bool
}

// Open notes an attempt before it gets a slot. An attempt that was seen or
// settled before is refused with an error of kind KindDuplicate.
func (g *Gate) Open(now time.Time, a Attempt) error {
	if g.attempts == nil {
		g.attempts = make(map[Attempt]*record)
		g.grants = make(map[uint64]*record)
	}
	if _, seen := g.attempts[a]; seen {
		return &Error{Op: "open", Kind: KindDuplicate}
	}
	g.attempts[a] = &record{attempt: a, state: waiting, changed: now}
	return nil
}

// Reserve gives an open attempt its grant. It fails if the attempt was voided
// while it waited.
func (g *Gate) Reserve(now time.Time, a Attempt) (Grant, error) {
	r, ok := g.attempts[a]
	if !ok || r.state != waiting {
		return Grant{}, &Error{Op: "reserve", Kind: KindExpired}
	}
	g.number++
	r.number, r.state, r.changed = g.number, reserved, now
	r.expires = now.Add(g.Hold)
	g.grants[r.number] = r
	return Grant{Incarnation: g.Incarnation, Number: r.number}, nil
}

// Commit marks the work of a grant as started. After a nil error the caller
// must start the work.
func (g *Gate) Commit(now time.Time, gr Grant) error {
	if gr.Incarnation != g.Incarnation {
		return &Error{Op: "commit", Kind: KindIncarnation}
	}
	r, ok := g.grants[gr.Number]
	switch {
	case !ok || r.state == voided:
		return &Error{Op: "commit", Kind: KindExpired}
	case r.state == committed:
		return &Error{Op: "commit", Kind: KindUsed}
	case !now.Before(r.expires):
		r.state, r.changed = voided, now
		return &Error{Op: "commit", Kind: KindExpired}
	}
	r.state, r.changed, r.running = committed, now, true
	return nil
}

// Settle voids an attempt that was not committed and tells what became of it.
// A grant of another incarnation gives SettledUnknown. Without a grant the
// attempt never got as far as a commit.
func (g *Gate) Settle(now time.Time, a Attempt, gr Grant) Settlement {
	if gr.Incarnation != g.Incarnation {
		return SettledUnknown
	}
	r, ok := g.attempts[a]
	if !ok {
		// The record was dropped or never made; the attempt must not start later.
		if err := g.Open(now, a); err != nil {
			return SettledUnknown
		}
		r = g.attempts[a]
		r.state = voided
		if gr.Number != 0 {
			return SettledUnknown
		}
		return SettledNotRun
	}
	if r.state == committed {
		return SettledStarted
	}
	r.state, r.changed = voided, now
	return SettledNotRun
}

// Void voids the grant of an attempt if it was not committed, and reports
// whether it did.
func (g *Gate) Void(now time.Time, a Attempt) bool {
	r, ok := g.attempts[a]
	if !ok || r.state == committed || r.state == voided {
		return false
	}
	r.state, r.changed = voided, now
	return true
}

// VoidAll voids all attempts that were not committed, as after a pause. It
// returns those that held a reservation.
func (g *Gate) VoidAll(now time.Time) []Attempt {
	var out []Attempt
	for _, r := range g.attempts {
		if r.state == reserved {
			out = append(out, r.attempt)
		}
		if r.state == reserved || r.state == waiting {
			r.state, r.changed = voided, now
		}
	}
	return out
}

// Finish marks the work of a grant as ended.
func (g *Gate) Finish(now time.Time, gr Grant) {
	if r, ok := g.grants[gr.Number]; ok && gr.Incarnation == g.Incarnation {
		r.running, r.changed = false, now
	}
}

// Expire voids the grants that were not committed in time and returns their
// attempts, whose slots are free again. It forgets old records.
func (g *Gate) Expire(now time.Time) []Attempt {
	var out []Attempt
	for a, r := range g.attempts {
		if r.state == reserved && !now.Before(r.expires) {
			r.state, r.changed = voided, now
			out = append(out, a)
		}
		if !r.running && r.state != waiting && now.Sub(r.changed) > g.Memory {
			delete(g.attempts, a)
			delete(g.grants, r.number)
		}
	}
	return out
}

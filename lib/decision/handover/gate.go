package handover

import (
	"errors"
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
	KindPaused      Kind = "process was paused since the grant"
)

// Error is the error of package handover.
type Error struct {
	Op   string
	Kind Kind
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("handover: %s: %s", e.Op, e.Kind) }

// MayHaveRun reports whether the work of a commit that failed with err may have
// started through another commit: the grant was used before, or it is of
// another incarnation, of whose commits this one knows nothing.
func MayHaveRun(err error) bool {
	var e *Error
	return errors.As(err, &e) && (e.Kind == KindUsed || e.Kind == KindIncarnation || e.Kind == KindDuplicate)
}

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

// GrantTable holds the grants of one gate. It is used by one goroutine.
type GrantTable struct {
	// Incarnation tells this run of the gate from earlier ones.
	Incarnation uint64
	// GrantTimeout is how long a grant may be committed.
	GrantTimeout time.Duration
	// Retention is how long an attempt is remembered after its last change. It
	// must exceed the longest time that a message can be on its way.
	Retention time.Duration
	// MaxGap is the longest time between two calls of Alive of a process that
	// is not paused; zero means that pauses are not detected.
	MaxGap time.Duration

	lastNumber    uint64
	lastHeartbeat time.Time
	grants        map[uint64]*attemptRecord
	attempts      map[Attempt]*attemptRecord
	// expiryQueue has the records in the order of their expiry, which is the order of
	// their reservation as Hold does not change.
	expiryQueue []*attemptRecord
	// removalQueue has each record once, with the oldest due time first.
	removalQueue []*attemptRecord
}

type attemptState int

const (
	waiting attemptState = iota
	reserved
	committed
	voided
)

// attemptRecord is what the gate remembers of an attempt.
type attemptRecord struct {
	attempt   Attempt
	number    uint64
	state     attemptState
	expires   time.Time
	changedAt time.Time
	running   bool
	// removalCheck is when the record is next examined for removal.
	removalCheck time.Time
}

// Open notes an attempt before it gets a slot. An attempt that was seen or
// settled before is refused with an error of kind KindDuplicate.
func (g *GrantTable) Open(now time.Time, a Attempt) error {
	if g.attempts == nil {
		g.attempts = make(map[Attempt]*attemptRecord)
		g.grants = make(map[uint64]*attemptRecord)
	}
	if _, seen := g.attempts[a]; seen {
		return &Error{Op: "open", Kind: KindDuplicate}
	}
	r := &attemptRecord{attempt: a, state: waiting, changedAt: now, removalCheck: now.Add(g.Retention)}
	g.attempts[a] = r
	g.removalQueue = append(g.removalQueue, r)
	return nil
}

// Reserve gives an open attempt its grant. It fails if the attempt was voided
// while it waited.
func (g *GrantTable) Reserve(now time.Time, a Attempt) (Grant, error) {
	r, ok := g.attempts[a]
	if !ok || r.state != waiting {
		return Grant{}, &Error{Op: "reserve", Kind: KindExpired}
	}
	g.lastNumber++
	r.number, r.state, r.changedAt = g.lastNumber, reserved, now
	r.expires = now.Add(g.GrantTimeout)
	g.grants[r.number] = r
	g.expiryQueue = append(g.expiryQueue, r)
	return Grant{Incarnation: g.Incarnation, Number: r.number}, nil
}

// Commit marks the work of a grant as started. After a nil error the caller
// must start the work. An error of kind KindUsed or KindIncarnation says nothing
// about the work, which may have started; after an error of another kind the
// grant will never start it.
func (g *GrantTable) Commit(now time.Time, gr Grant) error {
	if gr.Incarnation != g.Incarnation {
		return &Error{Op: "commit", Kind: KindIncarnation}
	}
	r, ok := g.grants[gr.Number]
	switch {
	case !ok || r.state == voided:
		return &Error{Op: "commit", Kind: KindExpired}
	case r.state == committed:
		return &Error{Op: "commit", Kind: KindUsed}
	case g.paused(now):
		r.state, r.changedAt = voided, now
		return &Error{Op: "commit", Kind: KindPaused}
	case !now.Before(r.expires):
		r.state, r.changedAt = voided, now
		return &Error{Op: "commit", Kind: KindExpired}
	}
	r.state, r.changedAt, r.running = committed, now, true
	return nil
}

// Settle voids an attempt that was not committed and tells what became of it.
// A grant of another incarnation gives SettledUnknown. Without a grant the
// attempt never got as far as a commit.
func (g *GrantTable) Settle(now time.Time, a Attempt, gr Grant) Settlement {
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
	r.state, r.changedAt = voided, now
	return SettledNotRun
}

// Void voids the grant of an attempt if it was not committed, and reports
// whether it did.
func (g *GrantTable) Void(now time.Time, a Attempt) bool {
	r, ok := g.attempts[a]
	if !ok || r.state == committed || r.state == voided {
		return false
	}
	r.state, r.changedAt = voided, now
	return true
}

// VoidAll voids all attempts that were not committed, as after a pause. It
// returns those that held a reservation.
func (g *GrantTable) VoidAll(now time.Time) []Attempt {
	var out []Attempt
	for _, r := range g.attempts {
		if r.state == reserved {
			out = append(out, r.attempt)
		}
		if r.state == reserved || r.state == waiting {
			r.state, r.changedAt = voided, now
		}
	}
	return out
}

// Finish marks the work of a grant as ended.
func (g *GrantTable) Finish(now time.Time, gr Grant) {
	if r, ok := g.grants[gr.Number]; ok && gr.Incarnation == g.Incarnation {
		r.running, r.changedAt = false, now
	}
}

// Heartbeat notes that the process runs. After a gap of more than MaxGap on the
// monotonic or the wall clock it voids all attempts that were not committed,
// and returns true and the attempts that held a reservation.
func (g *GrantTable) Heartbeat(now time.Time) ([]Attempt, bool) {
	gap := g.paused(now)
	g.lastHeartbeat = now
	if !gap {
		return nil, false
	}
	return g.VoidAll(now), true
}

// paused reports whether the process was paused since the last call of Alive.
// The monotonic clock stands still while a VM is suspended, and the wall clock
// may be set back, so either gap counts.
func (g *GrantTable) paused(now time.Time) bool {
	if g.MaxGap <= 0 || g.lastHeartbeat.IsZero() {
		return false
	}
	return now.Sub(g.lastHeartbeat) > g.MaxGap || now.Round(0).Sub(g.lastHeartbeat.Round(0)) > g.MaxGap
}

// Expire voids the grants that were not committed in time and returns their
// attempts, whose slots are free again. It forgets old records.
func (g *GrantTable) Expire(now time.Time) []Attempt {
	var out []Attempt
	for len(g.expiryQueue) > 0 && !now.Before(g.expiryQueue[0].expires) {
		r := g.expiryQueue[0]
		g.expiryQueue = g.expiryQueue[1:]
		if r.state == reserved {
			r.state, r.changedAt = voided, now
			out = append(out, r.attempt)
		}
	}
	g.removeOldRecords(now)
	return out
}

// removeOldRecords drops the records that did not change for Memory.
func (g *GrantTable) removeOldRecords(now time.Time) {
	for len(g.removalQueue) > 0 && now.After(g.removalQueue[0].removalCheck) {
		r := g.removalQueue[0]
		g.removalQueue = g.removalQueue[1:]
		if r.running || r.state == waiting || r.state == reserved || now.Sub(r.changedAt) <= g.Retention {
			r.removalCheck = now.Add(g.Retention)
			g.removalQueue = append(g.removalQueue, r)
			continue
		}
		delete(g.attempts, r.attempt)
		delete(g.grants, r.number)
	}
}

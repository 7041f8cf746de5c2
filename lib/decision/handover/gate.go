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

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("handover: %s: %s", e.Op, e.Kind) }

// MayHaveRun reports whether the work of an attempt may have started although
// Open or Commit failed with err: the grant was already committed, the attempt
// was registered before, or another incarnation made the grant, whose commits
// this one does not know.
func MayHaveRun(err error) bool {
	var e *Error
	return errors.As(err, &e) && (e.Kind == KindUsed || e.Kind == KindIncarnation || e.Kind == KindDuplicate)
}

// Attempt identifies one attempt of an entry node to hand a request to a gate.
// An entry node never uses an identifier twice.
type Attempt [16]byte

// Grant identifies a reservation that one incarnation of a gate made.
type Grant struct {
	Incarnation uint64
	Number      uint64
}

// Settlement is the gate's answer to a settlement request.
type Settlement int

// Settlements of an attempt.
const (
	// SettledUnknown means that the gate cannot tell, because another
	// incarnation made the grant or the record of the attempt was removed.
	SettledUnknown Settlement = iota
	// SettledNotRun means that the attempt did not start and cannot start
	// later.
	SettledNotRun
	// SettledStarted means that the work of the attempt started.
	SettledStarted
)

// GrantTable holds the attempts and grants of one gate. It is not safe for
// concurrent use.
type GrantTable struct {
	// Incarnation distinguishes this run of the gate from earlier ones.
	Incarnation uint64
	// GrantTimeout is the time after its reservation in which a grant can be
	// committed. It must not change.
	GrantTimeout time.Duration
	// Retention is how long the record of an attempt is kept after its last
	// change. It must exceed the longest time that a message can be in transit.
	Retention time.Duration
	// MaxGap is the longest time between two calls of Heartbeat by a process
	// that is not paused. Zero disables the detection of pauses.
	MaxGap time.Duration

	lastNumber    uint64
	lastHeartbeat time.Time
	grants        map[uint64]*attemptRecord
	attempts      map[Attempt]*attemptRecord
	// expiryQueue holds the records of grants in the order of their expiry,
	// which is the order of their reservation because GrantTimeout does not
	// change.
	expiryQueue []*attemptRecord
	// removalQueue holds each record once, in the order of removalCheck.
	removalQueue []*attemptRecord
}

type attemptState int

const (
	waiting attemptState = iota
	reserved
	committed
	voided
)

// attemptRecord is the state of an attempt at the gate.
type attemptRecord struct {
	attempt   Attempt
	number    uint64
	state     attemptState
	expires   time.Time
	changedAt time.Time
	running   bool
	// removalCheck is the time at which the record is next examined for
	// removal.
	removalCheck time.Time
}

// Open registers an attempt that waits for a slot. An attempt that was
// registered or settled before fails with an error of kind KindDuplicate.
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

// Reserve returns a grant for a registered attempt. It fails with an error of
// kind KindExpired if the attempt was voided while it waited.
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
// must start the work. After an error of kind KindUsed or KindIncarnation the
// work may have started through another commit; after an error of another kind
// the grant never starts it.
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

// Settle voids an attempt that was not committed and returns whether its work
// started. It returns SettledUnknown for a grant of another incarnation. A zero
// grant number means that the entry node received no grant and so sent no
// commit.
func (g *GrantTable) Settle(now time.Time, a Attempt, gr Grant) Settlement {
	if gr.Incarnation != g.Incarnation {
		return SettledUnknown
	}
	r, ok := g.attempts[a]
	if !ok {
		// The record was removed or never made. A voided record keeps a late
		// reservation of the attempt from starting the work.
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

// Void voids an attempt that was not committed, and reports whether it did.
func (g *GrantTable) Void(now time.Time, a Attempt) bool {
	r, ok := g.attempts[a]
	if !ok || r.state == committed || r.state == voided {
		return false
	}
	r.state, r.changedAt = voided, now
	return true
}

// VoidAll voids all attempts that were not committed, as is necessary after a
// pause. It returns the attempts that held a reservation.
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

// Finish marks the work of a grant as finished.
func (g *GrantTable) Finish(now time.Time, gr Grant) {
	if r, ok := g.grants[gr.Number]; ok && gr.Incarnation == g.Incarnation {
		r.running, r.changedAt = false, now
	}
}

// Heartbeat records that the process runs. If more than MaxGap passed since the
// last call, on the monotonic or on the wall clock, it voids all attempts that
// were not committed and returns those that held a reservation, and true.
func (g *GrantTable) Heartbeat(now time.Time) ([]Attempt, bool) {
	gap := g.paused(now)
	g.lastHeartbeat = now
	if !gap {
		return nil, false
	}
	return g.VoidAll(now), true
}

// paused reports whether the process was paused since the last heartbeat. It
// checks both clocks: the monotonic clock stops while a VM is suspended, and
// the wall clock may be set back.
func (g *GrantTable) paused(now time.Time) bool {
	if g.MaxGap <= 0 || g.lastHeartbeat.IsZero() {
		return false
	}
	return now.Sub(g.lastHeartbeat) > g.MaxGap || now.Round(0).Sub(g.lastHeartbeat.Round(0)) > g.MaxGap
}

// Expire voids the grants that were not committed in time and returns their
// attempts, whose slots are free again. It also removes old records.
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

// removeOldRecords removes the records of finished and voided attempts that did
// not change for longer than Retention.
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

package freshness

import "time"

const (
	// driftDivisor is the inverse of the largest relative difference between the
	// clocks of two nodes. Time synchronisation changes the rate of a clock by up to
	// 500 ppm, in either direction.
	driftDivisor = 1000
	// Margin is subtracted from the bound once.
	Margin = 100 * time.Millisecond
	// maxAge bounds the ages and clock differences that are used, so that sums do
	// not overflow.
	maxAge = 365 * 24 * time.Hour
)

// Proof states that a read of the store that began at ProvedAt or later returned a
// configuration. The zero value proves nothing.
type Proof struct {
	Version  uint64
	ProvedAt time.Time
}

// Age returns the age of the proof, or false if there is no proof or no time.
func (p Proof) Age(now time.Time) (time.Duration, bool) {
	if p.ProvedAt.IsZero() || now.IsZero() {
		return 0, false
	}
	return now.Sub(p.ProvedAt), true
}

// Fresh reports whether the configuration may be used at now if no version may be
// used for longer than bound after a newer one was published.
func (p Proof) Fresh(now time.Time, bound time.Duration) bool {
	age, ok := p.Age(now)
	return ok && age <= maxAge && withDrift(age)+Margin <= bound
}

// Replaces reports whether p is to be kept instead of q. A proof of a newer version
// replaces any of an older one, even if it is older.
func (p Proof) Replaces(q Proof) bool {
	return p.Version > q.Version || p.Version == q.Version && p.ProvedAt.After(q.ProvedAt)
}

// Statement returns what the node tells others about its proof at now.
func (p Proof) Statement(now time.Time) Statement {
	age, ok := p.Age(now)
	if !ok {
		return Statement{Version: p.Version, Age: -1}
	}
	return Statement{Version: p.Version, Age: max(age, 1)}
}

// Statement is what another node tells about its proof. The age is positive if it has
// one. Zero is the value of a field that the node did not set.
type Statement struct {
	Version uint64
	Age     time.Duration
}

// Proof returns what the statement proves if it was made at the time at or later.
func (s Statement) Proof(at time.Time) (Proof, bool) {
	if at.IsZero() || s.Version == 0 || s.Age <= 0 || s.Age > maxAge {
		return Proof{}, false
	}
	return Proof{Version: s.Version, ProvedAt: at.Add(-withDrift(s.Age))}, true
}

// withDrift returns the longest time that may have passed when a clock advanced by d.
func withDrift(d time.Duration) time.Duration { return d + max(d, 0)/driftDivisor }

// withoutDrift returns the shortest time that may have passed when a clock advanced
// by d.
func withoutDrift(d time.Duration) time.Duration { return d - d/driftDivisor }

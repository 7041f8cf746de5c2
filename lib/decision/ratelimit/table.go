package ratelimit

import "time"

// idler is a value that can tell whether it may be dropped.
type idler interface {
	Idle(now time.Time) bool
}

const (
	// maxEntries bounds a table. At the target size, a node is a ledger of 350
	// organisations.
	maxEntries = 1 << 16
	// sweepInterval is the time between two searches for idle values.
	sweepInterval = 5 * time.Second
)

// table maps organisations to values. It drops those that are idle.
type table[V idler] struct {
	values  map[string]V
	sweptAt time.Time
}

// get returns the value of an organisation. If there is none, it adds that of create. It
// reports false if the table is full.
func (t *table[V]) get(now time.Time, organisation string, create func() V) (V, bool) {
	t.sweep(now)
	if v, ok := t.values[organisation]; ok {
		return v, true
	}
	if len(t.values) >= maxEntries {
		var zero V
		return zero, false
	}
	if t.values == nil {
		t.values = make(map[string]V)
	}
	v := create()
	t.values[organisation] = v
	return v, true
}

// sweep drops idle values, at most once in sweepInterval.
func (t *table[V]) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < sweepInterval {
		return
	}
	t.sweptAt = now
	for k, v := range t.values {
		if v.Idle(now) {
			delete(t.values, k)
		}
	}
}

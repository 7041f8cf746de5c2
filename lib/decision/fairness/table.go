package fairness

import (
	"math"
	"time"
)

// decaying is a value that halves in each half-life.
type decaying struct {
	value float64
	at    time.Time
}

// valueAt returns the value at now.
func (d *decaying) valueAt(now time.Time, halfLife time.Duration) float64 {
	age := now.Sub(d.at)
	if d.value == 0 || age <= 0 {
		return d.value
	}
	return d.value * math.Exp2(-age.Seconds()/halfLife.Seconds())
}

// add adds x to the value at now.
func (d *decaying) add(now time.Time, halfLife time.Duration, x float64) {
	d.value = d.valueAt(now, halfLife) + x
	if now.After(d.at) {
		d.at = now
	}
}

// table maps keys to records and keeps at most limit of them.
type table[K comparable, R any] struct {
	records map[K]*R
}

// find returns the record of k, or nil.
func (t *table[K, R]) find(k K) *R { return t.records[k] }

// get returns the record of k and creates it if it does not exist. If the table
// would exceed limit, it first drops the records whose weight is at most the mean.
// Records of infinite weight are kept.
func (t *table[K, R]) get(k K, limit int, weight func(*R) float64) *R {
	if r, ok := t.records[k]; ok {
		return r
	}
	if t.records == nil {
		t.records = make(map[K]*R)
	}
	if len(t.records) >= limit {
		t.shrink(weight)
	}
	r := new(R)
	t.records[k] = r
	return r
}

func (t *table[K, R]) shrink(weight func(*R) float64) {
	sum, n := 0.0, 0
	for _, r := range t.records {
		if w := weight(r); !math.IsInf(w, 1) {
			sum, n = sum+w, n+1
		}
	}
	// Rounding may leave equal weights above their mean.
	mean := sum / float64(max(n, 1)) * (1 + 1e-9)
	for k, r := range t.records {
		if weight(r) <= mean {
			delete(t.records, k)
		}
	}
}

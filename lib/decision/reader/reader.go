package reader

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

const (
	// PerDataCentre is the number of readers of a data centre. With two, the
	// loss of one delays no change.
	PerDataCentre = 2
	// ReadsPerSecond bounds the lasting rate of one node's reads.
	ReadsPerSecond = 1
	// ReadBurst lets a node read a configuration of 10 MB, which is about 10
	// documents, at once.
	ReadBurst = 20

	backoffBase = 500 * time.Millisecond
	backoffMax  = 30 * time.Second
)

// Member is a VM as a node sees it.
type Member struct {
	Name       string
	DataCentre string
	Alive      bool
}

// IsReader reports whether the node self of a data centre reads the platform.
// A node without any member reads, as it may be the first.
func IsReader(_ time.Time, self, dataCentre string, members []Member) bool {
	own := rank(dataCentre, self)
	below := 0
	for _, m := range members {
		if m.Name == self || m.DataCentre != dataCentre || !m.Alive {
			continue
		}
		if r := rank(dataCentre, m.Name); r < own || r == own && m.Name < self {
			below++
		}
	}
	return below < PerDataCentre
}

func rank(dataCentre, name string) uint64 {
	return xxhash.Sum64String(dataCentre + "\x00" + name)
}

// Budget bounds the reads of a node.
type Budget struct {
	limiter *rate.Limiter
}

// NewBudget returns a full budget.
func NewBudget() *Budget {
	return &Budget{limiter: rate.NewLimiter(ReadsPerSecond, ReadBurst)}
}

// Reserve spends a read and returns how long the caller must wait before it.
func (b *Budget) Reserve(now time.Time) time.Duration {
	return b.limiter.ReserveN(now, 1).DelayFrom(now)
}

// Backoff returns the wait after a number of failures in a row, drawn evenly
// between zero and a bound that doubles, so that readers which failed together
// do not return together.
func Backoff(rng *rand.Rand, failures int) time.Duration {
	bound := backoffMax
	if failures < 7 {
		bound = min(backoffMax, backoffBase<<max(0, failures-1))
	}
	return time.Duration(rng.Int64N(int64(bound) + 1))
}

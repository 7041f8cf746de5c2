package reader

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

const (
	// PerDataCentre is the number of readers in a data centre. With two, the loss
	// of one does not delay any change.
	PerDataCentre = 2
	// ReadsPerSecond is the sustained rate limit for the reads of one node.
	ReadsPerSecond = 1
	// ReadBurst is the number of reads that a node may make at once. It allows for
	// a configuration of 10 MB, which is about 10 documents.
	ReadBurst = 20

	backoffBase = 500 * time.Millisecond
	backoffMax  = 30 * time.Second
)

// Member describes a VM as a node sees it.
type Member struct {
	Name       string
	DataCentre string
	Alive      bool
}

// IsReader reports whether node self of a data centre reads from the platform. A
// node that knows no other member is a reader, as it may be the first node.
func IsReader(_ time.Time, self, dataCentre string, members []Member) bool {
	ownRank := rank(dataCentre, self)
	ahead := 0
	for _, m := range members {
		if m.Name == self || m.DataCentre != dataCentre || !m.Alive {
			continue
		}
		if r := rank(dataCentre, m.Name); r < ownRank || r == ownRank && m.Name < self {
			ahead++
		}
	}
	return ahead < PerDataCentre
}

func rank(dataCentre, name string) uint64 {
	return xxhash.Sum64String(dataCentre + "\x00" + name)
}

// Budget limits the rate of reads of a node.
type Budget struct {
	limiter *rate.Limiter
}

// NewBudget returns a full budget.
func NewBudget() *Budget {
	return &Budget{limiter: rate.NewLimiter(ReadsPerSecond, ReadBurst)}
}

// Reserve reserves one read and returns how long the caller must wait before it.
func (b *Budget) Reserve(now time.Time) time.Duration {
	return b.limiter.ReserveN(now, 1).DelayFrom(now)
}

// Backoff returns a random wait after a number of consecutive failures. It is
// uniformly distributed between zero and a bound that doubles with each failure
// up to 30 s, so that readers that failed together do not retry together.
func Backoff(rng *rand.Rand, failures int) time.Duration {
	bound := backoffMax
	if failures < 7 {
		bound = min(backoffMax, backoffBase<<max(0, failures-1))
	}
	return time.Duration(rng.Int64N(int64(bound) + 1))
}

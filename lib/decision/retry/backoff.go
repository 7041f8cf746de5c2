package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// backoffBase limits the delay before the first retry.
	backoffBase = 5 * time.Millisecond
	// backoffMax limits the delay before any retry.
	backoffMax = 500 * time.Millisecond
)

// Backoff returns the delay before retry number n, which counts from 0. Full
// jitter keeps callers that failed together from retrying together.
func Backoff(rng *rand.Rand, n int) time.Duration {
	limit := backoffMax
	if n < 16 {
		limit = min(limit, backoffBase<<n)
	}
	return time.Duration(rng.Int64N(int64(limit)))
}

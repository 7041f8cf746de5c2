package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// backoffBase bounds the delay before the first repeat.
	backoffBase = 5 * time.Millisecond
	// backoffMax bounds the delay before any repeat.
	backoffMax = 500 * time.Millisecond
)

// Backoff returns the delay before repeat number n, which counts from 0. Full
// jitter keeps callers that failed together from coming back together.
func Backoff(rng *rand.Rand, n int) time.Duration {
	limit := backoffMax
	if n < 16 {
		limit = min(limit, backoffBase<<n)
	}
	return time.Duration(rng.Int64N(int64(limit)))
}

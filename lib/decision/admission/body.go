package admission

import "time"

// SmallBody is the size in bytes up to which the body of a request does not count
// towards Queue.MaxBodyBytes. Requests with small bodies are never held up by those
// with large ones.
const SmallBody = 64 << 10

// countedBytes returns the bytes of a body that count towards MaxBodyBytes.
func countedBytes(n int64) int64 {
	if n <= SmallBody {
		return 0
	}
	return n
}

// fits reports whether the body of r may be handed to the instance beside those of
// the running requests. A body that exceeds the bound by itself runs alone.
func (q *Queue[T]) fits(r Request) bool {
	n := countedBytes(r.BodyBytes)
	return n == 0 || q.MaxBodyBytes <= 0 || q.bodyBytes == 0 || q.bodyBytes+n <= q.MaxBodyBytes
}

// isSmall reports whether the body of r never waits for room.
func isSmall(r Request) bool { return countedBytes(r.BodyBytes) == 0 }

// passes reports whether a new request may start before the waiting ones: its body is
// small, no other small one waits, and the body of the first one does not fit.
func (q *Queue[T]) passes(now time.Time, r Request) bool {
	if !isSmall(r) || q.first(now, isSmall) >= 0 {
		return false
	}
	return !q.fits(q.waiting[q.first(now, anyRequest)].Request)
}

func anyRequest(Request) bool { return true }

// Package memory bounds the memory that the bodies of requests and answers take
// while they are in flight.
//
// Each body is bounded by itself, but a process forwards many at a time. Without
// a common bound, a few peers that send bytes without end would together exceed
// the memory limit of the process.
package memory

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

// initialCapacity is the capacity in bytes with which a body begins.
const initialCapacity = 4 << 10

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindTooLarge means that the body exceeds its own limit.
	KindTooLarge Kind = "too large"
	// KindExhausted means that the bodies in flight use the whole pool.
	KindExhausted Kind = "memory exhausted"
	// KindRead means that the source returned an error before its end.
	KindRead Kind = "read"
)

// Error is the error of package memory.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	// Err is the cause, or nil.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("memory: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("memory: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is an Error of the given kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}

// Pool is an amount of memory for bodies. It is safe for concurrent use.
type Pool struct {
	// Limit is the size of the pool in bytes. Zero means no limit.
	Limit int64

	used atomic.Int64
}

// Used returns the number of bytes in use.
func (p *Pool) Used() int64 { return p.used.Load() }

// ReadAll reads r to its end, at most limit bytes. The memory of the result is
// taken from the pool until Release. On an error, nothing stays taken.
func (p *Pool) ReadAll(r io.Reader, limit int) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, err := p.grow(body, limit)
			if err != nil {
				p.Release(body)
				return nil, err
			}
			body = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
			p.Release(body)
			return nil, &Error{Op: "read body", Kind: KindTooLarge}
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			p.Release(body)
			return nil, &Error{Op: "read body", Kind: KindRead, Err: err}
		}
	}
}

// grow returns a copy of body with twice its capacity, at most limit+1, and moves
// the reservation to it. The extra byte shows that a body exceeds its limit.
func (p *Pool) grow(body []byte, limit int) ([]byte, error) {
	size := min(max(initialCapacity, 2*cap(body)), limit+1)
	// The old and the new memory are in use together while the bytes are copied.
	if !p.reserve(int64(size)) {
		return body, &Error{Op: "read body", Kind: KindExhausted}
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	p.Release(body)
	return grown, nil
}

func (p *Pool) reserve(n int64) bool {
	if used := p.used.Add(n); p.Limit > 0 && used > p.Limit {
		p.used.Add(-n)
		return false
	}
	return true
}

// Release returns the memory of a body that ReadAll returned. A nil body holds no
// memory.
func (p *Pool) Release(body []byte) { p.used.Add(-int64(cap(body))) }

// Package memory bounds the memory that the bodies of requests and answers take
// while they are in flight.
//
// Each body is bounded by itself, but a process forwards many at a time. Without
// a common bound, a few peers that send bytes without end would together exceed
// the memory limit of the process.
package memory

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"sync"
)

// initialCapacity is the capacity in bytes with which a body begins.
const initialCapacity = 4 << 10

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindTooLarge means that the body exceeds its own limit.
	KindTooLarge Kind = "too large"
	// KindExhausted means that the bodies in flight leave too little memory.
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

// Large is the size in bytes above which a body counts as large.
const Large = 64 << 10

// largeShare is the part of an account that large bodies may take, so that small
// ones are served while many large ones are in flight.
const largeShare = 0.5

// Account is the memory that all bodies in a process may take together, with the
// copies that are made of them. It is safe for concurrent use.
type Account struct {
	// Limit is the size of the account in bytes. Zero means no limit. While the
	// account is in use, SetLimit changes it.
	Limit int64
	// AnswerShare is the part of the account that requests leave to answers: a request
	// that ran and whose answer does not fit fails.
	AnswerShare float64
	// OnRefusal, if not nil, is called after each refused reservation with its size.
	OnRefusal func(size int64)

	mu sync.Mutex
	// all are the bytes in use, and requests the part of them that is not for answers.
	all, requests usage
	// added is the part of the bytes in use that no reservation preceded.
	added int64
}

// usage is a number of bytes in use, and the part of it that belongs to large bodies.
type usage struct{ bytes, large int64 }

func (u *usage) add(n int64) {
	u.bytes += n
	if n > Large || n < -Large {
		u.large += n
	}
}

// SetLimit changes the size of the account. Memory in use stays in use.
func (a *Account) SetLimit(limit int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Limit = limit
}

// Used returns the number of bytes in use.
func (a *Account) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.all.bytes
}

// reserve takes n bytes of the given kind if they fit. Those of requests leave the share
// of answers free. Large bodies fit if all of them take at most their share, and those
// of requests at most the given one. Bytes that no reservation preceded count only
// against large bodies, so that small ones go on.
func (a *Account) reserve(n int64, answer bool, share float64) bool {
	a.mu.Lock()
	limit := float64(a.Limit)
	fits := a.all.bytes-a.added+n <= a.Limit
	if n > Large {
		fits = a.all.bytes+n <= a.Limit && float64(a.all.large+n) <= largeShare*limit
	}
	if !answer {
		fits = fits && float64(a.requests.bytes+n) <= (1-a.AnswerShare)*limit &&
			(n <= Large || float64(a.requests.large+n) <= share*limit)
	}
	fits = fits || a.Limit <= 0
	if fits {
		a.addLocked(n, answer)
	}
	a.mu.Unlock()
	if !fits && a.OnRefusal != nil {
		a.OnRefusal(n)
	}
	return fits
}

// release returns n bytes.
func (a *Account) release(n int64, answer bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addLocked(-n, answer)
}

// overdraw takes n bytes of an answer that are in use already, or returns -n bytes.
func (a *Account) overdraw(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.added += n
	a.addLocked(n, true)
}

func (a *Account) addLocked(n int64, answer bool) {
	a.all.add(n)
	if !answer {
		a.requests.add(n)
	}
}

// Pool is the access of one kind of bodies to an account. It is safe for concurrent
// use.
type Pool struct {
	Account *Account
	// Answers is set if the bodies are those of answers.
	Answers bool
	// LargeShare is the part of the account up to which large bodies of requests are
	// accepted. Zero means the part of all large bodies.
	LargeShare float64
}

func (p *Pool) reserve(n int64) bool {
	return p.Account.reserve(n, p.Answers, cmp.Or(p.LargeShare, largeShare))
}

// ReadFull reads exactly size bytes of r. The memory of the result is taken from the
// pool until Release, before anything is read. On an error, nothing stays taken.
func (p *Pool) ReadFull(r io.Reader, size int) ([]byte, error) {
	body, err := p.Make(size)
	if err != nil {
		return nil, err
	}
	if _, err := io.ReadFull(r, body); err != nil {
		p.Release(body)
		return nil, &Error{Op: "read body", Kind: KindRead, Err: err}
	}
	return body, nil
}

// Make returns a body of size bytes whose memory is taken from the pool until
// Release.
func (p *Pool) Make(size int) ([]byte, error) {
	if !p.reserve(int64(size)) {
		return nil, &Error{Op: "make body", Kind: KindExhausted}
	}
	return make([]byte, size), nil
}

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

// Release returns the memory of a body that the pool made or read. A nil body holds
// no memory.
func (p *Pool) Release(body []byte) { p.Account.release(int64(cap(body)), p.Answers) }

// Hold is memory of an account that is released as a whole, such as that of an answer
// until it is written. It is safe for concurrent use. A nil Hold counts nothing.
type Hold struct {
	// Account is the account that the memory belongs to.
	Account *Account

	mu    sync.Mutex
	taken []taken
}

// taken is memory of a hold.
type taken struct {
	bytes  int64
	answer bool
	// added is set if no reservation preceded.
	added bool
}

// Reserve takes n bytes of the pool, which belongs to the same account, if they fit.
func (h *Hold) Reserve(p *Pool, n int64) error {
	if h == nil {
		return nil
	}
	if !p.reserve(n) {
		return &Error{Op: "reserve", Kind: KindExhausted}
	}
	h.keep(taken{bytes: n, answer: p.Answers})
	return nil
}

// Add takes n bytes of an answer that are in use already. They may exceed the limit of the
// account, which then refuses large bodies.
func (h *Hold) Add(n int64) {
	if h == nil {
		return
	}
	h.Account.overdraw(n)
	h.keep(taken{bytes: n, answer: true, added: true})
}

// Keep takes over the memory of an answer's body that a pool of the same account made
// or read.
func (h *Hold) Keep(body []byte) {
	if h != nil {
		h.keep(taken{bytes: int64(cap(body)), answer: true})
	}
}

func (h *Hold) keep(t taken) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.taken = append(h.taken, t)
}

// Release returns all memory of the hold.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	h.mu.Lock()
	all := h.taken
	h.taken = nil
	h.mu.Unlock()
	for _, t := range all {
		if t.added {
			h.Account.overdraw(-t.bytes)
		} else {
			h.Account.release(t.bytes, t.answer)
		}
	}
}

package ring

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassiarack.example/lib/golden"
)

// TestAnswers guards against a ring that blocks or drops an item where it must
// return an error.
func TestAnswers(t *testing.T) {
	var b strings.Builder
	note := func(what string, v any, err error) { fmt.Fprintf(&b, "%s: %v, %v\n", what, v, err) }
	r := New[int](2)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := r.Take(ended)
	note("take from empty", nil, err)
	note("offer 1", nil, r.Offer(1))
	note("put 2", nil, r.Put(t.Context(), 2))
	note("offer to full", nil, r.Offer(3))
	note("put to full", nil, r.Put(ended, 3))
	r.Close()
	r.Close()
	note("offer to closed", nil, r.Offer(3))
	for range 3 {
		v, err := r.Take(t.Context())
		note("take", v, err)
	}
	s := r.Stats()
	fmt.Fprintf(&b, "depth %d of %d, taken %d, refused %d\n", s.Depth, s.Capacity, s.Taken, s.Refused)
	golden.Check(t, "answers", b.String())
}

// TestManyProducers guards against lost or duplicated items under contention.
func TestManyProducers(t *testing.T) {
	is := is.New(t)
	const producers, each = 8, 1000
	r := New[int](4)
	var wg sync.WaitGroup
	for p := range producers {
		wg.Go(func() {
			for i := range each {
				if err := r.Put(t.Context(), p*each+i); err != nil {
					t.Error(err)
				}
			}
		})
	}
	go func() { wg.Wait(); r.Close() }()
	seen := make(map[int]bool)
	for {
		v, err := r.Take(t.Context())
		if errors.Is(err, ErrClosed) {
			break
		}
		is.NoErr(err)
		is.True(!seen[v])
		seen[v] = true
	}
	is.Equal(len(seen), producers*each)
}

// TestAsk guards against a call that waits for ever because the goroutine that
// serves the ring has ended.
func TestAsk(t *testing.T) {
	is := is.New(t)
	r := New[Call[int, int]](1)
	d := Duty[Call[int, int]]{Ring: r, Handle: func(_ time.Time, c Call[int, int]) { c.Reply(c.Query * 2) }}
	done := make(chan error)
	go func() { done <- d.Run(t.Context()) }()
	a, err := Ask(t.Context(), r, 21)
	is.NoErr(err)
	is.Equal(a, 42)
	r.Close()
	is.NoErr(<-done)
	_, err = Ask(t.Context(), r, 1)
	is.True(errors.Is(err, ErrClosed))
}

// TestIdle guards against ticks while Idle reports true, and against ticks that do
// not resume after a command.
func TestIdle(t *testing.T) {
	is := is.New(t)
	work, ticks := 0, 0
	r := New[int](1)
	ticked := make(chan int, 100)
	d := Duty[int]{Ring: r, Interval: time.Millisecond, Handle: func(_ time.Time, n int) { work = n },
		Tick: func(time.Time) { work--; ticks++; ticked <- ticks }, Idle: func() bool { return work == 0 }}
	done := make(chan error)
	go func() { done <- d.Run(t.Context()) }()
	for _, n := range []int{3, 2} {
		is.NoErr(r.Put(t.Context(), n))
		for range n {
			<-ticked
		}
	}
	r.Close()
	is.NoErr(<-done)
	is.Equal(ticks, 5)
	is.Equal(work, 0)
}

// benchmarkHandover measures Ask. If lock is set, the goroutine that answers is
// locked to a thread of the operating system.
func benchmarkHandover(b *testing.B, lock bool) {
	r := New[Call[int, int]](1)
	d := Duty[Call[int, int]]{Ring: r, Handle: func(_ time.Time, c Call[int, int]) { c.Reply(c.Query) }}
	go func() {
		if lock {
			runtime.LockOSThread()
		}
		_ = d.Run(b.Context())
	}()
	for b.Loop() {
		if _, err := Ask(b.Context(), r, 1); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkHandover measures a call to another goroutine and its answer.
func BenchmarkHandover(b *testing.B) { benchmarkHandover(b, false) }

// BenchmarkHandoverLocked measures the same with that goroutine locked to a thread
// of the operating system.
func BenchmarkHandoverLocked(b *testing.B) { benchmarkHandover(b, true) }

package memory

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// endless is a reader without an end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// TestReadAll guards against bodies that exceed their limit or together the
// limit of the pool, and against memory that stays reserved after an error.
func TestReadAll(t *testing.T) {
	is := is.New(t)
	p := &Pool{Account: &Account{Limit: 64 << 10}}
	body, err := p.ReadAll(iotest.OneByteReader(bytes.NewReader(make([]byte, 10_000))), 20_000)
	is.NoErr(err)
	is.Equal(len(body), 10_000)
	is.Equal(p.Account.Used(), int64(cap(body)))
	_, err = p.ReadAll(endless{}, 20_000)
	is.True(IsKind(err, KindTooLarge))
	_, err = p.ReadAll(endless{}, 1<<20)
	is.True(IsKind(err, KindExhausted))
	_, err = p.ReadAll(iotest.TimeoutReader(iotest.OneByteReader(bytes.NewReader(make([]byte, 10)))), 100)
	is.True(IsKind(err, KindRead))
	is.True(errors.Is(err, iotest.ErrTimeout))
	is.Equal(p.Account.Used(), int64(cap(body))) // failed reads keep nothing
	p.Release(body)
	is.Equal(p.Account.Used(), int64(0))
	exact, err := p.ReadAll(io.LimitReader(endless{}, 20_000), 20_000)
	is.NoErr(err)
	is.Equal(len(exact), 20_000)
}

// TestLargeBodies guards against large bodies that leave no memory for small ones, and
// against large requests that leave none for the answers of those that run.
func TestLargeBodies(t *testing.T) {
	is := is.New(t)
	var refused []int64
	a := &Account{Limit: 10 << 20, OnRefusal: func(n int64) { refused = append(refused, n) }}
	requests, answers := &Pool{Account: a, LargeShare: 0.375}, &Pool{Account: a, Answers: true}
	body, err := requests.ReadFull(endless{}, 3<<20)
	is.NoErr(err)
	reads := 0
	_, err = requests.ReadFull(readerFunc(func(p []byte) (int, error) { reads++; return len(p), nil }), 1<<20)
	is.True(IsKind(err, KindExhausted))
	is.Equal(reads, 0) // a body that does not fit is not read
	answer, err := answers.Make(2 << 20)
	is.NoErr(err)
	_, err = answers.Make(1 << 20)
	is.True(IsKind(err, KindExhausted))
	is.Equal(refused, []int64{1 << 20, 1 << 20})
	var small [][]byte
	for range 50 {
		b, err := requests.ReadFull(endless{}, 64<<10)
		is.NoErr(err)
		small = append(small, b)
	}
	h := &Hold{Account: a}
	h.Keep(answer)
	h.Add(7 << 20) // more than the account has
	_, err = requests.Make(Large + 1)
	is.True(IsKind(err, KindExhausted))
	_, err = answers.Make(Large + 1)
	is.True(IsKind(err, KindExhausted))
	free := a.Limit - int64(cap(body)+cap(answer)+len(small)*Large)
	var rest Hold
	rest.Account = a
	for range free / Large { // small bodies go on beside the bytes that were added
		is.NoErr(rest.Reserve(requests, Large))
	}
	is.True(IsKind(rest.Reserve(requests, Large), KindExhausted))
	rest.Release()
	h.Release()
	h.Release() // has nothing left
	requests.Release(body)
	is.Equal(a.Used(), int64(50*64<<10))
	for _, b := range small {
		requests.Release(b)
	}
	is.NoErr(h.Reserve(answers, 5<<20)) // no byte counts as large any more
	is.True(IsKind(h.Reserve(answers, 65<<10), KindExhausted))
	a.SetLimit(20 << 20)
	is.NoErr(h.Reserve(answers, 65<<10))
	h.Release()
	is.Equal(a.Used(), int64(0))
	_, err = requests.ReadFull(io.LimitReader(endless{}, 9), 10)
	is.True(IsKind(err, KindRead))
	is.Equal(a.Used(), int64(0))
}

// TestAnswerShare guards against requests, large and small, that leave answers less than
// their share of the account.
func TestAnswerShare(t *testing.T) {
	for _, size := range []int{1 << 20, 64 << 10} {
		is := is.New(t)
		a := &Account{Limit: 10 << 20, AnswerShare: 0.3}
		requests, answers := &Pool{Account: a, LargeShare: 0.2}, &Pool{Account: a, Answers: true}
		var held [][]byte
		for {
			body, err := requests.Make(size)
			if err != nil {
				break
			}
			held = append(held, body)
		}
		answer, err := answers.Make(3 << 20)
		is.NoErr(err)
		h := &Hold{Account: a}
		h.Keep(answer)
		for _, body := range held {
			requests.Release(body)
		}
		h.Release()
		is.Equal(a.all, usage{})
		is.Equal(a.requests, usage{})
	}
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

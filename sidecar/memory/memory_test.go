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
	p := &Pool{Limit: 64 << 10}
	body, err := p.ReadAll(iotest.OneByteReader(bytes.NewReader(make([]byte, 10_000))), 20_000)
	is.NoErr(err)
	is.Equal(len(body), 10_000)
	is.Equal(p.Used(), int64(cap(body)))
	_, err = p.ReadAll(endless{}, 20_000)
	is.True(IsKind(err, KindTooLarge))
	_, err = p.ReadAll(endless{}, 1<<20)
	is.True(IsKind(err, KindExhausted))
	_, err = p.ReadAll(iotest.TimeoutReader(iotest.OneByteReader(bytes.NewReader(make([]byte, 10)))), 100)
	is.True(IsKind(err, KindRead))
	is.True(errors.Is(err, iotest.ErrTimeout))
	is.Equal(p.Used(), int64(cap(body))) // failed reads keep nothing
	p.Release(body)
	is.Equal(p.Used(), int64(0))
	exact, err := p.ReadAll(io.LimitReader(endless{}, 20_000), 20_000)
	is.NoErr(err)
	is.Equal(len(exact), 20_000)
}

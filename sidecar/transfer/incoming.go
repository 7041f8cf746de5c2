package transfer

import (
	"context"
	"errors"
	"time"

	"cassiarack.example/lib/ring"
)

// incoming holds the messages of a stream that a goroutine of its own receives. While
// its ring is full, nothing is received and the other side cannot send more.
type incoming[M any] struct {
	ring *ring.Ring[M]
	// err is why no more messages arrive. It is set before the ring is closed.
	err error
}

// receive starts to receive messages until recv returns an error or ctx ends.
func receive[M any](ctx context.Context, recv func() (M, error)) *incoming[M] {
	in := &incoming[M]{ring: ring.New[M](bufferedParts)}
	go func() {
		defer in.ring.Close()
		for {
			m, err := recv()
			if err == nil {
				err = in.ring.Put(ctx, m)
			}
			if err != nil {
				in.err = err
				return
			}
		}
	}()
	return in
}

// next returns the next message.
func (in *incoming[M]) next(ctx context.Context) (M, error) {
	m, err := in.ring.Take(ctx)
	var closed *ring.Error
	if errors.As(err, &closed) && closed.Kind == ring.KindClosed {
		err = in.err
	}
	return m, err
}

// nextUntil returns the next message that arrives until the given time.
func (in *incoming[M]) nextUntil(ctx context.Context, until time.Time) (M, error) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	return in.next(ctx)
}

// waiting reports whether a message has arrived or none will arrive any more.
func (in *incoming[M]) waiting() bool { return in.ring.Stats().Depth > 0 }

package ring

import "context"

// Call is a request to the goroutine that serves a ring, with the channel for its
// reply.
type Call[Q, A any] struct {
	// Query is the content of the request.
	Query Q
	reply chan A
}

// Reply answers the call. It never blocks, and answers after the first have no
// effect.
func (c Call[Q, A]) Reply(a A) {
	select {
	case c.reply <- a:
	default:
	}
}

// NewCall returns a call with the request q. The caller receives the answer with
// Wait.
func NewCall[Q, A any](q Q) Call[Q, A] {
	return Call[Q, A]{Query: q, reply: make(chan A, 1)}
}

// Wait waits for the answer of the call and returns it. It returns an error of
// kind KindContext if ctx is done first.
func (c Call[Q, A]) Wait(ctx context.Context) (A, error) {
	select {
	case a := <-c.reply:
		return a, nil
	case <-ctx.Done():
		var zero A
		return zero, &Error{Op: "ask", Kind: KindContext, Err: ctx.Err()}
	}
}

// Ask puts a call with the request q on the ring and waits for the answer. If the
// ring is full, Ask returns an error of kind KindFull at once, so that a goroutine
// that is behind gets no more work. Other errors are of kind KindClosed or
// KindContext.
func Ask[Q, A any](ctx context.Context, r *Ring[Call[Q, A]], q Q) (A, error) {
	c := NewCall[Q, A](q)
	if err := r.Offer(c); err != nil {
		var zero A
		return zero, err
	}
	return c.Wait(ctx)
}

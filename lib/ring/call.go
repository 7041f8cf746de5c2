package ring

import "context"

// Call is a question to a duty and the place for the answer.
type Call[Q, A any] struct {
	// Query is the question.
	Query Q
	reply chan A
}

// Reply answers the call. Only the first answer counts; Reply never blocks.
func (c Call[Q, A]) Reply(a A) {
	select {
	case c.reply <- a:
	default:
	}
}

// NewCall returns a call whose answer the caller reads with Wait.
func NewCall[Q, A any](q Q) Call[Q, A] {
	return Call[Q, A]{Query: q, reply: make(chan A, 1)}
}

// Wait returns the answer of the call or an error of kind KindContext.
func (c Call[Q, A]) Wait(ctx context.Context) (A, error) {
	select {
	case a := <-c.reply:
		return a, nil
	case <-ctx.Done():
		var zero A
		return zero, &Error{Op: "ask", Kind: KindContext, Err: ctx.Err()}
	}
}

// Ask puts q on the ring and waits for the answer. A full ring refuses the
// question at once with an error of kind KindFull, as a duty that is behind
// must not be given more work.
func Ask[Q, A any](ctx context.Context, r *Ring[Call[Q, A]], q Q) (A, error) {
	c := NewCall[Q, A](q)
	if err := r.Offer(c); err != nil {
		var zero A
		return zero, err
	}
	return c.Wait(ctx)
}

package handoff

import (
	"context"

	"cassiarack.example/lib/request"
)

// replayLimit is the size in bytes up to which a body is kept for another
// attempt.
const replayLimit = 64 << 10

// replayBody is a request body that can be sent again as long as no more than
// replayLimit bytes of it have been read.
type replayBody struct {
	open      func() *request.Pieces
	pieces    *request.Pieces
	kept      []request.Piece
	size      int
	discarded bool
}

func newReplayBody(open func() *request.Pieces) *replayBody { return &replayBody{open: open} }

// empty reports whether the request has no body.
func (r *replayBody) empty() bool { return r.open == nil }

// replayable reports whether the whole body can still be sent from its start.
func (r *replayBody) replayable() bool { return !r.discarded }

// next returns piece number i of the body. Only one attempt may use it at a
// time.
func (r *replayBody) next(ctx context.Context, i int) (request.Piece, error) {
	if i < len(r.kept) {
		return r.kept[i], nil
	}
	if r.pieces == nil {
		r.pieces = r.open()
	}
	p, err := r.pieces.Take(ctx)
	if err != nil {
		return request.Piece{}, err
	}
	r.size += len(p.Data)
	if r.size > replayLimit {
		r.discarded, r.kept = true, nil
	}
	if !r.discarded {
		r.kept = append(r.kept, p)
	}
	return p, nil
}

// fullyRead reports whether nothing of the body remains to be read: the request has
// no body, or all of it is kept and the goroutine that read it, which closes
// senderDone, has ended. Two attempts may then send the body at the same time.
func (r *replayBody) fullyRead(senderDone <-chan struct{}) bool {
	if r.empty() {
		return true
	}
	select {
	case <-senderDone:
	default:
		return false
	}
	return !r.discarded && len(r.kept) > 0 && r.kept[len(r.kept)-1].End
}

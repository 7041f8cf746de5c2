package handoff

import (
	"context"

	"cassiarack.example/lib/request"
)

// replayLimit is the largest part of a body that is kept for another attempt.
const replayLimit = 64 << 10

// replay is a request body that may be sent again while it is small.
type replay struct {
	open   func() *request.Pieces
	pieces *request.Pieces
	kept   []request.Piece
	size   int
	lost   bool
}

func newReplay(open func() *request.Pieces) *replay { return &replay{open: open} }

// empty reports whether the request has no body.
func (r *replay) empty() bool { return r.open == nil }

// replayable reports whether the whole body can still be sent from its start.
func (r *replay) replayable() bool { return !r.lost }

// next returns piece number i of the body. Only one attempt may use it at a
// time.
func (r *replay) next(ctx context.Context, i int) (request.Piece, error) {
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
		r.lost, r.kept = true, nil
	}
	if !r.lost {
		r.kept = append(r.kept, p)
	}
	return p, nil
}

// whole reports whether the body needs no more reading: there is none, or all of
// it is kept and the goroutine that read it, which closes sender, ended. Two
// attempts may then send it at once.
func (r *replay) whole(sender <-chan struct{}) bool {
	if r.empty() {
		return true
	}
	select {
	case <-sender:
	default:
		return false
	}
	return !r.lost && len(r.kept) > 0 && r.kept[len(r.kept)-1].End
}

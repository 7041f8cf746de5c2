package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"cassiarack.example/lib/request"
	"cassiarack.example/lib/ring"
)

// upload is the duty that reads the body of a request.
type upload struct {
	control *http.ResponseController
	r       *http.Request
	ctx     context.Context
	cancel  context.CancelFunc
	pieces  *request.Pieces
	// done is closed when the duty ended; it is nil before open.
	done chan struct{}
	// ended is set when the body needs no more reads.
	ended atomic.Bool
}

func newUpload(w http.ResponseWriter, r *http.Request) *upload {
	ctx, cancel := context.WithCancel(r.Context())
	return &upload{control: http.NewResponseController(w), r: r, ctx: ctx, cancel: cancel,
		pieces: ring.New[request.Piece](request.PiecesInFlight)}
}

// fullDuplex lets the answer begin while the body is read. Without it, net/http
// discards the rest of the body when the answer begins. It is not used for a
// refusal before open: net/http panics on the next request of the connection if
// a handler in full duplex returns without having read the body. HTTP/2 is
// always full duplex and reports an error.
func (u *upload) fullDuplex(refused bool) {
	if u != nil && (!refused || u.done != nil) {
		_ = u.control.EnableFullDuplex()
	}
}

// open starts to read the body. A caller that sent "Expect: 100-continue" is
// told to continue only then.
func (u *upload) open() *request.Pieces {
	u.done = make(chan struct{})
	go u.run()
	return u.pieces
}

func (u *upload) run() {
	defer close(u.done)
	for {
		p := u.read()
		if p.End || p.Err != nil {
			u.ended.Store(true)
		}
		if err := u.pieces.Put(u.ctx, p); err != nil || p.End || p.Err != nil {
			return
		}
	}
}

// read returns the next piece of the body.
func (u *upload) read() request.Piece {
	buf := make([]byte, request.PieceSize)
	n, err := u.r.Body.Read(buf)
	switch {
	case n > 0:
		// The error, if any, is returned again by the next read.
		return request.Piece{Data: buf[:n]}
	case errors.Is(err, io.EOF):
		return request.Piece{End: true, Trailers: fields(u.r.Trailer)}
	default:
		return request.Piece{Err: err}
	}
}

// stop ends the duty. A read that waits for a slow caller is interrupted, as
// the body must not be read after the handler returned.
func (u *upload) stop() {
	u.cancel()
	if u.done == nil {
		return
	}
	if u.ended.Load() {
		// At the end of the body net/http begins to read for the next request. A
		// deadline would fail that read and cancel all later requests of the
		// connection.
		<-u.done
		return
	}
	// A connection that does not support deadlines ends the read when it closes.
	_ = u.control.SetReadDeadline(time.Now())
	<-u.done
}

func fields(h http.Header) []request.Field {
	var out []request.Field
	for name, values := range h {
		for _, v := range values {
			out = append(out, request.Field{Name: name, Value: v})
		}
	}
	return out
}

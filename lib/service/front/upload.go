package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
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

	mu sync.Mutex
	// reading is set while a read is in progress.
	reading bool
	// stopped is set when no further read may begin.
	stopped bool
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

// start starts to read the body. A caller that sent "Expect: 100-continue" is
// told to continue only then.
func (u *upload) start() *request.Pieces {
	u.done = make(chan struct{})
	go u.run()
	return u.pieces
}

func (u *upload) run() {
	defer close(u.done)
	for {
		p, ok := u.read()
		if !ok {
			return
		}
		if err := u.pieces.Put(u.ctx, p); err != nil || p.End || p.Err != nil {
			return
		}
	}
}

// read returns the next piece of the body. It reports false after stop.
func (u *upload) read() (request.Piece, bool) {
	if !u.setReading(true) {
		return request.Piece{}, false
	}
	buf := make([]byte, request.PieceSize)
	n, err := u.r.Body.Read(buf)
	u.setReading(false)
	switch {
	case n > 0:
		// The error, if any, is returned again by the next read.
		return request.Piece{Data: buf[:n]}, true
	case errors.Is(err, io.EOF):
		return request.Piece{End: true, Trailers: toFields(u.r.Trailer)}, true
	default:
		return request.Piece{Err: err}, true
	}
}

// setReading notes the start or the end of a read. It reports false if no read
// may begin any more.
func (u *upload) setReading(reading bool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if reading && u.stopped {
		return false
	}
	u.reading = reading
	return true
}

// stop ends the duty. A read that waits for a slow caller is interrupted, as
// the body must not be read after the handler returned. Without a read in
// progress there must be no interruption: with the last bytes of the body
// net/http begins to read for the next request, and a deadline would fail that
// read and cancel all later requests of the connection.
func (u *upload) stop() {
	u.cancel()
	if u.done == nil {
		return
	}
	u.mu.Lock()
	u.stopped = true
	if u.reading {
		// A connection that does not support deadlines ends the read when it closes.
		_ = u.control.SetReadDeadline(time.Now())
	}
	u.mu.Unlock()
	<-u.done
}

func toFields(h http.Header) []request.Field {
	var out []request.Field
	for name, values := range h {
		for _, v := range values {
			out = append(out, request.Field{Name: name, Value: v})
		}
	}
	return out
}

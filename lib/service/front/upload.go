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

// upload reads the body of a request on its own goroutine and passes it on as
// pieces through a bounded ring.
type upload struct {
	control *http.ResponseController
	r       *http.Request
	ctx     context.Context
	cancel  context.CancelFunc
	pieces  *request.Pieces
	// done is closed when the goroutine has ended. It is nil before start.
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

// fullDuplex lets the answer begin while the body is still read. Otherwise
// net/http discards the rest of the body when the answer begins. It is not enabled
// for a request that is refused before start, because net/http panics on the next
// request of the connection if a full-duplex handler returns without having read
// the body. The error is ignored: HTTP/2 is always full duplex and returns one.
func (u *upload) fullDuplex(refused bool) {
	if u != nil && (!refused || u.done != nil) {
		_ = u.control.EnableFullDuplex()
	}
}

// start begins to read the body. A caller that sent "Expect: 100-continue" gets
// the response 100 (Continue) only then.
func (u *upload) start() *request.Pieces {
	u.done = make(chan struct{})
	go u.run()
	return u.pieces
}

// run reads the body until its end, an error or stop.
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

// read returns the next piece of the body. It reports false if stop was called.
func (u *upload) read() (request.Piece, bool) {
	if !u.setReading(true) {
		return request.Piece{}, false
	}
	buf := make([]byte, request.PieceSize)
	n, err := u.r.Body.Read(buf)
	u.setReading(false)
	switch {
	case n > 0:
		// The next read returns the error, if any, again.
		return request.Piece{Data: buf[:n]}, true
	case errors.Is(err, io.EOF):
		return request.Piece{End: true, Trailers: toFields(u.r.Trailer)}, true
	default:
		return request.Piece{Err: err}, true
	}
}

// setReading records the start or the end of a read. It reports false if a read
// may not begin because stop was called.
func (u *upload) setReading(reading bool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if reading && u.stopped {
		return false
	}
	u.reading = reading
	return true
}

// stop ends the goroutine and waits for it. It interrupts a read that waits for a
// slow caller, because the body must not be read after the handler has returned.
// If no read is in progress it sets no read deadline: after the last bytes of the
// body net/http begins to read for the next request, and a deadline would fail
// that read and cancel all later requests of the connection.
func (u *upload) stop() {
	u.cancel()
	if u.done == nil {
		return
	}
	u.mu.Lock()
	u.stopped = true
	if u.reading {
		// On a connection that does not support deadlines, the read ends when the
		// connection closes.
		_ = u.control.SetReadDeadline(time.Now())
	}
	u.mu.Unlock()
	<-u.done
}

// toFields converts a header to a list of fields.
func toFields(h http.Header) []request.Field {
	var out []request.Field
	for name, values := range h {
		for _, v := range values {
			out = append(out, request.Field{Name: name, Value: v})
		}
	}
	return out
}

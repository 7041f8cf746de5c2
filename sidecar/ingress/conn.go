package ingress

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"cassiarack.example/lib/link"
	"cassiarack.example/lib/ring"
	"cassiarack.example/platform"
	"cassiarack.example/sidecar/memory"
	"cassiarack.example/sidecar/message"
)

const (
	// writeTimeout bounds the time to write a response to a client that does
	// not read.
	writeTimeout = 10 * time.Second
	// lingerTime is how long the sidecar keeps reading after it has sent the
	// last response and closed its sending side. Unread data in the receive
	// buffer would cause a reset, which can destroy the response before the
	// client has read it.
	lingerTime = time.Second
	readBuffer = 8 << 10
)

// conn is a connection from a client. One goroutine reads requests, one writes
// the responses in order, and each request is handled in a goroutine of its
// own.
type conn struct {
	service *Service
	net     net.Conn
	reader  *bufio.Reader
	answers *ring.Ring[*exchange]

	mu      sync.Mutex
	pending int
	closing bool
	// lastActive is when the last response was finished or, before that, when
	// the connection was accepted.
	lastActive time.Time
}

// exchange is a request whose response is still to be written.
type exchange struct {
	method string
	// closeAfter reports whether the connection closes after the response.
	closeAfter bool
	// answer delivers the response, or nil if the request is incomplete.
	answer chan *message.Answer
	// memory is the memory of the response until it is written.
	memory *memory.Hold
}

func newConn(s *Service, raw net.Conn) *conn {
	return &conn{service: s, net: raw, reader: bufio.NewReaderSize(raw, readBuffer),
		answers: ring.New[*exchange](maxPipelined), lastActive: time.Now()}
}

// serve reads requests until the connection ends. When the client closes its
// side, its outstanding requests are cancelled.
func (c *conn) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeAnswers(ctx, cancel)
	}()
	err := c.readRequests(ctx)
	c.answers.Close()
	if err == nil {
		// The remaining responses are written before the connection is closed.
		err = c.awaitWritten(written)
	}
	if err != nil {
		cancel()
	}
	<-written
	if err == nil {
		c.linger()
	}
	cancel()
	c.net.Close()
	c.service.remove(c)
}

// awaitWritten waits until the remaining responses are written. Meanwhile it reads
// what the client sends after its last request and discards it, since only
// reading shows that the client has left. It then returns an error.
func (c *conn) awaitWritten(written <-chan struct{}) error {
	if err := c.net.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	go func() {
		<-written
		// An expired deadline ends the reading. An error means that the connection
		// is closed, which ends it as well.
		_ = c.net.SetReadDeadline(link.Expired)
	}()
	_, err := io.Copy(io.Discard, c.reader)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		<-written
		return nil
	}
	return cmp.Or(err, errClientLeft)
}

// linger closes the sending side and reads until the client closes the
// connection or lingerTime has passed.
func (c *conn) linger() {
	if t, ok := c.net.(*net.TCPConn); ok {
		if err := t.CloseWrite(); err != nil {
			return
		}
	}
	if err := c.net.SetReadDeadline(time.Now().Add(lingerTime)); err != nil {
		return
	}
	// Data that arrives now was sent after the last request that is answered,
	// and is not processed.
	_, _ = io.Copy(io.Discard, c.reader)
}

// readRequests reads requests and starts a goroutine for each. It returns nil
// when the connection is to close after the responses to the requests so far,
// and an error when the client closed the connection or was idle for too long.
func (c *conn) readRequests(ctx context.Context) error {
	for {
		head, received, err := c.readHead()
		if err != nil {
			return c.refuseHead(ctx, err)
		}
		e := &exchange{method: head.Method, closeAfter: head.Close, answer: make(chan *message.Answer, 1),
			memory: &memory.Hold{Account: c.service.Bodies.Account}}
		if !c.beginRequest() {
			return nil
		}
		if err := c.queue(ctx, e); err != nil {
			return err
		}
		body, err := c.readBody(head)
		if err != nil {
			var refused *refusal
			if !errors.As(err, &refused) {
				e.answer <- nil
				return err
			}
			e.closeAfter = true
			e.answer <- c.service.refuseBody(received, platform.AttemptID(head.Header), refused)
			return nil
		}
		go func() {
			request, end := c.service.requestContext(ctx)
			defer end()
			defer c.service.Bodies.Release(body)
			e.answer <- c.service.handle(request, head, body, e.memory, received)
		}()
		if head.Close {
			return nil
		}
	}
}

// beginRequest counts a request as pending and reports true, unless the
// connection is closing or the service accepts no more requests.
func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.service.intakeClosed.Load() {
		c.closing = true
		return false
	}
	c.pending++
	return true
}

// idleDeadline returns the time at which the connection has been idle for
// limit. A connection with pending requests is not idle; the result is then
// limit after now.
func (c *conn) idleDeadline(now time.Time, limit time.Duration) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 0 {
		return now.Add(limit)
	}
	return c.lastActive.Add(limit)
}

// finishRequest counts a request as answered and reports whether its response
// is the last one of the connection.
func (c *conn) finishRequest(last bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	c.lastActive = time.Now()
	if last || c.service.draining.Load() && c.pending == 0 {
		c.closing = true
	}
	return c.closing && (last || c.pending == 0)
}

// refuseHead queues the response to a head that was refused. Other errors mean
// that the client can no longer be answered, and are returned.
func (c *conn) refuseHead(ctx context.Context, err error) error {
	var refused *refusal
	if !errors.As(err, &refused) {
		return err
	}
	if !c.beginRequest() {
		return nil
	}
	e := &exchange{method: http.MethodGet, closeAfter: true, answer: make(chan *message.Answer, 1)}
	e.answer <- plainTextAnswer(refused.status, refused.Error())
	return c.queue(ctx, e)
}

// queue adds an exchange to those whose responses are still to be written. While
// maxPipelined are, it waits and reads ahead as far as the buffer has room, so
// that it notices when the client leaves.
func (c *conn) queue(ctx context.Context, e *exchange) error {
	c.service.inflight.Add(1)
	if c.answers.Offer(e) == nil {
		return nil
	}
	if err := c.net.SetReadDeadline(time.Time{}); err != nil {
		c.service.inflight.Add(-1)
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	queued := make(chan error, 1)
	go func() {
		err := c.answers.Put(ctx, e)
		// An error means that the connection is closed, which ends the reading as
		// well.
		_ = c.net.SetReadDeadline(link.Expired)
		queued <- err
	}()
	err := c.readAhead()
	if errors.Is(err, bufio.ErrBufferFull) || errors.Is(err, os.ErrDeadlineExceeded) {
		err = nil
	} else {
		cancel()
	}
	if putErr := <-queued; putErr != nil {
		c.service.inflight.Add(-1)
		return cmp.Or(err, putErr)
	}
	if err == nil {
		err = c.net.SetReadDeadline(time.Time{})
	}
	if err != nil {
		e.abandon()
	}
	return err
}

// abandon ends an exchange that has no response yet, so that the goroutine that
// writes responses does not wait for one.
func (e *exchange) abandon() {
	select {
	case e.answer <- nil:
	default:
	}
}

// readAhead reads into the buffer until it is full or the connection fails.
func (c *conn) readAhead() error {
	for {
		if _, err := c.reader.Peek(c.reader.Buffered() + 1); err != nil {
			return err
		}
	}
}

// writeAnswers sends responses in the order of their requests. After the client
// has closed the connection or a response could not be sent, nothing more is
// written, since the client would take the response to a later request for that
// to an earlier one.
func (c *conn) writeAnswers(ctx context.Context, cancel context.CancelFunc) {
	for {
		// The ring is closed when the reader ends, so this wait ends without a
		// context.
		e, err := c.answers.Take(context.Background())
		if err != nil {
			return
		}
		if err := c.awaitAndSend(ctx, e); err != nil {
			cancel()
		}
	}
}

// awaitAndSend waits for the response to one request and sends it.
func (c *conn) awaitAndSend(ctx context.Context, e *exchange) error {
	defer c.service.inflight.Add(-1)
	a := <-e.answer
	defer e.memory.Release()
	if a == nil {
		return errClientLeft
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	last := c.finishRequest(e.closeAfter)
	if err := c.send(e.method, a, last); err != nil {
		return err
	}
	if last && !e.closeAfter {
		// The reader may be waiting for another request, which would not be
		// handled; an expired deadline ends that wait.
		return c.net.SetReadDeadline(link.Expired)
	}
	return nil
}

// errClientLeft means that the client closed the connection before its requests
// were answered.
var errClientLeft = errors.New("ingress: the client closed the connection before its requests were answered")

// send writes one response. With last, it tells the client that the connection
// closes.
func (c *conn) send(method string, a *message.Answer, last bool) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.Status, http.StatusText(a.Status))
	if err := a.Header.Write(&b); err != nil {
		return fmt.Errorf("ingress: write header: %w", err)
	}
	bodyless := a.Status == http.StatusNoContent || a.Status == http.StatusNotModified
	if !bodyless {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(a.Body))
	}
	if last {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	var body []byte
	if !bodyless && method != http.MethodHead {
		body = a.Body
	}
	if err := c.net.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("ingress: write answer: %w", err)
	}
	if err := link.WriteAll(c.net, b.Bytes(), body); err != nil {
		return fmt.Errorf("ingress: write answer: %w", err)
	}
	return nil
}

// plainTextAnswer returns a plain-text response of the sidecar itself.
func plainTextAnswer(status int, text string) *message.Answer {
	return &message.Answer{Status: status, FromFleet: true, Body: []byte(text + "\n"),
		Header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}}}
}

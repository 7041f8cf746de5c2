package ingress

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"cassiarack.example/lib/ring"
	"cassiarack.example/sidecar/message"
)

const (
	// writeTimeout bounds the sending of an answer to a client that does not read.
	writeTimeout = 10 * time.Second
	// lingerTime is how long a closed connection is read on, so that what the
	// client sent does not reset the connection before it has the last answer.
	lingerTime = time.Second
	readBuffer = 8 << 10
)

// conn is a connection of a client. One goroutine reads requests, one writes the
// answers in order, and each request has one of its own.
type conn struct {
	service *Service
	net     net.Conn
	reader  *bufio.Reader
	answers *ring.Ring[*exchange]

	mu      sync.Mutex
	pending int
	closing bool
	// lastActive is when the last answer was sent or the connection began.
	lastActive time.Time
}

// exchange is a request and the place of its answer.
type exchange struct {
	method string
	// closeAfter tells that the connection closes after the answer.
	closeAfter bool
	answer     chan *message.Answer
}

func newConn(s *Service, raw net.Conn) *conn {
	return &conn{service: s, net: raw, reader: bufio.NewReaderSize(raw, readBuffer),
		answers: ring.New[*exchange](maxPipelined), lastActive: time.Now()}
}

// serve reads requests until the connection ends. A client that closes its side
// has left: its requests are cancelled.
func (c *conn) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeAnswers(ctx, cancel)
	}()
	err := c.readRequests(ctx)
	if err == nil {
		// The last answer is still to be written; then the client may close.
		c.answers.Close()
		<-written
		c.linger()
	} else {
		cancel()
		c.answers.Close()
		<-written
	}
	cancel()
	c.net.Close()
	c.service.remove(c)
}

// linger ends the sending side and reads until the client closes.
func (c *conn) linger() {
	if t, ok := c.net.(*net.TCPConn); ok {
		if err := t.CloseWrite(); err != nil {
			return
		}
	}
	if err := c.net.SetReadDeadline(time.Now().Add(lingerTime)); err != nil {
		return
	}
	// What arrives now was sent behind the last answer and counts as not read.
	_, _ = io.Copy(io.Discard, c.reader)
}

// readRequests takes requests and starts them. It returns nil after a request that is
// the last one of the connection, and an error when the client left.
func (c *conn) readRequests(ctx context.Context) error {
	for {
		head, received, err := c.readHead()
		if err != nil {
			return c.refuseHead(ctx, err)
		}
		e := &exchange{method: head.Method, closeAfter: head.Close, answer: make(chan *message.Answer, 1)}
		if !c.beginRequest() {
			return nil
		}
		c.service.inflight.Add(1)
		if err := c.answers.Put(ctx, e); err != nil {
			c.service.inflight.Add(-1)
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
			e.answer <- plainTextAnswer(refused.status, refused.Error())
			return nil
		}
		go func() {
			request, end := c.service.requestContext(ctx)
			defer end()
			e.answer <- c.service.handle(request, head, body, received)
		}()
		if head.Close {
			return nil
		}
	}
}

// beginRequest counts a request, unless the connection is about to close.
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

// idleDeadline returns when the connection has been idle for the limit. With
// unanswered requests that is never the case.
func (c *conn) idleDeadline(now time.Time, limit time.Duration) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 0 {
		return now.Add(limit)
	}
	return c.lastActive.Add(limit)
}

// finishRequest counts an answer and reports whether it is the last one.
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

// refuseHead answers a head that cannot be handled. It returns an error if there
// is nobody to answer.
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
	c.service.inflight.Add(1)
	if err := c.answers.Put(ctx, e); err != nil {
		c.service.inflight.Add(-1)
		return err
	}
	return nil
}

// writeAnswers sends answers in the order of their requests. After the client left or
// an answer could not be sent, nothing more is written: the answer to a later
// request would be taken for that of an earlier one.
func (c *conn) writeAnswers(ctx context.Context, cancel context.CancelFunc) {
	for {
		// The ring is closed when the reader ends, so this wait always ends.
		e, err := c.answers.Take(context.Background())
		if err != nil {
			return
		}
		if err := c.awaitAndSend(ctx, e); err != nil {
			cancel()
		}
	}
}

// awaitAndSend sends the answer to one request when it is there.
func (c *conn) awaitAndSend(ctx context.Context, e *exchange) error {
	defer c.service.inflight.Add(-1)
	a := <-e.answer
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
		// The reader waits for another request, which does not count any more.
		return c.net.SetReadDeadline(time.Unix(1, 0))
	}
	return nil
}

// errClientLeft means that the client left before its request was complete.
var errClientLeft = errors.New("ingress: the client left")

// send writes one answer.
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
	if !bodyless && method != http.MethodHead {
		b.Write(a.Body)
	}
	if err := c.net.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("ingress: write answer: %w", err)
	}
	if _, err := c.net.Write(b.Bytes()); err != nil {
		return fmt.Errorf("ingress: write answer: %w", err)
	}
	return nil
}

// plainTextAnswer returns an answer of the sidecar itself.
func plainTextAnswer(status int, text string) *message.Answer {
	return &message.Answer{Status: status, FromFleet: true, Body: []byte(text + "\n"),
		Header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}}}
}

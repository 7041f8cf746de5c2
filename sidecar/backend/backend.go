// Package backend is an HTTP/1.1 client for the instance on the same VM.
//
// A response is returned only if it is well-formed and complete and can be that of no
// other request: it bears the identifier of the request and no second one, or it is the
// first response on its connection and bears none. A success must bear the identifier and the
// signature of the instance. Bytes after a complete response belong to no request,
// so the connection is then not used again.
//
// The size of a head, the number of informational responses and the memory of all
// bodies are bounded, since a faulty instance may send bytes without end.
package backend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"cassiarack.example/lib/answer"
	"cassiarack.example/lib/link"
	"cassiarack.example/platform"
	"cassiarack.example/sidecar/memory"
	"cassiarack.example/sidecar/message"
)

const (
	// dialTimeout bounds the time to open a connection, which stays on the VM.
	dialTimeout = 500 * time.Millisecond
	// maxIdle bounds the time that a connection is kept unused. It is below the
	// idle timeouts that instances state.
	maxIdle = 8 * time.Second
	// maxIdleNonIdempotent bounds the idle time of a connection that is used for
	// a request that may run only once. It is shorter than maxIdle because
	// instances may drop idle connections without notice, and a request sent on
	// such a connection is lost.
	maxIdleNonIdempotent = 1500 * time.Millisecond
	// idleMargin is subtracted from the idle timeout that an instance states.
	idleMargin = 2 * time.Second
	// maxForeignAnswers is how many late responses to other requests are
	// skipped before the request fails.
	maxForeignAnswers = 3
	// sendGrace is how long to wait, after the response has been read, for the
	// sending goroutine to report that the whole request was sent. Without the
	// wait, a fast response would make the connection unusable.
	sendGrace  = 2 * time.Millisecond
	bufferSize = 4 << 10
	// maxHead bounds the head of a response in bytes. Heads of instances have
	// less than 1 KB.
	maxHead = 64 << 10
	// maxInformational is the number of informational responses (1xx) that may
	// precede a response.
	maxInformational = 8
	// maxBodyOnWire bounds the encoded body of a response in bytes: the body, the
	// sizes of its chunks and its trailer.
	maxBodyOnWire = 2*message.MaxBody + maxHead
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindConnect means that no connection could be opened and nothing was
	// sent.
	KindConnect Kind = "connect"
	// KindLost means that the connection ended before the header of a response
	// was complete.
	KindLost Kind = "lost"
	// KindInvalid means that the response was malformed, incomplete, too large
	// or not clearly that of the request.
	KindInvalid Kind = "invalid answer"
	// KindCancelled means that the context of the request ended.
	KindCancelled Kind = "cancelled"
)

// Error is the error of package backend.
type Error struct {
	// Op is the operation that failed, such as "connect" or "read".
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("backend: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotSent reports whether err means that nothing of the request was sent, so
// that the instance cannot have received it.
func NotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == KindConnect
}

// Request is a request to the instance.
type Request struct {
	Method, Target, Host string
	Attempt              string
	Header               http.Header
	Body                 []byte
	// Idempotent reports whether the request may run more than once.
	Idempotent bool
}

// Client sends requests to one instance and keeps idle connections to it. It is
// safe for concurrent use.
type Client struct {
	Address netip.AddrPort
	// OnOpen, if not nil, is called after each new connection is opened.
	OnOpen func()
	// Memory is the pool for the bodies of answers. The caller of Do releases the
	// body of an answer.
	Memory *memory.Pool

	mu   sync.Mutex
	idle []*conn
}

// boundedReader returns errTooLong once allowed bytes were read. It scans the heads of
// responses.
type boundedReader struct {
	source  io.Reader
	allowed int64
	head    answer.Scanner
}

// errTooLong means that a head or the encoding of a body exceeds its bound.
var errTooLong = errors.New("too many bytes")

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.allowed <= 0 {
		return 0, errTooLong
	}
	n, err := b.source.Read(p[:min(int64(len(p)), b.allowed)])
	b.allowed -= int64(n)
	b.head.Scan(p[:n])
	return n, err
}

// conn is one connection. While it is idle, a goroutine waits for its end or
// for unexpected bytes.
type conn struct {
	net    net.Conn
	in     *boundedReader
	reader *bufio.Reader
	memory *memory.Pool
	// used is set once a response was read on the connection.
	used      bool
	idleSince time.Time
	idleLimit time.Duration
	// watchDone is closed when the watching goroutine has ended; broken may be
	// read only after that.
	watchDone chan struct{}
	broken    bool
}

// Do sends a request and returns its complete response. When ctx ends, Do
// closes the connection, so that the instance can cancel its work.
func (c *Client) Do(ctx context.Context, r *Request) (*message.Answer, error) {
	cn, err := c.getConn(ctx, r)
	if err != nil {
		return nil, &Error{Op: "connect", Kind: KindConnect, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { cn.net.Close() })
	answer, reusable, err := cn.exchange(r)
	cn.used = true
	if !stop() {
		cn.net.Close()
		if err != nil {
			return nil, &Error{Op: "exchange", Kind: KindCancelled, Err: context.Cause(ctx)}
		}
		return answer, nil
	}
	if err != nil || !reusable {
		cn.net.Close()
		return answer, err
	}
	c.putIdle(cn)
	return answer, nil
}

// getConn returns the idle connection that was used last, or opens a new one.
// It closes idle connections that are broken or have been idle for too long. A
// request without an identifier gets a new connection, since a late answer could
// be taken for its own.
func (c *Client) getConn(ctx context.Context, r *Request) (*conn, error) {
	if r.Attempt == "" {
		return c.dial(ctx)
	}
	now := time.Now()
	for {
		cn := c.takeIdle()
		if cn == nil {
			return c.dial(ctx)
		}
		limit := cn.idleLimit
		if !r.Idempotent {
			limit = min(limit, maxIdleNonIdempotent)
		}
		if cn.stopWatch() && now.Sub(cn.idleSince) < limit {
			return cn, nil
		}
		cn.net.Close()
	}
}

func (c *Client) takeIdle() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 {
		return nil
	}
	cn := c.idle[len(c.idle)-1]
	c.idle = c.idle[:len(c.idle)-1]
	return cn
}

func (c *Client) dial(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := link.Dial(ctx, c.Address)
	if err != nil {
		return nil, err
	}
	if c.OnOpen != nil {
		c.OnOpen()
	}
	in := &boundedReader{source: raw, allowed: maxHead}
	return &conn{net: raw, in: in, reader: bufio.NewReaderSize(in, bufferSize), idleLimit: maxIdle, memory: c.Memory}, nil
}

func (c *Client) putIdle(cn *conn) {
	cn.idleSince = time.Now()
	cn.watch()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, cn)
}

// Expire closes the connections whose idle time has reached their limit.
func (c *Client) Expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[:0]
	for _, cn := range c.idle {
		if now.Sub(cn.idleSince) >= cn.idleLimit {
			cn.net.Close()
			continue
		}
		kept = append(kept, cn)
	}
	c.idle = kept
}

// watch starts a goroutine that marks an idle connection as broken when it ends
// or when bytes arrive that belong to no request.
func (cn *conn) watch() {
	cn.in.allowed = maxHead
	cn.watchDone = make(chan struct{})
	go func() {
		defer close(cn.watchDone)
		_, err := cn.reader.Peek(1)
		var timeout net.Error
		cn.broken = !errors.As(err, &timeout) || !timeout.Timeout()
		if cn.broken {
			cn.net.Close()
		}
	}()
}

// stopWatch ends the goroutine that watches an idle connection, and reports
// whether the connection is usable.
func (cn *conn) stopWatch() bool {
	if err := cn.net.SetReadDeadline(link.Expired); err != nil {
		return false
	}
	<-cn.watchDone
	if cn.broken {
		return false
	}
	return cn.net.SetReadDeadline(time.Time{}) == nil
}

// exchange sends a request and reads its response. The result reusable reports
// whether another request may be sent on the connection.
func (cn *conn) exchange(r *Request) (answer *message.Answer, reusable bool, err error) {
	sent := make(chan error, 1)
	go func() {
		defer close(sent)
		sent <- cn.send(r)
	}()
	answer, reusable, err = cn.receive(r, sent)
	if err != nil {
		cn.net.Close()
		if sendErr := <-sent; sendErr != nil {
			err = fmt.Errorf("%w (send: %w)", err, sendErr)
		}
		return nil, false, err
	}
	return answer, reusable && isSent(sent), nil
}

// isSent reports whether a request was sent completely. An instance may respond
// before it has read a long body; if another request followed on the
// connection, the instance would read it as the rest of that body.
func isSent(sent <-chan error) bool {
	t := time.NewTimer(sendGrace)
	defer t.Stop()
	select {
	case err := <-sent:
		return err == nil
	case <-t.C:
		return false
	}
}

func (cn *conn) send(r *Request) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if err := r.Header.Write(&b); err != nil {
		return err
	}
	if len(r.Body) > 0 || sendsZeroLength(r.Method) {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	return link.WriteAll(cn.net, b.Bytes(), r.Body)
}

// sendsZeroLength reports whether a request with the given method and an empty
// body has a Content-Length header.
func sendsZeroLength(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// receive reads responses until one is that of r. It gives up after
// maxForeignAnswers responses to other requests. The channel sent delivers the result
// of the sending goroutine.
func (cn *conn) receive(r *Request, sent <-chan error) (*message.Answer, bool, error) {
	for range maxForeignAnswers + 1 {
		resp, body, err := cn.readResponse(r)
		if err != nil {
			return nil, false, err
		}
		id := platform.AttemptID(resp.Header)
		if cn.isForeign(id, r) {
			cn.memory.Release(body)
			continue
		}
		// The end of the connection marks the end of a response without a
		// length.
		framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
		err = cn.check(resp, id, r)
		if err == nil && !framed && resp.Body != http.NoBody {
			err = cn.checkEnd(sent)
		}
		if err != nil {
			cn.memory.Release(body)
			return nil, false, &Error{Op: "read", Kind: KindInvalid, Err: err}
		}
		if limit, ok := platform.IdleTimeout(resp.Header); ok {
			cn.idleLimit = min(maxIdle, max(limit-idleMargin, 0))
		}
		// An instance may write an answer once more. Without an identifier, it could then be
		// taken for that of the next request.
		reusable := framed && !resp.Close && id != "" && cn.reader.Buffered() == 0
		return &message.Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, reusable, nil
	}
	return nil, false, &Error{Op: "read", Kind: KindInvalid, Err: errors.New("answers to other requests")}
}

// checkEnd returns an error if the instance did not close the connection regularly, after
// a response has ended with the connection. It ends a send that still waits for the
// instance.
func (cn *conn) checkEnd(sent <-chan error) error {
	if err := cn.net.SetWriteDeadline(link.Expired); err != nil {
		return err
	}
	if err := <-sent; !link.IsRegularEnd(err) {
		return fmt.Errorf("body without a length is incomplete: %w", err)
	}
	return nil
}

// isForeign reports whether a response with the identifier id may be that of
// another request. A response without an identifier may be a late one, or an
// earlier one written again, unless it is the first on its connection.
func (cn *conn) isForeign(id string, r *Request) bool {
	return id != r.Attempt && (id != "" || cn.used)
}

// check returns an error for a success that is not clearly that of r, and for a
// refusal whose statement is in doubt.
func (cn *conn) check(resp *http.Response, id string, r *Request) error {
	switch {
	case resp.StatusCode/100 == 2 && (id != r.Attempt || !platform.HasSignature(resp.Header)):
		return errUnidentified
	case platform.NotExecuted(resp.StatusCode, resp.Header) && cn.reader.Buffered() > 0:
		return errDoubtfulRefusal
	}
	return platform.CheckRefusal(resp.StatusCode, resp.Header)
}

var (
	// errUnidentified means that a success may be the response to another
	// request.
	errUnidentified = errors.New("success without signature or identifier")
	// errDoubtfulRefusal means that more bytes follow a refusal. They may be the
	// answer of a run that the refusal denies.
	errDoubtfulRefusal = errors.New("bytes after a refusal")
)

// readResponse reads the next response and its body, and skips up to
// maxInformational informational responses (1xx).
func (cn *conn) readResponse(r *Request) (*http.Response, []byte, error) {
	if err := cn.startHead(); err != nil {
		return nil, nil, &Error{Op: "read", Kind: KindInvalid, Err: err}
	}
	for range maxInformational + 1 {
		cn.in.allowed = maxHead
		resp, err := http.ReadResponse(cn.reader, &http.Request{Method: r.Method})
		if err != nil {
			kind := KindLost
			if cn.reader.Buffered() > 0 || !isConnectionLost(err) {
				kind = KindInvalid
			}
			return nil, nil, &Error{Op: "read", Kind: kind, Err: err}
		}
		if err := cn.checkHead(resp); err != nil {
			return nil, nil, &Error{Op: "read", Kind: KindInvalid, Err: err}
		}
		// No request asks for another protocol, so nothing after status 101 is an
		// answer.
		if resp.StatusCode/100 == 1 && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if err := answer.CheckStatus(resp.StatusCode); err != nil {
			return nil, nil, &Error{Op: "read", Kind: KindInvalid, Err: err}
		}
		cn.in.allowed = maxBodyOnWire
		body, err := cn.memory.ReadAll(resp.Body, message.MaxBody)
		if err != nil {
			// The body is not closed, as Close would read on to its end.
			return nil, nil, &Error{Op: "read body", Kind: KindInvalid, Err: err}
		}
		resp.Body.Close()
		return resp, body, nil
	}
	return nil, nil, &Error{Op: "read", Kind: KindInvalid, Err: errors.New("too many informational responses")}
}

// checkHead returns an error for a head that HTTP does not allow, and for one that may
// consist of the heads of several responses. Such a response cannot be skipped as that
// of another request, since the head of the present one may be in it.
func (cn *conn) checkHead(resp *http.Response) error {
	if err := cn.in.head.Err(); err != nil {
		return err
	}
	return platform.CheckIdentity(resp.Header)
}

// startHead prepares to scan the head of the next response, of which bytes may be
// buffered already.
func (cn *conn) startHead() error {
	cn.in.head = answer.Scanner{}
	buffered, err := cn.reader.Peek(cn.reader.Buffered())
	cn.in.head.Scan(buffered)
	return err
}

// isConnectionLost reports whether err means that the connection ended, rather
// than that the response is malformed.
func isConnectionLost(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op)
}

package gate

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"cassiarack.example/lib/answer"
	"cassiarack.example/lib/link"
)

var errSealed = errors.New("connection given up before anything was sent")

// trackedConn is a connection to a backend server that records whether a request
// may have been sent on it and how the last write ended, and that scans the heads of
// answers.
type trackedConn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	sealed bool
	head   answer.Scanner

	// writing is held during a write. It guards writeErr, the first error of a write.
	writing  sync.Mutex
	writeErr error
}

// Write implements net.Conn. It returns errSealed after the connection was sealed.
func (l *trackedConn) Write(p []byte) (int, error) {
	l.mu.Lock()
	if l.sealed {
		l.mu.Unlock()
		return 0, errSealed
	}
	l.writes++
	l.mu.Unlock()
	l.writing.Lock()
	defer l.writing.Unlock()
	n, err := l.Conn.Write(p)
	if l.writeErr == nil {
		l.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. It returns io.EOF only if the connection ended regularly,
// since the end of the connection ends an answer without a length.
func (l *trackedConn) Read(p []byte) (int, error) {
	n, err := l.Conn.Read(p)
	l.mu.Lock()
	l.head.Scan(p[:n])
	l.mu.Unlock()
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	// The deadline ends a write that waits for the backend server. Nothing is lost,
	// since net/http closes a connection on which it has read io.EOF.
	if err := l.SetWriteDeadline(link.Expired); err != nil {
		return n, err
	}
	l.writing.Lock()
	defer l.writing.Unlock()
	if !link.IsRegularEnd(l.writeErr) {
		return n, fmt.Errorf("answer is incomplete: %w", l.writeErr)
	}
	return n, err
}

// startCall prepares to scan the head of the answer to the next request. It returns the
// write count. No bytes of an earlier answer follow, since net/http does not use a
// connection again before it has read all of them.
func (l *trackedConn) startCall() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.head = answer.Scanner{}
	return l.writes
}

// headErr returns an error if the answer's head is malformed. Call it after net/http
// has read the head.
func (l *trackedConn) headErr() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.head.Err()
}

// sealIfUnused reports whether the write count is still start, that is, whether
// nothing was written since then. If so, it makes later writes fail, because
// net/http may still write shortly after its call has returned.
func (l *trackedConn) sealIfUnused(start uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.writes != start {
		return false
	}
	l.sealed = true
	return true
}

// dialTracked returns a dial function whose connections are of type *trackedConn.
func dialTracked(d *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: c}, nil
	}
}

// callProgress records the connection of a call to a backend server, to determine
// whether the request may have been sent.
type callProgress struct {
	mu           sync.Mutex
	conn         *trackedConn
	writesBefore uint64
	// untracked is set if the call used a connection that is not a trackedConn.
	untracked bool
}

// trace returns hooks that record the connection of the call.
func (p *callProgress) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		p.mu.Lock()
		defer p.mu.Unlock()
		l, ok := info.Conn.(*trackedConn)
		if !ok {
			p.untracked = true
			return
		}
		p.conn, p.writesBefore = l, l.startCall()
	}}
}

// notRun reports whether no byte of the request was sent or will be sent. Call it
// after the call has failed.
func (p *callProgress) notRun() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.untracked && (p.conn == nil || p.conn.sealIfUnused(p.writesBefore))
}

// checkHead returns an error if HTTP does not allow the head of the answer, which has
// the given status.
func (p *callProgress) checkHead(status int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		if err := p.conn.headErr(); err != nil {
			return err
		}
	}
	return answer.CheckStatus(status)
}

// emptyBody is used as the body of a request that has none. When a connection is
// lost, net/http retries a request by itself if its method is GET, HEAD or OPTIONS
// and it has no body. An emptyBody prevents this, because net/http finds that it
// is empty only while it sends the request.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// isRetriedByTransport reports whether net/http would retry a request with the
// given method if it had no body.
func isRetriedByTransport(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

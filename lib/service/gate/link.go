package gate

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

var errSealed = errors.New("connection given up before anything was sent")

// trackedConn is a connection to a backend server that tells whether a request may
// have been sent on it.
type trackedConn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write implements net.Conn.
func (l *trackedConn) Write(p []byte) (int, error) {
	l.mu.Lock()
	if l.sealed {
		l.mu.Unlock()
		return 0, errSealed
	}
	l.writes++
	l.mu.Unlock()
	return l.Conn.Write(p)
}

func (l *trackedConn) writeCount() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.writes
}

// sealIfUnused reports whether nothing was written since start. If so, later writes
// fail, as net/http may write for a moment after its call returned.
func (l *trackedConn) sealIfUnused(start uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.writes != start {
		return false
	}
	l.sealed = true
	return true
}

// dialTracked returns a dial function whose connections are links.
func dialTracked(d *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: c}, nil
	}
}

// callProgress tells how far a call of a backend server got.
type callProgress struct {
	mu           sync.Mutex
	conn         *trackedConn
	writesBefore uint64
	// untracked is set if a connection cannot tell what was sent.
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
		p.conn, p.writesBefore = l, l.writeCount()
	}}
}

// notRun reports whether no byte of the call was or will be sent. It is used
// after the call failed.
func (p *callProgress) notRun() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.untracked && (p.conn == nil || p.conn.sealIfUnused(p.writesBefore))
}

// emptyBody is the body of a request without one. net/http repeats a request by
// itself on a lost connection if its method is GET, HEAD or OPTIONS and it has
// no body; it finds this one empty only when it sends the request.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// isRetriedByTransport reports whether net/http would repeat a request of the method.
func isRetriedByTransport(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

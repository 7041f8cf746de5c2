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

// link is a connection to a backend server that tells whether a request may
// have been sent on it.
type link struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write implements net.Conn.
func (l *link) Write(p []byte) (int, error) {
	l.mu.Lock()
	if l.sealed {
		l.mu.Unlock()
		return 0, errSealed
	}
	l.writes++
	l.mu.Unlock()
	return l.Conn.Write(p)
}

func (l *link) written() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.writes
}

// seal reports whether nothing was written since start. If so, later writes
// fail, as net/http may write for a moment after its call returned.
func (l *link) seal(start uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.writes != start {
		return false
	}
	l.sealed = true
	return true
}

// dialLink returns a dial function whose connections are links.
func dialLink(d *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &link{Conn: c}, nil
	}
}

// progress tells how far a call of a backend server got.
type progress struct {
	mu    sync.Mutex
	link  *link
	start uint64
	// other is set if a connection cannot tell what was sent.
	other bool
}

// trace returns hooks that record the connection of the call.
func (p *progress) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		p.mu.Lock()
		defer p.mu.Unlock()
		l, ok := info.Conn.(*link)
		if !ok {
			p.other = true
			return
		}
		p.link, p.start = l, l.written()
	}}
}

// notRun reports whether no byte of the call was or will be sent. It is used
// after the call failed.
func (p *progress) notRun() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.other && (p.link == nil || p.link.seal(p.start))
}

// emptyBody is the body of a request without one. net/http repeats a request by
// itself on a lost connection if its method is GET, HEAD or OPTIONS and it has
// no body; it finds this one empty only when it sends the request.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// mayRepeat reports whether net/http would repeat a request of the method.
func mayRepeat(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

package backend

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassiarack.example/lib/golden"
	"cassiarack.example/sidecar/memory"
)

// endings are the ways in which an instance may end a connection.
var endings = []struct {
	name string
	end  func(net.Conn)
}{
	{"closed", func(c net.Conn) { c.Close() }},
	{"reset", func(c net.Conn) {
		// The bytes before a reset may be lost if they are still unread.
		time.Sleep(cutDelay)
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}},
}

// cutDelay is the time from the last bytes of an answer to the reset.
const cutDelay = 2 * time.Millisecond

// TestCutAnswers guards against an answer that ends early and is passed on as a
// whole one: an instance stops at any byte of its answer, in the head or in the
// body, and closes or resets the connection. The golden file lists the cuts after
// which an answer is returned. Of an answer without a length, whose end is that of
// its connection, a cut of the body can be told only from a reset.
func TestCutAnswers(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\n" + idA + "X-Cassiarack-Not-Executed: 1\r\n"
	forms := []struct{ name, method, text string }{
		{"length", http.MethodGet, ok + idA + signed + "Content-Length: 12\r\n\r\nhello, world"},
		{"length 0", http.MethodGet, ok + idA + signed + "Content-Length: 0\r\n\r\n"},
		{"chunks", http.MethodGet, ok + idA + signed + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n2\r\n, \r\n0\r\n\r\n"},
		{"no length", http.MethodGet, ok + idA + signed + "Connection: close\r\n\r\nhi"},
		{"no length, no body", http.MethodGet, ok + idA + signed + "Connection: close\r\n\r\n"},
		{"HEAD", http.MethodHead, ok + idA + signed + "Content-Length: 12\r\n\r\n"},
		{"no content", http.MethodGet, "HTTP/1.1 204 No Content\r\n" + idA + signed + "\r\n"},
		{"refusal", http.MethodGet, refusal + "Content-Length: 0\r\n\r\n"},
		{"refusal without length", http.MethodGet, refusal + "Connection: close\r\n\r\n"},
		{"failure", http.MethodGet, "HTTP/1.1 404 Not Found\r\n" + idA + signed + "Content-Length: 2\r\n\r\nno"},
	}
	var b strings.Builder
	for _, f := range forms {
		for _, e := range endings {
			fmt.Fprintf(&b, "%s, %s:", f.name, e.name)
			for n := range f.text {
				if a, err := exchangeCut(t, f.method, f.text[:n], e.end); err == nil {
					fmt.Fprintf(&b, " %d of %d: %d %q;", n, len(f.text), a.Status, a.Body)
				}
			}
			b.WriteString("\n")
		}
	}
	golden.Check(t, "cut", b.String())
}

// answered is the part of an answer that a client sees.
type answered struct {
	Status int
	Body   string
}

// rawInstance returns a client of an instance whose first connection is handled by serve.
func rawInstance(t *testing.T, serve func(*net.TCPConn)) *Client {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		c, err := l.Accept()
		l.Close()
		if err == nil {
			serve(c.(*net.TCPConn))
		}
	}()
	return &Client{Address: netip.MustParseAddrPort(l.Addr().String()), Memory: &memory.Pool{Account: &memory.Account{}}}
}

// exchangeCut sends a request to an instance that answers with text and then ends
// the connection.
func exchangeCut(t *testing.T, method, text string, end func(net.Conn)) (answered, error) {
	t.Helper()
	is := is.New(t)
	c := rawInstance(t, func(c *net.TCPConn) {
		if _, err := c.Read(make([]byte, bufferSize)); err == nil {
			_, _ = c.Write([]byte(text))
		}
		end(c)
	})
	r := get("a")
	r.Method = method
	a, err := c.Do(t.Context(), r)
	if err != nil {
		var e *Error
		is.True(errors.As(err, &e))
		is.True(e.Kind == KindLost || e.Kind == KindInvalid) // the request may have run
		return answered{}, err
	}
	return answered{a.Status, string(a.Body)}, nil
}

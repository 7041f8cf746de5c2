package gate

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cassiarack.example/lib/golden"
)

// sendRaw returns a handler that takes over the connection, writes text and closes the
// connection.
func sendRaw(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		io.WriteString(c, text)
	}
}

// TestBrokenAnswers guards against answers that HTTP does not allow and that the gate
// passes on to the entry.
func TestBrokenAnswers(t *testing.T) {
	const (
		first  = "HTTP/1.1 200 OK\r\n"
		length = "Content-Length: 2\r\n"
	)
	var out strings.Builder
	for _, c := range []struct{ name, text string }{
		{"whole", first + length + "\r\nhi"},
		{"whole after an informational answer", "HTTP/1.1 103 x\r\nLink: a\r\n\r\n" + first + length + "\r\nhi"},
		{"status 000", "HTTP/1.1 000 x\r\n" + length + "\r\nhi"},
		{"status 099", "HTTP/1.1 099 x\r\n" + length + "\r\nhi"},
		{"status 600", "HTTP/1.1 600 x\r\n" + length + "\r\nhi"},
		{"switch of the protocol", "HTTP/1.1 101 x\r\n\r\n" + first + length + "\r\nhi"},
		{"HTTP/2.0", "HTTP/2.0 200 OK\r\n" + length + "\r\nhi"},
		{"HTTP/1.0 in chunks", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"},
		{"space in a field name", first + length + "X Other: 1\r\n\r\nhi"},
		{"space behind a field name", first + "Content-Length : 2\r\n\r\nhi!"},
		{"space before a field name", first + "X-Other: 1\r\n Content-Length: 2\r\n\r\nhi!"},
		{"control byte in a field name", first + length + "X\x01Other: 1\r\n\r\nhi"},
		{"space in the name of a trailer", first + "Trailer: X Sum\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX Sum: 1\r\n\r\n"},
	} {
		b := newTestGate(t, sendRaw(c.text))
		e := b.entry()
		e.reserve(true, 0, time.Minute)
		fmt.Fprintf(&out, "%s: %s\n", c.name, e.remainingMessages())
	}
	golden.Check(t, "broken", out.String())
}

// resetRounds is the number of exchanges of each case of TestResetDuringUpload, since
// the result depends on which goroutine learns of the reset.
const resetRounds = 10

// TestResetDuringUpload guards against a part of an answer without a length that the
// gate passes on as a whole one: the backend server resets the connection while the
// body of the request is still being written, and the write gets the error, so that
// the reader sees a regular end.
func TestResetDuringUpload(t *testing.T) {
	var out strings.Builder
	for _, c := range []struct {
		name string
		end  func(*net.TCPConn)
	}{
		{"reset", func(c *net.TCPConn) { c.SetLinger(0) }},
		{"close with unread bytes", func(*net.TCPConn) {}},
		{"regular close, reads on", func(c *net.TCPConn) {
			c.CloseWrite()
			io.Copy(io.Discard, c)
		}},
		{"regular close, does not read", func(c *net.TCPConn) {
			c.CloseWrite()
			time.Sleep(50 * time.Millisecond)
		}},
	} {
		b := newTestGate(t, func(w http.ResponseWriter, _ *http.Request) {
			raw, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			defer raw.Close()
			io.WriteString(raw, "HTTP/1.1 200 OK\r\n\r\nhalf")
			time.Sleep(5 * time.Millisecond)
			c.end(raw.(*net.TCPConn))
		})
		whole := 0
		for range resetRounds {
			if b.upload() {
				whole++
			}
		}
		fmt.Fprintf(&out, "%s: %d of %d answers\n", c.name, whole, resetRounds)
	}
	golden.Check(t, "reset", out.String())
}

// upload sends a request with an endless body. It reports whether the answer came to
// its end.
func (b *testGate) upload() bool {
	e := b.entry()
	defer e.cancel()
	e.reserve(true, -1, time.Minute)
	go func() {
		up := strings.Repeat("x", 32<<10)
		for b.t.Context().Err() == nil && e.chunk(up) == nil {
		}
	}()
	return strings.HasSuffix(e.remainingMessages(), "end 0 trailers")
}

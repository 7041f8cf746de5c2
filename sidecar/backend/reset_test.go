package backend

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassiarack.example/lib/golden"
)

const (
	// uploadSize is more than the buffers of a connection hold whose receiver does
	// not read.
	uploadSize = 16 << 20
	// resetRounds is the number of exchanges of each case, since the fault depends on
	// which goroutine learns of the reset.
	resetRounds = 10
)

// earlyEndings are ways in which an instance ends a connection while the body of a
// request is still being written to it.
var earlyEndings = []struct {
	name string
	end  func(*net.TCPConn)
}{
	{"reset", func(c *net.TCPConn) { _ = c.SetLinger(0) }},
	{"close with unread bytes", func(*net.TCPConn) {}},
	{"regular close, reads on", func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	}},
	{"regular close, does not read", func(c *net.TCPConn) {
		_ = c.CloseWrite()
		time.Sleep(10 * cutDelay)
	}},
	{"regular close, then reset", func(c *net.TCPConn) {
		_ = c.CloseWrite()
		time.Sleep(cutDelay)
		_ = c.SetLinger(0)
	}},
}

// TestResetDuringUpload guards against a part of an answer that is returned as a
// whole one: the end of the connection ends an answer without a length, and the kernel
// reports a reset only to the first system call after it, which may be that of the
// goroutine that writes the request. The reader then sees a regular end.
func TestResetDuringUpload(t *testing.T) {
	var b strings.Builder
	for _, framing := range []struct{ name, field string }{{"no length", ""}, {"length", "Content-Length: 4\r\n"}} {
		for _, e := range earlyEndings {
			whole := 0
			for range resetRounds {
				if exchangeEarly(t, ok+idA+signed+framing.field+"\r\nhalf", e.end) {
					whole++
				}
			}
			fmt.Fprintf(&b, "%s, %s: %d of %d answers\n", framing.name, e.name, whole, resetRounds)
		}
	}
	golden.Check(t, "reset", b.String())
}

// exchangeEarly sends a large request to an instance that answers with text before
// it has read the body, and then ends the connection. It reports whether an answer
// was returned.
func exchangeEarly(t *testing.T, text string, end func(*net.TCPConn)) bool {
	t.Helper()
	is := is.New(t)
	c := rawInstance(t, func(c *net.TCPConn) {
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		time.Sleep(cutDelay)
		end(c)
	})
	r := get("a")
	r.Method, r.Body = http.MethodPost, make([]byte, uploadSize)
	a, err := c.Do(t.Context(), r)
	if err != nil {
		var e *Error
		is.True(errors.As(err, &e))
		is.True(e.Kind == KindLost || e.Kind == KindInvalid) // the request may have run
		is.Equal(c.Memory.Account.Used(), int64(0))
		return false
	}
	is.Equal(string(a.Body), "half")
	return true
}

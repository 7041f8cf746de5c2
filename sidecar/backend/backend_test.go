package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassiarack.example/lib/golden"
)

// fakeInstance is an HTTP server that sends the next of its responses for each
// request. An empty response closes the connection.
type fakeInstance struct {
	listener  net.Listener
	responses chan string
	// skipBody makes the server respond before it has read the body.
	skipBody bool
	accepted chan struct{}
}

func startInstance(t *testing.T, texts ...string) *fakeInstance {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	i := &fakeInstance{listener: l, responses: make(chan string, len(texts)), accepted: make(chan struct{}, 16)}
	for _, text := range texts {
		i.responses <- text
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			i.accepted <- struct{}{}
			go i.serve(c)
		}
	}()
	return i
}

func (i *fakeInstance) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if !i.skipBody {
			_, _ = io.Copy(io.Discard, q.Body)
		}
		text := <-i.responses
		if _, err := io.WriteString(c, text); err != nil || text == "" || strings.Contains(text, "Connection: close") {
			return
		}
	}
}

func (i *fakeInstance) client() *Client {
	return &Client{Address: netip.MustParseAddrPort(i.listener.Addr().String())}
}

func get(id string) *Request {
	return &Request{Method: http.MethodGet, Target: "/a/1", Host: "h", Attempt: id, Header: http.Header{}, Idempotent: true}
}

const (
	idA    = "X-Cassiarack-Attempt-Id: a\r\n"
	idB    = "X-Cassiarack-Attempt-Id: b\r\n"
	signed = "X-Cassiarack-Response-Signature: s\r\n"
	ok     = "HTTP/1.1 200 OK\r\n"
)

// TestAnswers guards against returning a response that is incomplete,
// malformed, unsigned or that of another request, and against reading bytes
// after a response as the next response: when the end of the first response is
// in doubt, the second request must use a new connection.
func TestAnswers(t *testing.T) {
	whole := ok + idA + signed + "Content-Length: 2\r\n\r\nhi"
	cases := []struct{ name, text string }{
		{"complete", whole},
		{"chunked", ok + idA + signed + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"},
		{"without length", ok + idA + signed + "Connection: close\r\n\r\nhi"},
		{"truncated body", ok + idA + signed + "Content-Length: 9\r\nConnection: close\r\n\r\nhi"},
		{"truncated chunks", ok + idA + signed + "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n9\r\nhi"},
		{"truncated header", ok + idA + "Connection: close"},
		{"no answer", ""},
		{"not HTTP", "\x00\x01\x02 garbage\r\n\r\nConnection: close"},
		{"unsigned success", ok + idA + "Content-Length: 2\r\n\r\nhi"},
		{"success without identifier", ok + signed + "Content-Length: 2\r\n\r\nhi"},
		{"unsigned failure", "HTTP/1.1 500 x\r\n" + idA + "Content-Length: 0\r\n\r\n"},
		{"late answer to another request first", ok + idB + signed + "Content-Length: 3\r\n\r\nold" + whole},
		{"only answers to other requests", strings.Repeat(ok+idB+signed+"Content-Length: 0\r\n\r\n", maxForeignAnswers+1)},
		{"second answer after the first", whole + whole},
		{"extra bytes after the answer", whole + "x"},
		{"informational response first", "HTTP/1.1 103 Early Hints\r\n\r\n" + whole},
		{"conflicting lengths", ok + idA + signed + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi"},
	}
	var b strings.Builder
	for _, tc := range cases {
		i := startInstance(t, tc.text, ok+strings.Replace(idA, "a\r", "next\r", 1)+signed+"Content-Length: 0\r\n\r\n")
		c := i.client()
		a, err := c.Do(t.Context(), get("a"))
		fmt.Fprintf(&b, "%s: ", tc.name)
		var e *Error
		switch {
		case errors.As(err, &e):
			fmt.Fprintf(&b, "%s", e.Kind)
		case err != nil:
			fmt.Fprintf(&b, "%v", err)
		default:
			fmt.Fprintf(&b, "%d %q", a.Status, a.Body)
		}
		// Bytes after a response arrive together with it or a moment later.
		time.Sleep(5 * time.Millisecond)
		if a, err = c.Do(t.Context(), get("next")); err != nil {
			fmt.Fprintf(&b, "; next fails: %v\n", err)
			continue
		}
		fmt.Fprintf(&b, "; next %d, connections %d\n", a.Status, len(i.accepted))
	}
	golden.Check(t, "answers", b.String())
}

// TestEarlyAnswer guards against reusing a connection while the instance is
// still reading the body of the previous request.
func TestEarlyAnswer(t *testing.T) {
	is := is.New(t)
	reject := "HTTP/1.1 413 x\r\n" + idA + "Content-Length: 0\r\n\r\n"
	i := startInstance(t, reject, ok+idA+signed+"Content-Length: 0\r\n\r\n")
	i.skipBody = true
	c := i.client()
	r := get("a")
	r.Method, r.Body = http.MethodPost, make([]byte, 16<<20)
	a, err := c.Do(t.Context(), r)
	is.NoErr(err)
	is.Equal(a.Status, http.StatusRequestEntityTooLarge)
	_, err = c.Do(t.Context(), get("a"))
	is.NoErr(err)
	is.Equal(len(i.accepted), 2)
}

// TestIdleConnections guards against sending a request that may run only once
// on a connection that the instance may have dropped, and against sending any
// request on a connection that the instance has closed.
func TestIdleConnections(t *testing.T) {
	is := is.New(t)
	answer := ok + idA + signed + "Content-Length: 0\r\n\r\n"
	i := startInstance(t, answer, answer, answer, ok+idA+signed+"Keep-Alive: timeout=2\r\nContent-Length: 0\r\n\r\n", answer)
	c := i.client()
	do := func(idempotent bool) int {
		t.Helper()
		r := get("a")
		r.Idempotent = idempotent
		_, err := c.Do(t.Context(), r)
		is.NoErr(err)
		return len(i.accepted)
	}
	is.Equal(do(true), 1)
	c.idle[0].idleSince = c.idle[0].idleSince.Add(-maxIdleNonIdempotent)
	is.Equal(do(true), 1)  // idempotent: a lost request can be repeated
	is.Equal(do(false), 1) // used just before
	c.idle[0].idleSince = c.idle[0].idleSince.Add(-maxIdleNonIdempotent)
	is.Equal(do(false), 2) // idle for too long
	is.Equal(do(true), 3)  // the stated idle timeout does not exceed idleMargin
	c.idle[0].net.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	<-c.idle[0].watchDone
	i.responses <- answer
	_, err := c.Do(ctx, get("a"))
	is.NoErr(err)
	is.Equal(len(i.accepted), 4) // the close is detected while the connection is idle
}

// TestCancel guards against an instance that continues its work after the
// caller has cancelled the request.
func TestCancel(t *testing.T) {
	is := is.New(t)
	i := startInstance(t)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := i.client().Do(ctx, get("a"))
	var e *Error
	is.True(errors.As(err, &e))
	is.Equal(e.Kind, KindCancelled)
}

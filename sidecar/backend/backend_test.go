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
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassiarack.example/lib/golden"
	"cassiarack.example/platform"
	"cassiarack.example/sidecar/memory"
	"cassiarack.example/sidecar/message"
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
	return &Client{Address: netip.MustParseAddrPort(i.listener.Addr().String()), Memory: &memory.Pool{Account: &memory.Account{}}}
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
		{"status 000", "HTTP/1.1 000 x\r\n" + idA + signed + "Content-Length: 2\r\n\r\nhi"},
		{"status 099", "HTTP/1.1 099 x\r\n" + idA + signed + "Content-Length: 2\r\n\r\nhi"},
		{"status 600", "HTTP/1.1 600 x\r\n" + idA + signed + "Content-Length: 2\r\n\r\nhi"},
		{"switch of the protocol", "HTTP/1.1 101 x\r\n\r\n" + whole},
		{"HTTP/2.0", "HTTP/2.0 200 OK\r\n" + idA + signed + "Content-Length: 2\r\n\r\nhi"},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n" + idA + signed + "Content-Length: 2\r\nConnection: close\r\n\r\nhi"},
		{"HTTP/1.0 in chunks", "HTTP/1.0 200 OK\r\n" + idA + signed + "transfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nhi\r\n0\r\n\r\n"},
		{"space in a field name", ok + idA + signed + "X Other: 1\r\nContent-Length: 2\r\n\r\nhi"},
		{"space behind a field name", ok + idA + signed + "Content-Length : 2\r\nConnection: close\r\n\r\nhi!"},
		{"space before a field name", ok + idA + signed + "Connection: close\r\n Content-Length: 2\r\n\r\nhi!"},
		{"control byte in a field name", ok + idA + signed + "X\x01Other: 1\r\nContent-Length: 2\r\n\r\nhi"},
		{"space in a field name of a late answer", ok + idB + "X Other: 1\r\nContent-Length: 0\r\n\r\n" + whole},
		{"space in a field name after a late answer", ok + idB + "Content-Length: 0\r\n\r\n" + ok + idA + signed + "X Other: 1\r\nContent-Length: 2\r\n\r\nhi"},
		{"space in a field name after an informational response", "HTTP/1.1  103 x\r\n\r\n" + ok + idA + signed + "X Other: 1\r\nContent-Length: 2\r\n\r\nhi"},
		{"space in a field name of an informational response", "HTTP/1.1 103 x\r\nX Other: 1\r\n\r\n" + whole},
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

// endlessInstance accepts connections and, after the head of a request, sends
// start once and then repeats more until the connection closes. Closed receives an
// item when a connection was closed by the client.
func endlessInstance(t *testing.T, start, more string) (client *Client, closed chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	closed = make(chan struct{}, 16)
	block := strings.Repeat(more, 1+(16<<10)/len(more))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, err := io.WriteString(c, start)
				for err == nil {
					_, err = io.WriteString(c, block)
				}
				closed <- struct{}{}
			}()
		}
	}()
	return &Client{Address: netip.MustParseAddrPort(l.Addr().String()), Memory: &memory.Pool{Account: &memory.Account{Limit: 32 << 20}}}, closed
}

// TestEndlessAnswers guards against an instance whose bytes without end, in any
// part of an answer, fill the memory of the process or keep it busy until the
// deadline. Before heads were bounded, a single header line grew to 4.2 GB within
// a deadline of 3 s.
func TestEndlessAnswers(t *testing.T) {
	const (
		deadline = 20 * time.Second
		// smallestMachine is the memory limit of the smallest VM in bytes.
		smallestMachine = 184 << 20
	)
	head := ok + idA + signed
	cases := []struct{ name, start, more string }{
		{"status line", "HTTP/1.1 200 ", "x"},
		{"one header", ok + "A: ", "x"},
		{"many headers", ok, "A: b\r\n"},
		{"empty lines", "", "\r\n"},
		{"informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"informational headers", "HTTP/1.1 103 Early Hints\r\n", "A: b\r\n"},
		{"size of a chunk", head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		{"chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		{"small chunks with extensions", head + "Transfer-Encoding: chunked\r\n\r\n", "1;abcdefghij\r\nx\r\n"},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n"},
		{"trailer", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
		{"body without length", head + "Connection: close\r\n\r\n", "x"},
		{"body with a false length", head + "Content-Length: 99999999999\r\n\r\n", "x"},
		{"answers to other requests", "", ok + idB + signed + "Content-Length: 2\r\n\r\nhi"},
	}
	var b strings.Builder
	for _, tc := range cases {
		c, closed := endlessInstance(t, tc.start, tc.more)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		ctx, cancel := context.WithTimeout(t.Context(), deadline)
		_, err := c.Do(ctx, get("a"))
		var e *Error
		if !errors.As(err, &e) {
			t.Fatalf("%s: error %v", tc.name, err)
		}
		if ctx.Err() != nil {
			t.Errorf("%s: ended only at the deadline", tc.name)
		}
		cancel()
		<-closed
		runtime.ReadMemStats(&after)
		// The sum of all allocations bounds the peak.
		if grown := after.TotalAlloc - before.TotalAlloc; grown > smallestMachine {
			t.Errorf("%s: %d bytes allocated", tc.name, grown)
		}
		fmt.Fprintf(&b, "%s: %s, %d bytes in use\n", tc.name, e.Kind, c.Memory.Account.Used())
	}
	golden.Check(t, "endless", b.String())
}

// TestEndlessBodiesTogether guards against many answers without end that each
// keep their own bound and together exceed the memory of the process.
func TestEndlessBodiesTogether(t *testing.T) {
	is := is.New(t)
	c, _ := endlessInstance(t, ok+idA+signed+"Connection: close\r\n\r\n", "x")
	c.Memory.Account.Limit = message.MaxBody / 2
	results := make(chan error, 12)
	for range cap(results) {
		go func() {
			_, err := c.Do(t.Context(), get("a"))
			results <- err
		}()
	}
	for range cap(results) {
		is.True(memory.IsKind(<-results, memory.KindExhausted))
	}
	is.Equal(c.Memory.Account.Used(), int64(0))
}

// TestRepeatedRefusal guards against a refusal of an earlier request that a faulty
// instance writes once more on a kept connection: the client would be told that
// its request was not run while the instance runs it, or the request would run at
// a second instance. The refusal bears the identifier of the earlier request, none,
// or that of the present request.
func TestRepeatedRefusal(t *testing.T) {
	refusal := func(id string) string {
		return "HTTP/1.1 503 x\r\n" + id + "X-Cassiarack-Not-Executed: full\r\nContent-Length: 0\r\n\r\n"
	}
	misdirected := func(id string) string { return "HTTP/1.1 421 x\r\n" + id + "Content-Length: 0\r\n\r\n" }
	answer := ok + idB + signed + "Content-Length: 2\r\n\r\nhi"
	cases := []struct {
		name string
		// first is the response to request a, second what follows request b.
		first, second string
	}{
		{"earlier identifier", refusal(idA), refusal(idA) + answer},
		{"no identifier", refusal(idA), refusal("") + answer},
		{"no identifier and no answer", refusal(idA), refusal("") + refusal("") + refusal("") + refusal("")},
		{"misdirected without identifier", misdirected(idA), misdirected("") + answer},
		{"failure without identifier", refusal(idA), "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n" + answer},
		{"present identifier before the answer", refusal(idA), refusal(idB) + answer},
		{"present identifier, misdirected before the answer", refusal(idA), misdirected(idB) + answer},
		{"together with the first refusal", refusal(idA) + refusal(idA), answer},
		{"a refusal of its own", refusal(idA), refusal(idB)},
	}
	var b strings.Builder
	for _, tc := range cases {
		i := startInstance(t, tc.first, tc.second, tc.second)
		c := i.client()
		for _, id := range []string{"a", "b"} {
			a, err := c.Do(t.Context(), get(id))
			var e *Error
			switch {
			case errors.As(err, &e):
				fmt.Fprintf(&b, "%s: %s: %s\n", tc.name, id, e.Kind)
			case platform.NotExecuted(a.Status, a.Header):
				fmt.Fprintf(&b, "%s: %s: not run\n", tc.name, id)
			default:
				fmt.Fprintf(&b, "%s: %s: %d %q\n", tc.name, id, a.Status, a.Body)
			}
		}
	}
	golden.Check(t, "refusals", b.String())
}

// TestJoinedAnswers guards against an answer whose head was broken off and continues with
// an earlier answer: the client would get the body of another request as its own.
func TestJoinedAnswers(t *testing.T) {
	earlier := ok + idA + signed + "Content-Length: 5\r\n\r\nfirst"
	whole := ok + idB + signed + "Content-Length: 6\r\n\r\nsecond"
	cases := []struct{ name, head string }{
		{"in the signature", ok + idB + "X-Cassiarack-Response-Signature: s"},
		{"in another field", ok + idB + signed + "Date: Mon"},
		{"in a failure", "HTTP/1.1 500 x\r\n" + idB + "X-Other: "},
		{"in the identifier", ok + "X-Cassiarack-Attempt-Id: b"},
		{"before the identifier", ok + "X-Other: "},
		{"in the name of a field", ok + idB + "X-Other"},
		{"in the status line", "HTTP/1.1 200 O"},
		{"after a whole answer", whole},
	}
	var b strings.Builder
	for _, tc := range cases {
		i := startInstance(t, earlier, tc.head+earlier, whole)
		c := i.client()
		for _, id := range []string{"a", "b"} {
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			a, err := c.Do(ctx, get(id))
			cancel()
			var e *Error
			if errors.As(err, &e) {
				fmt.Fprintf(&b, "%s: %s: %s\n", tc.name, id, e.Kind)
				continue
			}
			fmt.Fprintf(&b, "%s: %s: %d %q\n", tc.name, id, a.Status, a.Body)
		}
	}
	golden.Check(t, "joined", b.String())
}

// TestAnswerWithoutIdentifier guards against reusing a connection on which an answer
// without an identifier may be written once more, as a part of a later answer's head.
func TestAnswerWithoutIdentifier(t *testing.T) {
	is := is.New(t)
	earlier := "HTTP/1.1 404 x\r\nContent-Length: 5\r\n\r\nfirst"
	whole := ok + idB + signed + "Content-Length: 6\r\n\r\nsecond"
	i := startInstance(t, earlier, whole, whole)
	c := i.client()
	a, err := c.Do(t.Context(), get(""))
	is.NoErr(err)
	is.Equal(a.Status, http.StatusNotFound)
	for range 2 {
		a, err = c.Do(t.Context(), get("b"))
		is.NoErr(err)
		is.Equal(string(a.Body), "second")
		is.Equal(len(i.accepted), 2)
	}
}

// TestRefusalInHeadOfRun guards against a refusal that an instance writes in the middle of
// the head of its answer to a request that it ran: the request would run at a second
// instance, or the client would be told that it was not run.
func TestRefusalInHeadOfRun(t *testing.T) {
	const stated = "X-Cassiarack-Not-Executed: 1\r\n"
	cases := []struct{ name, head string }{
		{"a refusal of another request", ok + idB + "X-Cassiarack-Response-Signature: sHTTP/1.1 503 x\r\n" + idA + stated},
		{"a refusal without an identifier", ok + idB + "X-Cassiarack-Response-Signature: sHTTP/1.1 400 x\r\n" + stated},
		{"in a failure", "HTTP/1.1 500 x\r\n" + idB + "X-Other: HTTP/1.1 400 x\r\n" + stated},
		{"in an answer with the status of a refusal", "HTTP/1.1 503 x\r\n" + idB + signed + "X-Other: HTTP/1.1 400 x\r\n" + stated},
		{"in a signed answer for another instance", "HTTP/1.1 421 x\r\n" + idB + signed},
		{"full", "HTTP/1.1 503 x\r\n" + idB + stated},
		{"too many", "HTTP/1.1 429 x\r\n" + idB + stated},
		{"no identifier", "HTTP/1.1 400 x\r\n" + idB + stated},
		{"another instance", "HTTP/1.1 421 x\r\n" + idB},
	}
	var b strings.Builder
	for _, tc := range cases {
		i := startInstance(t, ok+idA+signed+"Content-Length: 0\r\n\r\n", tc.head+"Content-Length: 0\r\n\r\n")
		c := i.client()
		_, err := c.Do(t.Context(), get("a"))
		is.New(t).NoErr(err)
		a, err := c.Do(t.Context(), get("b"))
		var e *Error
		switch {
		case errors.As(err, &e):
			fmt.Fprintf(&b, "%s: %s\n", tc.name, e.Kind)
		default:
			fmt.Fprintf(&b, "%s: %d, not run %t\n", tc.name, a.Status, platform.NotExecuted(a.Status, a.Header))
		}
	}
	golden.Check(t, "refusalInHead", b.String())
}

package gate

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"testing"

	"cassiarack.example/lib/golden"
	"cassiarack.example/lib/request"
)

// closingServer is a backend server that closes the connection without an answer
// after it has read a request named "closed". If closeIdle is set, it also closes
// the connection after each answer.
type closingServer struct {
	net.Listener
	closeIdle bool
	mu        sync.Mutex
	runs      map[string]int
}

func newClosingServer(t *testing.T, idle bool) *closingServer {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &closingServer{Listener: lis, closeIdle: idle, runs: make(map[string]int)}
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go h.serve(c)
		}
	}()
	t.Cleanup(func() { lis.Close() })
	return h
}

func (h *closingServer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("X-Request-Id")
		h.mu.Lock()
		h.runs[id]++
		h.mu.Unlock()
		if id == "closed" {
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		if h.closeIdle {
			return
		}
	}
}

func (h *closingServer) count(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runs[id]
}

// callOnce sends a request. It reports whether the call failed, and whether the
// gate would report that the request was not run.
func callOnce(t *testing.T, b *backends, h *closingServer, method, id, key string, body io.Reader, length int64) (bool, bool) {
	t.Helper()
	var p callProgress
	head := request.Head{Method: method, Target: "/x", Host: "x", ContentLength: length,
		Fields: []request.Field{{Name: "X-Request-Id", Value: id}}}
	if key != "" {
		head.Fields = append(head.Fields, request.Field{Name: key, Value: "k"})
	}
	ctx := httptrace.WithClientTrace(t.Context(), p.trace())
	req, err := newBackendRequest(ctx, h.Addr().(*net.TCPAddr).AddrPort(), head, body)
	if err != nil {
		return true, true
	}
	res, err := b.transport("i", 1).RoundTrip(req)
	if err != nil {
		return true, p.notRun()
	}
	io.Copy(io.Discard, res.Body)
	res.Body.Close()
	return false, false
}

var retryCases = []struct{ method, key, body string }{
	{"GET", "", ""}, {"HEAD", "", ""}, {"OPTIONS", "", ""}, {"POST", "", ""}, {"POST", "", "body"}, {"DELETE", "", ""},
	{"POST", "Idempotency-Key", ""}, {"POST", "idempotency-key", "body"}, {"POST", "X-Idempotency-Key", ""},
	{"PUT", "Idempotency-Key", "body"}, {"GET", "Idempotency-Key", ""}, {"TRACE", "", ""},
}

func bodyOf(s string) (io.Reader, int64) {
	if s == "" {
		return nil, 0
	}
	return io.NopCloser(strings.NewReader(s)), int64(len(s))
}

// TestNoTransportRetry guards against requests that run twice because net/http
// retries them: it retries some requests if a reused connection is closed before
// the answer. Without emptyBody and headerName, the server counted 2 runs of GET,
// HEAD, OPTIONS and of each POST without a body that had an idempotency key.
func TestNoTransportRetry(t *testing.T) {
	var out strings.Builder
	for _, c := range retryCases {
		h, b := newClosingServer(t, false), newBackends()
		callOnce(t, b, h, "POST", "first", "", nil, 0)
		body, n := bodyOf(c.body)
		failed, notRun := callOnce(t, b, h, c.method, "closed", c.key, body, n)
		fmt.Fprintf(&out, "%s %q %q: failed %v, not run %v, runs %d\n", c.method, c.key, c.body, failed, notRun, h.count("closed"))
		b.close()
	}
	golden.Check(t, "no_repeat", out.String())
}

// TestNotRun guards against a request that is reported as not run although it ran.
// This can happen if the backend server closes an idle connection while a request
// is sent on it.
func TestNotRun(t *testing.T) {
	const rounds = 300
	h, b := newClosingServer(t, true), newBackends()
	defer b.close()
	notRunCount := 0
	for i := range rounds {
		c := retryCases[i%len(retryCases)]
		id := fmt.Sprint(i)
		body, n := bodyOf(c.body)
		failed, notRun := callOnce(t, b, h, c.method, id, c.key, body, n)
		runs := h.count(id)
		if runs > 1 || notRun && runs > 0 || !failed && runs != 1 {
			t.Errorf("request %d %v: failed %v, not run %v, runs %d", i, c, failed, notRun, runs)
		}
		if notRun {
			notRunCount++
		}
	}
	t.Logf("%d of %d requests reported as not run", notRunCount, rounds)
	h.Close()
	if failed, notRun := callOnce(t, newBackends(), h, "POST", "refused", "", nil, 0); !failed || !notRun {
		t.Errorf("refused connection: failed %v, not run %v", failed, notRun)
	}
}

package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassiarack.example/lib/decision/routing"
)

// TestBodyMemory guards against requests whose bodies together exceed the memory of
// the process, and against a trailer without end. The client is told that such a
// request was not run, and the memory is free again afterwards.
func TestBodyMemory(t *testing.T) {
	is := is.New(t)
	s, f, address, _ := startIngress(t)
	s.Bodies.Account.Limit = 8 << 10
	status := func(text string) int {
		t.Helper()
		c := dial(t, address)
		_, err := io.WriteString(c, text)
		is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		return resp.StatusCode
	}
	post := "POST /a/x%s HTTP/1.1\r\nHost: h.example\r\nContent-Length: 3\r\n\r\nabc"
	chunked := "POST /a/x HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n"
	is.Equal(status(fmt.Sprintf(post, "")), http.StatusOK)
	is.Equal(status(chunked+strings.Repeat("T: 1\r\n", 100)), http.StatusRequestHeaderFieldsTooLarge)
	is.Equal(s.Bodies.Account.Used(), int64(0))
	s.Bodies.Account.Limit = 1
	is.Equal(status(fmt.Sprintf(post, "")), http.StatusServiceUnavailable)
	is.Equal(s.Bodies.Account.Used(), int64(0))
	is.Equal(len(f.requests), 1) // the refused requests were not forwarded
}

// TestLargeBodyRefused guards against a client that is asked for a large body that does
// not fit, against a refusal that does not say when to come back, and against a full
// memory for large bodies that stops small ones.
func TestLargeBodyRefused(t *testing.T) {
	is := is.New(t)
	s, f, address, _ := startIngressWith(t, routing.Limits{HeaderBytes: 512, BodyBytes: 1 << 20})
	s.Bodies.Account.SetLimit(1 << 20)
	s.Bodies.LargeShare = 0.1
	post := func(size int, send bool) *http.Response {
		t.Helper()
		c := dial(t, address)
		_, err := fmt.Fprintf(c, "POST /a/x HTTP/1.1\r\nHost: h.example\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", size)
		is.NoErr(err)
		if send {
			_, err = c.Write(make([]byte, size))
			is.NoErr(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		return resp
	}
	resp := post(110<<10, false)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable) // nothing was read
	is.True(resp.Header.Get("Retry-After") != "")
	is.Equal(post(100<<10, true).StatusCode, http.StatusContinue)
	is.Equal(post(60<<10, true).StatusCode, http.StatusContinue)
	for s.Bodies.Account.Used() != 0 {
		time.Sleep(time.Millisecond)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	is.Equal(len(f.requests), 2)
}

// TestStalledBody guards against clients that announce large bodies, send only a part of
// them and so keep the memory that others need.
func TestStalledBody(t *testing.T) {
	is := is.New(t)
	s, f, address, _ := startIngressWith(t, routing.Limits{HeaderBytes: 512, BodyBytes: 1 << 20, HeaderTimeout: 200 * time.Millisecond})
	c := dial(t, address)
	_, err := fmt.Fprintf(c, "POST /a/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n\r\n", 100<<10)
	is.NoErr(err)
	for range 3 { // a slow body goes on
		time.Sleep(100 * time.Millisecond)
		_, err = c.Write(make([]byte, 20<<10))
		is.NoErr(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusRequestTimeout)
	is.Equal(s.Bodies.Account.Used(), int64(0))
	is.Equal(len(f.requests), 0)
}

// TestSlowBody guards against clients that keep a connection and memory without end by
// sending a body byte by byte, whatever its size and encoding.
func TestSlowBody(t *testing.T) {
	for name, head := range map[string]string{
		"small":   "Content-Length: 20000\r\n\r\n",
		"large":   "Content-Length: 66000\r\n\r\n",
		"chunked": "Transfer-Encoding: chunked\r\n\r\n5000\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, f, address, _ := startIngressWith(t, routing.Limits{HeaderBytes: 512, BodyBytes: 66_000, HeaderTimeout: 200 * time.Millisecond})
			c := dial(t, address)
			_, err := io.WriteString(c, "POST /a/x HTTP/1.1\r\nHost: h.example\r\n"+head)
			is.NoErr(err)
			go func() {
				for err := error(nil); err == nil; time.Sleep(50 * time.Millisecond) {
					_, err = c.Write([]byte{'a'})
				}
			}()
			is.NoErr(c.SetReadDeadline(time.Now().Add(4 * time.Second)))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusRequestTimeout)
			is.Equal(s.Bodies.Account.Used(), int64(0))
			is.Equal(len(f.requests), 0)
		})
	}
}

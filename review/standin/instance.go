package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// instance is a stand-in for an application instance with a number of slots and
// a queue. It serves one request at a time on a connection.
type instance struct {
	id, service, address, zone string
	slots                      int
	// work is how long a request runs.
	work time.Duration
	// onRun is called when a request begins to run.
	onRun func(i *instance, attempt string, body int64)
	// answerBytes is the size of the body of an answer.
	answerBytes int
	// serve, if set, replaces the sound behaviour after the request was read. It
	// returns whether the connection is kept.
	serve func(c net.Conn, r *http.Request, attempt string) (keep bool)

	listener net.Listener
	running  chan struct{}
	mu       sync.Mutex
	waiting  int
}

const queueLength = 24

// start begins to accept connections.
func (i *instance) start() error {
	var err error
	if i.listener, err = net.Listen("tcp", i.address); err != nil {
		return err
	}
	i.running = make(chan struct{}, i.slots)
	go func() {
		for {
			c, err := i.listener.Accept()
			if err != nil {
				return
			}
			go i.handle(c)
		}
	}()
	return nil
}

// handle serves the requests of a connection.
func (i *instance) handle(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		n, err := io.Copy(io.Discard, req.Body)
		if err != nil {
			return
		}
		if !i.answer(c, req, n) {
			return
		}
	}
}

// answer runs one request and writes its answer. It returns whether the connection
// is kept.
func (i *instance) answer(c net.Conn, req *http.Request, body int64) bool {
	attempt := req.Header.Get("X-Cassiarack-Attempt-Id")
	head := fmt.Sprintf("X-Cassiarack-Attempt-Id: %s\r\nX-Cassiarack-Instance-Id: %s\r\n", attempt, i.id)
	refuse := func(status int) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sX-Cassiarack-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", status,
			http.StatusText(status), head)
		return err == nil
	}
	if t := req.Header.Get("X-Cassiarack-Target-Instance"); t != "" && t != i.id {
		return refuse(http.StatusMisdirectedRequest)
	}
	deadline := 5 * time.Second
	if ms, err := strconv.Atoi(req.Header.Get("X-Cassiarack-Deadline-Ms")); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	expired := time.NewTimer(deadline)
	defer expired.Stop()
	i.mu.Lock()
	if i.waiting >= queueLength {
		i.mu.Unlock()
		return refuse(http.StatusServiceUnavailable)
	}
	i.waiting++
	i.mu.Unlock()
	leave := func() { i.mu.Lock(); i.waiting--; i.mu.Unlock() }
	select {
	case i.running <- struct{}{}:
		leave()
	case <-expired.C:
		leave()
		return refuse(http.StatusServiceUnavailable)
	}
	defer func() { <-i.running }()
	if i.onRun != nil {
		i.onRun(i, attempt, body)
	}
	if i.serve != nil {
		return i.serve(c, req, attempt)
	}
	status, text := http.StatusOK, pattern(attempt, i.answerBytes)
	select {
	case <-time.After(i.work):
	case <-expired.C:
		status, text = http.StatusGatewayTimeout, nil
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sX-Cassiarack-Response-Signature: s.%s\r\nX-Cassiarack-Server-Load: %d,0,%d\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), head, attempt, len(i.running), i.slots, len(text), text)
	return err == nil
}

// pattern returns n bytes that name the attempt.
func pattern(attempt string, n int) []byte {
	if n < len(attempt)+1 {
		n = len(attempt) + 1
	}
	out := make([]byte, n)
	for k := range out {
		if p := k % (len(attempt) + 1); p < len(attempt) {
			out[k] = attempt[p]
		} else {
			out[k] = ';'
		}
	}
	return out
}

package mesh

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// clientDeadline is how long clients wait.
	clientDeadline = 2 * time.Second
	// answerSlack is how much later a calm sidecar may answer.
	answerSlack = 700 * time.Millisecond
	// calmTime is how long a VM counts as disturbed after a fault on it.
	calmTime = 7 * time.Second
	// pause is the longest time between two requests of a client.
	pause = 40 * time.Millisecond
)

// Outcome counts what clients saw.
type Outcome struct {
	mu       sync.Mutex
	Statuses map[string]int
	// Broken lists broken promises.
	Broken []string
	// promises holds attempts that must never run.
	promises []string
	unsafe   []string
}

// NewOutcome returns an empty outcome.
func NewOutcome() *Outcome { return &Outcome{Statuses: make(map[string]int)} }

func (o *Outcome) broken(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.Broken = append(o.Broken, fmt.Sprintf(format, args...))
}

// Client sends requests to the sidecar of a VM until ctx ends. It keeps its
// connection for as long as it can.
func (m *Mesh) Client(ctx context.Context, v *VM, name string, o *Outcome) {
	var c net.Conn
	var r *bufio.Reader
	for n := 0; ctx.Err() == nil; n++ {
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", m.address(v.Index, portCallers).String(), time.Second); err != nil {
				o.count("no connection")
				time.Sleep(pause)
				continue
			}
			r = bufio.NewReader(c)
		}
		if !m.exchange(c, r, v, fmt.Sprintf("%s-%d", name, n), o) {
			c.Close()
			c = nil
		}
		time.Sleep(rand.N(pause))
	}
	if c != nil {
		c.Close()
	}
}

func (o *Outcome) count(what string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.Statuses[what]++
}

// exchange sends one request and checks its answer. It reports whether the
// connection can be used again.
func (m *Mesh) exchange(c net.Conn, r *bufio.Reader, v *VM, attempt string, o *Outcome) bool {
	method, path, text := http.MethodGet, "/read/", ""
	switch rand.IntN(3) {
	case 0:
		method, path, text = http.MethodPost, "/accept/", body(attempt)
		o.mu.Lock()
		o.unsafe = append(o.unsafe, attempt)
		o.mu.Unlock()
	case 1:
		path = "/other/"
	}
	request := fmt.Sprintf("%s %s%s HTTP/1.1\r\nHost: mesh.example\r\nX-Cassiarack-Attempt-Id: %s\r\nX-Cassiarack-Deadline-Ms: %d\r\n"+
		"X-Cassiarack-Caller-Service: forged\r\nContent-Length: %d\r\n\r\n%s", method, path, attempt, attempt,
		clientDeadline.Milliseconds(), len(text), text)
	began := time.Now()
	if err := c.SetDeadline(began.Add(clientDeadline + answerSlack)); err != nil {
		return false
	}
	if _, err := io.WriteString(c, request); err != nil {
		o.count("not sent")
		return false
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		o.count("no answer")
		if took := time.Since(began); took >= clientDeadline+answerSlack && m.calm(v, began) {
			o.broken("late: %s at VM %d has no answer after %v", attempt, v.Index, took)
		}
		return false
	}
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		o.count("answer cut")
		return false
	}
	o.count(fmt.Sprint(resp.StatusCode))
	m.check(resp, string(got), attempt, o)
	return !resp.Close
}

// calm reports whether no fault struck a VM since shortly before a time.
func (m *Mesh) calm(v *VM, since time.Time) bool {
	return v.disturbed.Load() < since.Add(-calmTime).UnixNano()
}

// check compares an answer with the promises.
func (m *Mesh) check(resp *http.Response, got, attempt string, o *Outcome) {
	switch resp.StatusCode {
	case http.StatusOK:
		if got != body(attempt) || resp.Header.Get("X-Cassiarack-Response-Signature") == "" {
			o.broken("mixed: %s got %q", attempt, got)
		}
		if len(m.Runs.of(attempt)) == 0 {
			o.broken("mixed: %s got a success and did not run", attempt)
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		o.mu.Lock()
		o.promises = append(o.promises, attempt)
		o.mu.Unlock()
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		o.broken("denied: %s got %d %s", attempt, resp.StatusCode, strings.TrimSpace(got))
	}
}

// Finish checks what can only be told at the end, and returns all broken promises.
func (m *Mesh) Finish(o *Outcome) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, a := range o.promises {
		if runs := m.Runs.of(a); len(runs) > 0 {
			o.Broken = append(o.Broken, fmt.Sprintf("refused: %s was refused and ran at %s", a, runs[0].instance))
		}
	}
	for _, a := range o.unsafe {
		if runs := m.Runs.of(a); len(runs) > 1 {
			o.Broken = append(o.Broken, fmt.Sprintf("twice: %s ran %d times", a, len(runs)))
		}
	}
	m.Runs.mu.Lock()
	defer m.Runs.mu.Unlock()
	return append(o.Broken, m.Runs.faults...)
}

// ask returns the status of one request to the sidecar of a VM, or 0.
func (m *Mesh) ask(ctx context.Context, v *VM, path, attempt string) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%v%s%s", m.address(v.Index, portCallers), path, attempt), nil)
	if err != nil {
		return 0
	}
	req.Host = "mesh.example"
	req.Header.Set("X-Cassiarack-Attempt-Id", attempt)
	req.Header.Set("X-Cassiarack-Deadline-Ms", strconv.FormatInt(clientDeadline.Milliseconds(), 10))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

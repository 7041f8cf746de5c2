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
	// disturbanceTime is how long a VM counts as disturbed after a fault on it.
	disturbanceTime = 7 * time.Second
	// maxRequestPause is the longest time between two requests of a client.
	maxRequestPause = 40 * time.Millisecond
)

// Outcome counts what clients saw.
type Outcome struct {
	mu       sync.Mutex
	Statuses map[string]int
	// Violations lists broken promises.
	Violations []string
	// refusedAttempts holds attempts that must never run.
	refusedAttempts []string
	unsafeAttempts  []string
}

// NewOutcome returns an empty outcome.
func NewOutcome() *Outcome { return &Outcome{Statuses: make(map[string]int)} }

func (o *Outcome) addViolation(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.Violations = append(o.Violations, fmt.Sprintf(format, args...))
}

// RunClient sends requests to the sidecar of a VM until ctx ends. It keeps its
// connection for as long as it can.
func (m *Mesh) RunClient(ctx context.Context, v *VM, name string, o *Outcome) {
	var c net.Conn
	var r *bufio.Reader
	for n := 0; ctx.Err() == nil; n++ {
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", m.address(v.Index, portCallers).String(), time.Second); err != nil {
				o.count("no connection")
				time.Sleep(maxRequestPause)
				continue
			}
			r = bufio.NewReader(c)
		}
		if !m.exchange(c, r, v, fmt.Sprintf("%s-%d", name, n), o) {
			c.Close()
			c = nil
		}
		time.Sleep(rand.N(maxRequestPause))
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
		method, path, text = http.MethodPost, "/accept/", attemptBody(attempt)
		o.mu.Lock()
		o.unsafeAttempts = append(o.unsafeAttempts, attempt)
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
		if elapsed := time.Since(began); elapsed >= clientDeadline+answerSlack && m.isUndisturbed(v, began) {
			o.addViolation("late: %s at VM %d has no answer after %v", attempt, v.Index, elapsed)
		}
		return false
	}
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		o.count("answer cut")
		return false
	}
	o.count(fmt.Sprint(resp.StatusCode))
	m.checkResponse(resp, string(got), attempt, o)
	return !resp.Close
}

// isUndisturbed reports whether no fault struck a VM since shortly before a time.
func (m *Mesh) isUndisturbed(v *VM, since time.Time) bool {
	return v.lastFault.Load() < since.Add(-disturbanceTime).UnixNano()
}

// checkResponse compares an answer with the promises.
func (m *Mesh) checkResponse(resp *http.Response, got, attempt string, o *Outcome) {
	switch resp.StatusCode {
	case http.StatusOK:
		if got != attemptBody(attempt) || resp.Header.Get("X-Cassiarack-Response-Signature") == "" {
			o.addViolation("mixed: %s got %q", attempt, got)
		}
		if len(m.Runs.executions(attempt)) == 0 {
			o.addViolation("mixed: %s got a success and did not run", attempt)
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		o.mu.Lock()
		o.refusedAttempts = append(o.refusedAttempts, attempt)
		o.mu.Unlock()
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		o.addViolation("denied: %s got %d %s", attempt, resp.StatusCode, strings.TrimSpace(got))
	}
}

// CheckExecutions checks what can only be told at the end, and returns all broken promises.
func (m *Mesh) CheckExecutions(o *Outcome) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, a := range o.refusedAttempts {
		if runs := m.Runs.executions(a); len(runs) > 0 {
			o.Violations = append(o.Violations, fmt.Sprintf("refused: %s was refused and ran at %s", a, runs[0].instance))
		}
	}
	for _, a := range o.unsafeAttempts {
		if runs := m.Runs.executions(a); len(runs) > 1 {
			o.Violations = append(o.Violations, fmt.Sprintf("twice: %s ran %d times", a, len(runs)))
		}
	}
	m.Runs.mu.Lock()
	defer m.Runs.mu.Unlock()
	return append(o.Violations, m.Runs.violations...)
}

// get returns the status of one request to the sidecar of a VM, or 0.
func (m *Mesh) get(ctx context.Context, v *VM, path, attempt string) int {
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

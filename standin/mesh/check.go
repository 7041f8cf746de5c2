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
	// clientDeadline is the deadline that clients send with each request.
	clientDeadline = 2 * time.Second
	// answerSlack is how long after the deadline a sidecar without recent faults may
	// answer.
	answerSlack = 700 * time.Millisecond
	// disturbanceTime is how long after a fault on a VM late answers are allowed.
	disturbanceTime = 7 * time.Second
	// largeShare is the number of unsafe requests of which one has a large body, in a
	// soak with organisations, and maxLargeBody the size of the largest.
	largeShare   = 8
	maxLargeBody = 300_000
	// maxRequestPause is the longest time between two requests of a client.
	maxRequestPause = 40 * time.Millisecond
)

// Outcome collects the results of the clients' requests. Clients may share one.
type Outcome struct {
	mu sync.Mutex
	// Statuses counts the requests by status code, or by failure if there was none.
	Statuses map[string]int
	// Violations describes each violation of a guarantee that a client saw.
	Violations []string
	// refusedAttempts lists attempts that were refused and so must never run.
	refusedAttempts []string
	// unsafeAttempts lists attempts that must run at most once.
	unsafeAttempts []string
}

// NewOutcome returns an empty outcome.
func NewOutcome() *Outcome { return &Outcome{Statuses: make(map[string]int)} }

// addViolation records a violation of a guarantee.
func (o *Outcome) addViolation(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.Violations = append(o.Violations, fmt.Sprintf(format, args...))
}

// RunClient sends requests, one at a time, to the sidecar of v until ctx is done,
// and adds their results to o. The name is the prefix of the attempts' identifiers.
// It keeps its connection until the sidecar closes that or an exchange fails.
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

// count counts a request by its status code or failure.
func (o *Outcome) count(what string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.Statuses[what]++
}

// exchange sends one request and checks its answer. It returns whether the
// connection can be used again.
func (m *Mesh) exchange(c net.Conn, r *bufio.Reader, v *VM, attempt string, o *Outcome) bool {
	method, path, text := http.MethodGet, "/read/", ""
	switch rand.IntN(3) {
	case 0:
		method, path, text = http.MethodPost, "/accept/", attemptBody(attempt)
		o.mu.Lock()
		o.unsafeAttempts = append(o.unsafeAttempts, attempt)
		o.mu.Unlock()
		if m.accounts != nil && rand.IntN(largeShare) == 0 {
			text = largeBody(attempt, minLargeBody+rand.IntN(maxLargeBody-minLargeBody))
		}
	case 1:
		path = "/other/"
	}
	request := fmt.Sprintf("%s %s%s HTTP/1.1\r\nHost: mesh.example\r\nX-Cassiarack-Attempt-Id: %s\r\nX-Cassiarack-Deadline-Ms: %d\r\n"+
		"X-Cassiarack-Caller-Service: forged\r\n%sContent-Length: %d\r\n\r\n%s", method, path, attempt, attempt,
		clientDeadline.Milliseconds(), m.callerHeaders(attempt), len(text), text)
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
			o.addViolation("late: attempt %s at VM %d has no answer after %v", attempt, v.Index, elapsed)
		}
		return false
	}
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		o.count("truncated answer")
		return false
	}
	o.count(fmt.Sprint(resp.StatusCode))
	m.checkResponse(resp, string(got), attempt, o)
	return !resp.Close
}

// isUndisturbed reports whether the VM had no fault after since, nor in the
// disturbanceTime before it.
func (m *Mesh) isUndisturbed(v *VM, since time.Time) bool {
	return v.lastFault.Load() < since.Add(-disturbanceTime).UnixNano()
}

// checkResponse checks the status and the body of an answer to an attempt, and
// records a violation in o.
func (m *Mesh) checkResponse(resp *http.Response, got, attempt string, o *Outcome) {
	switch resp.StatusCode {
	case http.StatusOK:
		if got != attemptBody(attempt) || resp.Header.Get("X-Cassiarack-Response-Signature") == "" {
			o.addViolation("wrong answer: attempt %s got an unsigned answer or that to another request: %q", attempt, got)
		}
		if len(m.Runs.executions(attempt)) == 0 {
			o.addViolation("answer without a run: attempt %s succeeded but never ran", attempt)
		}
	case http.StatusUnauthorized:
		if m.accounts == nil || m.accounts.inForce(attempt, time.Now()) {
			o.addViolation("false 401: attempt %s has a key that is in force", attempt)
		}
		fallthrough
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		o.mu.Lock()
		o.refusedAttempts = append(o.refusedAttempts, attempt)
		o.mu.Unlock()
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		o.addViolation("unexpected status: attempt %s got %d %s", attempt, resp.StatusCode, strings.TrimSpace(got))
	}
}

// CheckExecutions compares the executions with the results of all clients, which
// must have ended, and returns all violations, those found earlier included.
func (m *Mesh) CheckExecutions(o *Outcome) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, a := range o.refusedAttempts {
		if runs := m.Runs.executions(a); len(runs) > 0 {
			o.Violations = append(o.Violations, fmt.Sprintf("false refusal: attempt %s was refused but ran at instance %s", a, runs[0].instance))
		}
	}
	for _, a := range o.unsafeAttempts {
		if runs := m.Runs.executions(a); len(runs) > 1 {
			o.Violations = append(o.Violations, fmt.Sprintf("duplicate run: unsafe attempt %s ran %d times", a, len(runs)))
		}
	}
	m.Runs.mu.Lock()
	defer m.Runs.mu.Unlock()
	return append(o.Violations, m.Runs.violations...)
}

// get sends one GET request to the sidecar of a VM and returns the status code, or
// 0 if there is no answer.
func (m *Mesh) get(ctx context.Context, v *VM, path, attempt string) int {
	return m.getWithin(ctx, v, path, attempt, clientDeadline)
}

// getWithin is like get, with another deadline than clientDeadline.
func (m *Mesh) getWithin(ctx context.Context, v *VM, path, attempt string, deadline time.Duration) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%v%s%s", m.address(v.Index, portCallers), path, attempt), nil)
	if err != nil {
		return 0
	}
	req.Host = "mesh.example"
	req.Header.Set("X-Cassiarack-Attempt-Id", attempt)
	req.Header.Set("X-Cassiarack-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

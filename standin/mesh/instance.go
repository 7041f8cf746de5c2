package mesh

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Faulty modes of an instance. Each affects about half of its requests.
const (
	Errors           Mode = "errors"    // runs and answers 500
	Sheds            Mode = "sheds"     // answers 503 without running the request
	Hangs            Mode = "hangs"     // runs and does not answer
	ClosesUnanswered Mode = "lost"      // runs and closes the connection without an answer
	TruncatesAnswer  Mode = "cuts"      // runs and truncates its answer
	ExtraAnswer      Mode = "extra"     // answers twice
	LateExtraAnswer  Mode = "extraLate" // answers twice, the second time after extraDelay
	Unframed         Mode = "unframed"  // answers without a Content-Length
	Garbage          Mode = "garbage"   // sends bytes that are not an HTTP answer
	Unsigned         Mode = "unsigned"  // answers without its signature
	CutsHead         Mode = "head"      // runs and ends in the middle of its answer's head
	JoinsAnswers     Mode = "joins"     // runs and continues its answer's head with another answer
	EndlessHead      Mode = "longHead"  // runs and sends a head without end
	EndlessBody      Mode = "longBody"  // runs and sends a body without end
)

// InstanceModes lists all faulty modes of an instance.
var InstanceModes = []Mode{Errors, Sheds, Hangs, ClosesUnanswered, TruncatesAnswer, ExtraAnswer, LateExtraAnswer, Unframed, Garbage, Unsigned,
	CutsHead, JoinsAnswers, EndlessHead, EndlessBody}

const (
	// extraDelay is the time from the first answer to a late second answer.
	extraDelay = 30 * time.Millisecond
	// extraLinger is how long the connection stays open after the second answer.
	extraLinger = 300 * time.Millisecond
	// endlessChunk is the number of bytes that an endless answer writes at a time,
	// and endlessTime how long it goes on if the sidecar does not close the
	// connection.
	endlessChunk = 64 << 10
	endlessTime  = 10 * time.Second
	// minLargeBody is the size of the smallest body that repeats that of an attempt.
	minLargeBody = 16 << 10
)

// echoHeader is a header of a request that a healthy instance returns in its answer,
// behind the target that it received.
const echoHeader = "X-Echo"

// Runs records the executions of requests at all instances.
type Runs struct {
	mu       sync.Mutex
	attempts map[string][]run
	// organisations holds the name of the organisation of each attempt that has one.
	organisations map[string]string
	// violations describes each violation of a guarantee that an instance saw.
	violations []string
}

// run is one execution of an attempt.
type run struct {
	instance string
	at       time.Time
	// traceParent is the traceparent header of the request.
	traceParent string
}

// NewRuns returns a record without executions.
func NewRuns() *Runs {
	return &Runs{attempts: make(map[string][]run), organisations: make(map[string]string)}
}

// add records an execution of an attempt.
func (r *Runs) add(attempt, instance, traceParent string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[attempt] = append(r.attempts[attempt], run{instance, time.Now(), traceParent})
}

// addViolation records a violation of a guarantee.
func (r *Runs) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// executions returns the executions of an attempt.
func (r *Runs) executions(attempt string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempts[attempt]
}

// times returns the times of all executions at an instance, in order.
func (r *Runs) times(instance string) []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []time.Time
	for _, runs := range r.attempts {
		for _, e := range runs {
			if e.instance == instance {
				out = append(out, e.at)
			}
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// Instance is a stand-in for an application instance.
type Instance struct {
	ID, Service string
	// Work is the mean run time of a request.
	Work time.Duration
	// Runs records the executions.
	Runs *Runs

	mu   sync.Mutex
	mode Mode
	// drainingSince is when the store acknowledged that the instance drains.
	drainingSince time.Time
}

// SetMode sets the mode for requests that arrive afterwards.
func (i *Instance) SetMode(m Mode) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.mode = m
}

// RecordDraining records that the store acknowledged at the given time that the
// instance drains. Requests that arrive more than maxDrainDelay later are
// violations.
func (i *Instance) RecordDraining(at time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.drainingSince = at
}

// attemptBody returns the body of an attempt's answer, and of its request if that
// has one. No two attempts have the same body.
func attemptBody(attempt string) string {
	sum := xxhash.Sum64String(attempt)
	return strings.Repeat(fmt.Sprintf("%s-%x;", attempt, sum), 1+int(sum%40))
}

// largeBody returns a body of size bytes that repeats that of an attempt.
func largeBody(attempt string, size int) string {
	text := attemptBody(attempt)
	return strings.Repeat(text, size/len(text)+1)[:size]
}

// isBodyOf reports whether body is that of an attempt or a large one of it.
func isBodyOf(attempt string, body []byte) bool {
	return string(body) == attemptBody(attempt) || len(body) >= minLargeBody && string(body) == largeBody(attempt, len(body))
}

// readBody reads and checks the body of an attempt. It returns false if the client left
// or the deadline passed while a large body was on its way.
func (i *Instance) readBody(r *http.Request, attempt string) bool {
	sent, err := io.ReadAll(r.Body)
	valid := len(sent) == 0 || isBodyOf(attempt, sent)
	if err != nil {
		// A slow connection may cut a large body anywhere.
		valid = r.ContentLength >= minLargeBody && string(sent) == largeBody(attempt, len(sent))
	}
	if !valid {
		i.Runs.addViolation("body: the body of attempt %s is incomplete or changed: %.1000q, error %v", attempt, sent, err)
	}
	return err == nil
}

// ServeHTTP implements http.Handler. It checks the request, records its execution
// and answers according to the mode.
func (i *Instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Cassiarack-Attempt-Id")
	if target := r.Header.Get("X-Cassiarack-Target-Instance"); target != i.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	i.mu.Lock()
	mode, leavingAt := i.mode, i.drainingSince
	i.mu.Unlock()
	if !leavingAt.IsZero() && time.Since(leavingAt) > maxDrainDelay {
		i.Runs.addViolation("drain: instance %s got attempt %s %v after it began to drain", i.ID, attempt, time.Since(leavingAt))
	}
	ms, err := strconv.Atoi(r.Header.Get("X-Cassiarack-Deadline-Ms"))
	if err != nil || ms > int(clientDeadline.Milliseconds())+500 {
		i.Runs.addViolation("deadline: attempt %s has an invalid or too long deadline in ms: %q", attempt, r.Header.Get("X-Cassiarack-Deadline-Ms"))
	}
	if got := r.Header.Get("X-Cassiarack-Caller-Service"); got == "" || got == "forged" {
		i.Runs.addViolation("caller: attempt %s has a missing or forged caller service: %q", attempt, got)
	}
	i.Runs.checkCaller(attempt, r.Header)
	if rand.IntN(2) == 0 {
		mode = Healthy
	}
	if mode == Sheds {
		w.Header().Set("X-Cassiarack-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	i.Runs.add(attempt, i.ID, r.Header.Get("Traceparent"))
	if !i.readBody(r, attempt) {
		return
	}
	select {
	case <-time.After(i.Work/2 + rand.N(i.Work)):
	case <-r.Context().Done():
		return
	}
	i.answer(w, r, attempt, mode)
}

// answer sends the answer to an attempt with the fault of the mode, if any.
func (i *Instance) answer(w http.ResponseWriter, r *http.Request, attempt string, mode Mode) {
	text, head, whole := attemptBody(attempt), i.identityHeaders(attempt), i.completeAnswer(attempt)
	switch mode {
	case Errors:
		sendRaw(w, fmt.Sprintf("HTTP/1.1 500 Internal Server Error\r\n%sContent-Length: 0\r\n\r\n", head), "", 0)
	case Hangs:
		<-r.Context().Done()
	case ClosesUnanswered:
		resetConnection(w)
	case TruncatesAnswer:
		sendRaw(w, whole[:len(whole)-1-rand.IntN(len(text))], "", 0)
	case ExtraAnswer:
		sendRaw(w, whole, i.completeAnswer("other"), 0)
	case LateExtraAnswer:
		sendRaw(w, whole, i.completeAnswer("other"), extraDelay)
	case Unframed:
		sendRaw(w, "HTTP/1.1 200 OK\r\n"+head+"\r\n"+text, "", 0)
	case Garbage:
		sendRaw(w, "GARBAGE "+whole, "", 0)
	case CutsHead:
		sendRaw(w, whole[:rand.IntN(len(whole)-len(text))], "", 0)
	case JoinsAnswers:
		sendRaw(w, "HTTP/1.1 200 OK\r\n"+strings.TrimSuffix(head, "\r\n")+i.completeAnswer("other"), "", 0)
	case EndlessHead:
		sendEndless(w, "HTTP/1.1 200 OK\r\n"+head+"X-Other: ")
	case EndlessBody:
		sendEndless(w, "HTTP/1.1 200 OK\r\n"+head+"\r\n"+text)
	case Unsigned:
		sendRaw(w, strings.ReplaceAll(whole, "X-Cassiarack-Response-Signature", "X-Other"), "", 0)
	default:
		w.Header().Set("X-Cassiarack-Attempt-Id", attempt)
		w.Header().Set("X-Cassiarack-Response-Signature", i.ID)
		if echo := r.Header.Get(echoHeader); echo != "" {
			w.Header().Set(echoHeader, r.RequestURI+" "+echo)
		}
		// An error means that the caller closed the connection, which is not a fault
		// of the instance.
		_, _ = io.WriteString(w, text)
	}
}

// identityHeaders returns the header lines that name the attempt and sign the
// answer.
func (i *Instance) identityHeaders(attempt string) string {
	return fmt.Sprintf("X-Cassiarack-Attempt-Id: %s\r\nX-Cassiarack-Response-Signature: %s\r\n", attempt, i.ID)
}

// completeAnswer returns the answer to an attempt with its status line and headers.
func (i *Instance) completeAnswer(attempt string) string {
	text := attemptBody(attempt)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", i.identityHeaders(attempt), len(text), text)
}

// sendEndless takes over the connection of a request and writes first, and then
// more bytes until the sidecar closes the connection or endlessTime has passed.
func sendEndless(w http.ResponseWriter, first string) {
	c := hijack(w)
	if c == nil {
		return
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(endlessTime)); err != nil {
		return
	}
	more := strings.Repeat("x", endlessChunk)
	_, err := io.WriteString(c, first)
	for err == nil {
		_, err = io.WriteString(c, more)
	}
}

// hijack takes over the connection of a request. It returns nil if the connection
// has ended.
func hijack(w http.ResponseWriter) net.Conn {
	h, ok := w.(http.Hijacker)
	if !ok {
		panic("mesh: the server cannot hijack connections")
	}
	c, _, err := h.Hijack()
	if err != nil {
		return nil
	}
	return c
}

// sendRaw takes over the connection of a request, writes first to it and closes it.
// If second is not empty, it writes that after the delay, and closes the connection
// extraLinger later.
func sendRaw(w http.ResponseWriter, first, second string, delay time.Duration) {
	c := hijack(w)
	if c == nil {
		return
	}
	defer c.Close()
	if _, err := io.WriteString(c, first); err != nil || second == "" {
		return
	}
	time.Sleep(delay)
	// The sidecar may have closed the connection after the first answer.
	_, _ = io.WriteString(c, second)
	// A faulty sidecar that reuses the connection meanwhile takes the second answer
	// as the answer to its next request.
	time.Sleep(extraLinger)
}

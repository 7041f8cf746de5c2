package proof

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassiarack.example/standin/fleet"
)

const (
	// callerCount keep requests in flight all the time.
	callerCount = 24
	// thinkTime is the wait of a caller between two requests.
	thinkTime = 20 * time.Millisecond
	// maxLeavingDelay is the time after which a leaving backend server must not get
	// new work; the brief says a few seconds.
	maxLeavingDelay = 5 * time.Second
	// maxConnectAttempts bounds the nodes that a caller tries to connect to.
	maxConnectAttempts = 20
)

// loadGenerator keeps callers busy on all nodes. A connection that was refused before a
// request was sent is tried at another node; anything else that is not the whole
// answer is a fault.
type loadGenerator struct {
	f       *fleet.Fleet
	client  *http.Client
	stop    context.CancelFunc
	callers sync.WaitGroup
	sent    atomic.Int64
	refused atomic.Int64

	mu       sync.Mutex
	failures []string
}

func startLoad(ctx context.Context, f *fleet.Fleet) *loadGenerator {
	ctx, cancel := context.WithCancel(ctx)
	l := &loadGenerator{f: f, stop: cancel, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callerCount}}}
	for range callerCount {
		l.callers.Go(func() {
			for ctx.Err() == nil {
				l.sendOne(context.WithoutCancel(ctx))
				time.Sleep(thinkTime)
			}
		})
	}
	return l
}

// finish stops the callers and returns the faults.
func (l *loadGenerator) finish() []string {
	l.stop()
	l.callers.Wait()
	return l.failures
}

func (l *loadGenerator) sendOne(ctx context.Context) {
	method := []string{http.MethodGet, http.MethodPost}[rand.IntN(2)]
	id := method + "-" + strconv.FormatInt(l.sent.Add(1), 10)
	path := []string{"/orders/x", "/stock/x"}[rand.IntN(2)]
	for range maxConnectAttempts {
		v := l.f.VMs[rand.IntN(len(l.f.VMs))]
		out, err := sendRequest(ctx, l.client, method, "http://"+v.CallerAddress.String()+path, id, "20s")
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			l.refused.Add(1)
			continue
		case err != nil:
			l.addFailure("%s %s at %s: %v", method, id, v.Name, err)
		case out.outcome != "complete":
			l.addFailure("%s %s at %s: %s, %s after %v", method, id, v.Name, out.outcome, out.reason, out.took)
		}
		return
	}
	l.addFailure("%s %s: no node accepts a connection", method, id)
}

func (l *loadGenerator) addFailure(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// TestRollingStops guards against planned stops that cut off or fail requests:
// under constant load each VM in turn is stopped, the first by a stop of its
// node and a restart, the next by a rule that marks its backend server as
// leaving, and so on.
func TestRollingStops(t *testing.T) { rollingStops(t, len(smallDeployment.DataCentres)*2) }

// TestManyStops does the same for 200 stops. It takes about 20 minutes, so it
// runs only when CASSIARACK_LONG is set.
func TestManyStops(t *testing.T) {
	if os.Getenv("CASSIARACK_LONG") == "" {
		t.Skip("long run: set CASSIARACK_LONG=1")
	}
	rollingStops(t, 200)
}

func rollingStops(t *testing.T, stops int) {
	is := is.New(t)
	f := startDeployment(t, smallDeployment, "")
	l := startLoad(t.Context(), f)
	// A stop that fails the test ends it here; the faults are listed all the same.
	defer func() {
		for _, x := range l.finish() {
			t.Log(x)
		}
	}()
	for i := range stops {
		v := f.VMs[(i+i/len(f.VMs))%len(f.VMs)]
		if i%2 == 0 {
			restartNode(t, f, v)
		} else {
			markLeaving(t, f, v)
		}
	}
	faults := l.finish()
	t.Logf("%d stops, %d requests, %d refused connections", stops, l.sent.Load(), l.refused.Load())
	is.Equal(len(faults), 0)
	for id, n := range executions(f) {
		if n > 1 && strings.HasPrefix(id, http.MethodPost) {
			t.Errorf("non-idempotent request %s ran %d times", id, n)
		}
	}
}

func restartNode(t *testing.T, f *fleet.Fleet, v *fleet.VM) {
	t.Helper()
	began := time.Now()
	if err := v.StopNode(); err != nil {
		t.Fatal(err)
	}
	took := time.Since(began)
	if err := f.StartNode(v); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), stateTimeout)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	t.Logf("node %s stopped in %v", v.Name, took)
}

// markLeaving marks a backend server as leaving, waits until it has no work
// left, checks that none comes, and lets it return.
func markLeaving(t *testing.T, f *fleet.Fleet, v *fleet.VM) {
	t.Helper()
	rule := fmt.Appendf(nil, `{"leaving": [{"instance": %q}]}`, v.Name)
	awaitRevision(t, f, f.Publish(rule))
	time.Sleep(maxLeavingDelay)
	before := executionCount(v)
	time.Sleep(time.Second)
	if n := executionCount(v) - before; n != 0 {
		t.Errorf("leaving backend server %s got %d requests", v.Name, n)
	}
	awaitRevision(t, f, f.Publish(nil))
	began := time.Now()
	waitUntil(t, "a request at "+v.Name, func() bool { return executionCount(v) > before })
	t.Logf("backend server %s left and returned after %v", v.Name, time.Since(began))
}

func executionCount(v *fleet.VM) int {
	n := 0
	for _, k := range v.Server.Executions() {
		n += k
	}
	return n
}

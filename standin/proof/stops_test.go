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
	// callerCount is the number of callers that send requests all the time.
	callerCount = 24
	// thinkTime is the pause of a caller between two requests.
	thinkTime = 20 * time.Millisecond
	// maxLeavingDelay is the time after which a leaving backend server must get no
	// new requests. The requirement is a few seconds.
	maxLeavingDelay = 5 * time.Second
	// maxConnectAttempts limits the attempts of a caller to connect to a node.
	maxConnectAttempts = 20
)

// loadGenerator sends requests to all nodes. If a connection is refused, so that no
// request was sent, it tries another node. Any other result than a complete
// response is recorded as a failure.
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

// startLoad starts the callers.
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

// finish stops the callers, waits for their last requests and returns the failures.
func (l *loadGenerator) finish() []string {
	l.stop()
	l.callers.Wait()
	return l.failures
}

// sendOne sends a random request to a random node.
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

// TestRollingStops guards against planned stops that interrupt or fail requests.
// Under constant load it stops the VMs in turn, alternately by a restart of the
// node and by a rule that marks the backend server as leaving.
func TestRollingStops(t *testing.T) { rollingStops(t, len(smallDeployment.DataCentres)*2) }

// TestManyStops does the same as TestRollingStops for 200 stops. It takes about 20
// minutes and runs only if CASSIARACK_LONG is set.
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
	// The failures are listed also if a failed stop ends the test early.
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
	failures := l.finish()
	t.Logf("%d stops, %d requests, %d refused connections", stops, l.sent.Load(), l.refused.Load())
	is.Equal(len(failures), 0)
	for id, n := range executions(f) {
		if n > 1 && strings.HasPrefix(id, http.MethodPost) {
			t.Errorf("non-idempotent request %s ran %d times", id, n)
		}
	}
}

// restartNode stops a node gracefully, starts it again and waits until all nodes
// are ready.
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

// markLeaving marks a backend server as leaving and checks that it gets no requests
// after maxLeavingDelay. It then removes the mark and waits until the server gets
// requests again.
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

// executionCount returns the number of executions at a VM's backend server.
func executionCount(v *fleet.VM) int {
	n := 0
	for _, k := range v.Server.Executions() {
		n += k
	}
	return n
}

package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassiarack.example/standin/backend"
	"cassiarack.example/standin/fleet"
)

// stateTimeout limits the wait for a state of the fleet.
const stateTimeout = time.Minute

// callerResult is the result of a request as its caller sees it.
type callerResult struct {
	id      string
	outcome string
	reason  string
	took    time.Duration
}

// sendRequest sends a request and reads the response. It returns an error for a
// response that is truncated, that belongs to another request, or that is neither
// complete nor a JSON problem document.
func sendRequest(ctx context.Context, client *http.Client, method, url, id, timeout string) (callerResult, error) {
	body := []byte("body of " + id)
	if method == http.MethodGet {
		body = nil
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return callerResult{}, err
	}
	req.Header.Set(backend.HeaderRequest, id)
	req.Header.Set("Cassiarack-Timeout", timeout)
	began := time.Now()
	res, err := client.Do(req)
	if err != nil {
		return callerResult{}, err
	}
	defer res.Body.Close()
	got, err := io.ReadAll(res.Body)
	if err != nil {
		return callerResult{}, fmt.Errorf("request %s: %w", id, err)
	}
	out := callerResult{id: id, outcome: res.Header.Get("Cassiarack-Outcome"), took: time.Since(began)}
	if out.outcome == "complete" {
		if res.StatusCode != http.StatusOK || !bytes.Equal(got, body) || res.Header.Get(backend.HeaderRequest) != id {
			return callerResult{}, fmt.Errorf("request %s: status %d, answer %q of %q", id, res.StatusCode, got,
				res.Header.Get(backend.HeaderRequest))
		}
		return out, nil
	}
	var problem struct{ Reason string }
	if err := json.Unmarshal(got, &problem); err != nil {
		return callerResult{}, fmt.Errorf("request %s: %w: %q", id, err, got)
	}
	out.reason = problem.Reason
	return out, nil
}

// sendConcurrently sends n requests at once, with the nodes as entry nodes in
// turn, and returns their results.
func sendConcurrently(t *testing.T, f *fleet.Fleet, client *http.Client, n int, name, timeout string) []callerResult {
	t.Helper()
	out := make([]callerResult, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			entry := f.VMs[i%len(f.VMs)]
			url := fmt.Sprintf("http://%v/orders/accept", entry.CallerAddress)
			var err error
			if out[i], err = sendRequest(t.Context(), client, http.MethodPost, url, fmt.Sprintf("%s-%d", name, i), timeout); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	return out
}

// TestBurst guards against three faults in a burst far above the capacity: an
// outcome that does not match what ran, such as a false refusal; a backend server
// that runs more requests at once than it has slots; and a fleet that keeps
// refusing afterwards.
func TestBurst(t *testing.T) {
	is := is.New(t)
	const slots, requests = 3, 1200
	d := fleet.Deployment{
		Name: "burst", Region: "north", DataCentres: []string{"north-1", "north-2", "north-3"},
		Services: []fleet.Service{{Name: "orders", Instances: 3, Slots: slots, Connections: 400,
			ServiceTime: 20 * time.Millisecond}},
	}
	f := startDeployment(t, d, "")
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: requests}}
	defer client.CloseIdleConnections()
	results := sendConcurrently(t, f, client, requests, "burst", "1m")
	runs := executions(f)
	answered, refused := 0, []time.Duration{}
	reasons := make(map[string]int)
	for _, c := range results {
		switch {
		case c.outcome == "complete" && runs[c.id] == 1:
			answered++
		case c.outcome == "not-run" && runs[c.id] == 0:
			refused = append(refused, c.took)
			reasons[c.reason]++
		default:
			t.Errorf("request %s: outcome %q (%s), ran %d times", c.id, c.outcome, c.reason, runs[c.id])
		}
	}
	for _, v := range f.VMs {
		if p := v.Server.PeakInFlight(); p > slots {
			t.Errorf("%s ran %d requests at once on %d slots", v.Name, p, slots)
		}
	}
	is.True(answered > 0)     // the burst must be served as far as capacity allows
	is.True(len(refused) > 0) // the burst must exceed the capacity
	slices.Sort(refused)
	t.Logf("%d answered, %d refused %v, refusals p50 %v p99 %v", answered, len(refused), reasons,
		refused[len(refused)/2], refused[len(refused)*99/100])
	// The refusals must not wait for the deadline of a minute.
	is.True(refused[len(refused)-1] < stateTimeout/2)
	checkServing(t, f, client)
}

// checkServing waits until a request succeeds at each entry node. It then checks
// that load below the capacity gets no refusals.
func checkServing(t *testing.T, f *fleet.Fleet, client *http.Client) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), stateTimeout)
	defer cancel()
	began, refusals := time.Now(), 0
	for _, v := range f.VMs {
		for n := 0; ; n++ {
			url := fmt.Sprintf("http://%v/orders/accept", v.CallerAddress)
			c, err := sendRequest(ctx, client, http.MethodPost, url, fmt.Sprintf("after-%s-%d", v.Name, n), "1m")
			if err != nil {
				t.Fatal(err)
			}
			if c.outcome == "complete" {
				break
			}
			refusals++
		}
	}
	t.Logf("all entries serve %v after the burst, %d refusals", time.Since(began), refusals)
	for round := range 20 {
		for _, c := range sendConcurrently(t, f, client, len(f.VMs), fmt.Sprint("normal-", round), "1m") {
			if c.outcome != "complete" {
				t.Errorf("request %s: %s (%s) below capacity", c.id, c.outcome, c.reason)
			}
		}
	}
}

// TestHedge guards against a hedge that delivers the slower copy, keeps its slot
// occupied, or runs non-idempotent work twice. One of three backend servers does
// not answer.
func TestHedge(t *testing.T) {
	is := is.New(t)
	f := startDeployment(t, smallDeployment, "")
	client := &http.Client{}
	defer client.CloseIdleConnections()
	entry := f.VMs[0]
	get := func(id string) callerResult {
		c, err := sendRequest(t.Context(), client, http.MethodGet, fmt.Sprintf("http://%v/orders/list", entry.CallerAddress), id, "10s")
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	hanging := f.VMs[0]
	hedged := 0
	for round := 0; hedged < 3; round++ {
		// The entry node learns the baseline run time and fills its hedging
		// budget.
		hanging.Server.SetFault(backend.Fault{})
		for i := range 100 {
			is.Equal(get(fmt.Sprintf("warm-%d-%d", round, i)).outcome, "complete")
		}
		hanging.Server.SetFault(backend.Fault{HangShare: 1})
		id := fmt.Sprint("hedged-", round)
		c := get(id)
		runs := executions(f)[id]
		t.Logf("%s: %s, %s, ran %d times", id, c.outcome, c.reason, runs)
		switch {
		case c.outcome == "complete":
			is.True(runs == 1 || runs == 2)
			hedged += runs - 1
		case c.outcome == "unknown" && c.reason == "deadline":
			// There was no budget for a hedge, or a busy machine kept the hedge
			// from finishing before the deadline.
		default:
			t.Errorf("%s: %s, %s", id, c.outcome, c.reason)
		}
		is.True(round < 100) // the hanging server must have been chosen
	}
	waitIdle(t, hanging)
}

// waitIdle waits until the node reports no running or waiting requests at its
// instances.
func waitIdle(t *testing.T, v *fleet.VM) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), stateTimeout)
	defer cancel()
	var last []instanceOccupancy
	for {
		state, err := readOccupancy(ctx, v)
		if err != nil {
			t.Fatalf("%s is not idle: %v; last seen %+v", v.Name, err, last)
		}
		last = state
		if !slices.ContainsFunc(state, func(i instanceOccupancy) bool { return i.Running+i.Waiting > 0 }) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// instanceOccupancy holds the numbers of requests at an instance, from the node's
// state.
type instanceOccupancy struct {
	Running, Waiting int
}

// readOccupancy returns the occupancy of a node's instances.
func readOccupancy(ctx context.Context, v *fleet.VM) ([]instanceOccupancy, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%v/state", v.AdminAddress), nil)
	if err != nil {
		return nil, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	var state struct{ Instances []instanceOccupancy }
	if err := json.NewDecoder(res.Body).Decode(&state); err != nil {
		return nil, err
	}
	if len(state.Instances) == 0 {
		return nil, errors.New("no instances in the state")
	}
	return state.Instances, nil
}

// TestCancelledFreesSlots guards against slots that stay occupied when callers
// cancel requests that wait, are granted or run.
func TestCancelledFreesSlots(t *testing.T) {
	f := startDeployment(t, smallDeployment, "")
	const requests, workers = 1500, 30
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
	defer client.CloseIdleConnections()
	next := make(chan int)
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for i := range next {
				// Timeouts below and above the run time cancel requests in each of
				// their states.
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i%10)*time.Millisecond)
				method := []string{http.MethodGet, http.MethodPost}[i%2]
				url := fmt.Sprintf("http://%v/orders/list", f.VMs[i%len(f.VMs)].CallerAddress)
				// An error is expected, as the caller cancels the request.
				_, _ = sendRequest(ctx, client, method, url, fmt.Sprint("cancelled-", i), "1s")
				cancel()
			}
		})
	}
	for i := range requests {
		next <- i
	}
	close(next)
	wg.Wait()
	for _, v := range f.VMs[:3] {
		waitIdle(t, v)
	}
	checkServing(t, f, client)
}

package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"cassiarack.example/lib/ring"
	"cassiarack.example/standin/backend"
	"cassiarack.example/standin/fleet"
)

const (
	// workers limits the requests in flight, and also the due requests that wait for
	// a worker. A request that is due while the queue is full counts as not sent, as
	// the load generator itself is then the bottleneck.
	workers = 1500
	// resultRingSize limits the results that wait for the recorder.
	resultRingSize = 4096
	// headerWork is the header that asks the stand-in for a service time.
	headerWork = backend.HeaderWork
)

// Runner sends the requests of a plan to a fleet.
type Runner struct {
	Fleet *fleet.Fleet
	Plan  Plan
	// Progress, if set, is called about once a second with the time since the start,
	// the number of requests that ended, and how many of them were answered in time.
	Progress func(elapsed time.Duration, ended, inTime int)

	client      *http.Client
	dueRequests *ring.Ring[arrival]
	results     *ring.Ring[result]
	begin       time.Time
}

// Run sends the requests of the plan, waits for their results and returns a
// report. It ends early when ctx is done.
func (r *Runner) Run(ctx context.Context) *Report {
	r.client = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: workers,
		DisableCompression:  true,
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	defer r.client.CloseIdleConnections()
	r.dueRequests = ring.New[arrival](workers)
	r.results = ring.New[result](resultRingSize)
	r.begin = time.Now()
	rec := newRecorder(&r.Plan)
	recorded := make(chan struct{})
	go r.recordResults(rec, recorded)
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() { r.sendDueRequests(ctx) })
	}
	events, stop := context.WithCancel(ctx)
	wg.Go(func() { r.applyEvents(events) })
	r.schedule(ctx, rec)
	r.dueRequests.Close()
	stop()
	wg.Wait()
	r.results.Close()
	<-recorded
	return rec.report(r.Fleet)
}

// schedule passes each request to the workers when it is due.
func (r *Runner) schedule(ctx context.Context, rec *recorder) {
	t := time.NewTimer(0)
	defer t.Stop()
	for a := range r.Plan.arrivals {
		if wait := time.Until(r.begin.Add(a.due)); wait > 0 {
			t.Reset(wait)
			select {
			case <-t.C:
			case <-ctx.Done():
				return
			}
		}
		if err := r.dueRequests.Offer(a); err != nil {
			rec.notSent.Add(1)
		}
	}
}

// applyEvents applies the events of the plan at their times.
func (r *Runner) applyEvents(ctx context.Context) {
	servers := make(map[string]*backend.Server)
	for _, v := range r.Fleet.VMs {
		servers[v.Name] = v.Server
	}
	for _, e := range r.Plan.Events {
		t := time.NewTimer(time.Until(r.begin.Add(e.At)))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
		if s := servers[e.Instance]; s != nil {
			s.SetFault(e.Fault)
		}
	}
}

// recordResults passes the results to the recorder, which it alone uses, and
// reports the progress. It closes done when all results are recorded.
func (r *Runner) recordResults(rec *recorder, done chan<- struct{}) {
	defer close(done)
	next := time.Second
	for {
		res, err := r.results.Take(context.Background())
		if err != nil {
			return
		}
		rec.add(res)
		if elapsed := time.Since(r.begin); r.Progress != nil && elapsed >= next {
			next = elapsed.Truncate(time.Second) + time.Second
			r.Progress(elapsed, rec.total, rec.useful)
		}
	}
}

// sendDueRequests runs in each worker. It sends due requests one at a time and
// queues their results for the recorder.
func (r *Runner) sendDueRequests(ctx context.Context) {
	for {
		a, err := r.dueRequests.Take(ctx)
		if err != nil {
			return
		}
		res := r.send(ctx, a)
		if err := r.results.Put(context.Background(), res); err != nil {
			return
		}
	}
}

// target returns the address and the path of a request: the callers' port of each
// VM in turn or, for a direct request, each backend server of the service in turn.
func (r *Runner) target(a arrival) (netip.AddrPort, string) {
	path := "/" + a.kind.Service + "/" + a.kind.Path
	if !a.direct {
		return r.Fleet.VMs[a.number%len(r.Fleet.VMs)].CallerAddress, path
	}
	var vms []*fleet.VM
	for _, v := range r.Fleet.VMs {
		if v.Service.Name == a.kind.Service {
			vms = append(vms, v)
		}
	}
	return vms[a.number%len(vms)].BackendAddress, path
}

// requestID returns the identifier under which the stand-ins count a request.
func (r *Runner) requestID(a arrival) string { return fmt.Sprintf("%d-%d", r.Plan.Seed, a.number) }

// send sends one request, waits for the answer and checks that it belongs to the
// request.
func (r *Runner) send(ctx context.Context, a arrival) result {
	res := result{arrival: a, id: r.requestID(a)}
	ctx, cancel := context.WithDeadline(ctx, r.begin.Add(a.due+r.Plan.Timeout+callerGrace))
	defer cancel()
	addr, path := r.target(a)
	body := bytes.Repeat([]byte(res.id+";"), a.kind.Body/(len(res.id)+1)+1)[:a.kind.Body]
	req, err := http.NewRequestWithContext(ctx, a.kind.Method, "http://"+addr.String()+path, bytes.NewReader(body))
	if err != nil {
		res.err = err
		return res
	}
	r.setHeader(req, a, res.id)
	answer, err := r.client.Do(req)
	if err != nil {
		res.err, res.latency = err, time.Since(r.begin.Add(a.due))
		return res
	}
	defer answer.Body.Close()
	got, err := io.ReadAll(answer.Body)
	res.latency = time.Since(r.begin.Add(a.due))
	res.status, res.outcome, res.err = answer.StatusCode, answer.Header.Get("Cassiarack-Outcome"), err
	res.instance = answer.Header.Get("X-Served-By")
	if err == nil && answer.StatusCode == http.StatusOK {
		res.mismatched = answer.Header.Get(backend.HeaderRequest) != res.id || !bytes.Equal(got, body)
	}
	return res
}

// callerGrace is how long a caller waits beyond the deadline for the fleet to
// report the outcome.
const callerGrace = 500 * time.Millisecond

func (r *Runner) setHeader(req *http.Request, a arrival, id string) {
	h := req.Header
	h.Set(backend.HeaderRequest, id)
	h.Set("Cassiarack-Timeout", max(time.Until(r.begin.Add(a.due+r.Plan.Timeout)), time.Millisecond).String())
	if a.organisation != "" {
		h.Set("Cassiarack-Organisation", a.organisation)
	}
	if a.kind.Keyed {
		h.Set("Idempotency-Key", id)
	}
	if a.kind.Work > 0 {
		h.Set(headerWork, a.kind.Work.String())
	}
}

package relay

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"cassiarack.example/lib/decision/retry"
	"cassiarack.example/lib/decision/roster"
	"cassiarack.example/lib/decision/routing"
	"cassiarack.example/lib/ring"
	"cassiarack.example/lib/wire"
	"cassiarack.example/sidecar/gate"
	"cassiarack.example/sidecar/journal"
	"cassiarack.example/sidecar/memory"
	"cassiarack.example/sidecar/message"
	"cassiarack.example/sidecar/publication"
)

// fakeFleet implements Gates and Publication for a service with three instances.
type fakeFleet struct {
	state *publication.State
	// reply returns the reply to an offer. sent lists the instances that got an
	// offer, in order.
	reply func(instance string) (*wire.RunReply, error)
	sent  []string
}

func (f *fakeFleet) State() *publication.State { return f.state }

func (f *fakeFleet) Offer(_ context.Context, _ netip.Addr, r *wire.RunRequest, _ *memory.Hold) (*wire.RunReply, error) {
	f.sent = append(f.sent, r.GetInstance())
	return f.reply(r.GetInstance())
}

func start(t *testing.T, reply func(instance string) (*wire.RunReply, error)) (*Service, *fakeFleet) {
	t.Helper()
	f := &fakeFleet{reply: reply, state: &publication.State{Instances: map[string]roster.Instance{},
		Services: map[string][]roster.Instance{}, Table: routing.Compile(&routing.Configuration{})}}
	for n, id := range []string{"a", "b", "c"} {
		i := roster.Instance{ID: id, Service: "s", Slots: 3,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n + 1)}), 80)}
		f.state.Instances[id] = i
		f.state.Services["s"] = append(f.state.Services["s"], i)
	}
	s := &Service{RepeatRatio: 0.2, RepeatSlack: 64, RepeatWindow: 10 * time.Second, Scope: tally.NoopScope,
		Random: rand.New(rand.NewPCG(1, 1)), Log: log.New(io.Discard), publication: f, gates: f,
		journal: journal.New(io.Discard, log.InfoLevel), commands: ring.New[func(time.Time)](commandCapacity),
		instances: map[string]*instanceState{}, budgets: map[string]*retry.WindowBudget{},
		requestDurations: tally.NoopScope.Histogram("x", tally.DefaultBuckets)}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s, f
}

func request(idempotent bool) *message.Request {
	now := time.Now()
	return &message.Request{Attempt: "1", Method: "GET", Target: "/", Service: "s", Received: now,
		Deadline: now.Add(time.Second), TargetTime: now.Add(time.Second),
		Route: &routing.Route{Name: "r", Idempotent: idempotent, Attempts: 2}}
}

func reply(outcome wire.RunOutcome, status int32, reason string) *wire.RunReply {
	return &wire.RunReply{Outcome: outcome, Status: status, Reason: reason}
}

// TestOutcomes guards against a second run of a request that is not idempotent,
// against more attempts than the route allows, and against an answer that says
// that a request did not run although it may have run.
func TestOutcomes(t *testing.T) {
	const (
		answered = wire.RunOutcome_RUN_OUTCOME_ANSWERED
		refused  = wire.RunOutcome_RUN_OUTCOME_REFUSED
		unknown  = wire.RunOutcome_RUN_OUTCOME_UNKNOWN
	)
	cases := []struct {
		name       string
		idempotent bool
		reply      *wire.RunReply
		err        error
		status     int
		// offers is the expected number of offers; 0 skips the check.
		offers int
	}{
		{"answer", false, reply(answered, 200, ""), nil, 200, 1},
		{"failure runs once", false, reply(answered, 500, ""), nil, 500, 1},
		{"failure is repeated", true, reply(answered, 500, ""), nil, 500, 2},
		{"lost answer runs once", false, reply(unknown, 0, "lost"), nil, http.StatusBadGateway, 1},
		{"lost answer is repeated", true, reply(unknown, 0, "lost"), nil, http.StatusBadGateway, 2},
		{"lost reply runs once", false, nil, io.ErrUnexpectedEOF, http.StatusBadGateway, 1},
		{"lost reply is repeated", true, nil, io.ErrUnexpectedEOF, http.StatusBadGateway, 2},
		{"gates are full", false, reply(refused, 0, "full"), nil, http.StatusServiceUnavailable, 0},
		{"no time is left at the gate", false, reply(refused, 0, "expired"), nil, http.StatusServiceUnavailable, 1},
		{"instances refuse", false, reply(refused, 503, gate.ReasonInstance), nil, http.StatusServiceUnavailable, 3},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s, f := start(t, func(string) (*wire.RunReply, error) { return tc.reply, tc.err })
			a := s.Serve(t.Context(), request(tc.idempotent))
			is.Equal(a.Status, tc.status)
			if tc.offers > 0 {
				is.Equal(len(f.sent), tc.offers)
			}
			if tc.status == http.StatusServiceUnavailable {
				is.True(a.Header.Get("Retry-After") != "") // a refusal says when the client may try again
				is.True(strings.HasPrefix(string(a.Body), "not run: "))
			}
		})
	}
}

// TestSecondInstance guards against a repeat at the instance that has just failed,
// and against a relay that ignores the failure estimate in a reply.
func TestSecondInstance(t *testing.T) {
	is := is.New(t)
	first := ""
	s, f := start(t, func(id string) (*wire.RunReply, error) {
		if first == "" {
			first = id
		}
		if id != first {
			return reply(wire.RunOutcome_RUN_OUTCOME_ANSWERED, 200, ""), nil
		}
		r := reply(wire.RunOutcome_RUN_OUTCOME_ANSWERED, 500, "")
		r.Condition = &wire.Condition{Instance: id, FailingPermille: 900, Slots: 3, Sequence: 1}
		return r, nil
	})
	is.Equal(s.Serve(t.Context(), request(true)).Status, 200)
	is.Equal(len(f.sent), 2)
	for range 10 {
		is.Equal(s.Serve(t.Context(), request(false)).Status, 200)
	}
	for _, id := range f.sent[1:] {
		is.True(id != first) // the other instances are less likely to fail
	}
}

// TestInstanceRefusesOnce guards against a second offer of a request to an instance
// that refused it: a faulty instance could write its first refusal once more on the
// kept connection while it runs the request, and the client would be told that the
// request was not run.
func TestInstanceRefusesOnce(t *testing.T) {
	is := is.New(t)
	refusing := ""
	s, f := start(t, func(id string) (*wire.RunReply, error) {
		if refusing == "" {
			refusing = id
		}
		if id == refusing {
			return reply(wire.RunOutcome_RUN_OUTCOME_REFUSED, 503, gate.ReasonInstance), nil
		}
		return reply(wire.RunOutcome_RUN_OUTCOME_REFUSED, 0, "full"), nil
	})
	is.Equal(s.Serve(t.Context(), request(false)).Status, http.StatusServiceUnavailable)
	offers := 0
	for _, id := range f.sent {
		if id == refusing {
			offers++
		}
	}
	is.Equal(offers, 1)
}

// changingPublication returns its states one after another, then the last one.
type changingPublication struct{ states []*publication.State }

func (c *changingPublication) State() *publication.State {
	st := c.states[0]
	if len(c.states) > 1 {
		c.states = c.states[1:]
	}
	return st
}

// TestInstanceRemovedDuringPlacement guards against a process that ends by itself: the
// published state changed while a request was placed, and the chosen instance,
// which the new state lacked, had lost its state when it was counted.
func TestInstanceRemovedDuringPlacement(t *testing.T) {
	is := is.New(t)
	s, f := start(t, nil)
	a, b := f.state.Instances["a"], f.state.Instances["b"]
	b.Draining = true
	s.stateOf(f.state, a)
	s.publication = &changingPublication{states: []*publication.State{
		{Table: f.state.Table, Services: map[string][]roster.Instance{"s": {a, b}}, Instances: map[string]roster.Instance{"a": a, "b": b}},
		{Table: f.state.Table, Services: map[string][]roster.Instance{"s": {b}}, Instances: map[string]roster.Instance{"b": b}},
	}}
	chosen, ok := s.place(time.Now(), request(true), nil, false)
	is.True(ok)
	is.Equal(chosen.ID, "a")
}

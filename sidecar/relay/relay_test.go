package relay

import (
	"context"
	"fmt"
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

	"cassiarack.example/lib/decision/admission"
	"cassiarack.example/lib/decision/organisation"
	"cassiarack.example/lib/decision/retry"
	"cassiarack.example/lib/decision/roster"
	"cassiarack.example/lib/decision/routing"
	"cassiarack.example/lib/golden"
	"cassiarack.example/lib/ring"
	"cassiarack.example/lib/wire"
	"cassiarack.example/sidecar/gate"
	"cassiarack.example/sidecar/journal"
	"cassiarack.example/sidecar/memory"
	"cassiarack.example/sidecar/message"
	"cassiarack.example/sidecar/publication"
	"cassiarack.example/sidecar/room"
)

// fakeFleet implements Gates and Publication for a service with three instances.
type fakeFleet struct {
	state *publication.State
	// reply returns the reply to an offer. sent lists the instances that got an
	// offer, in order.
	reply func(instance string) (*wire.RunReply, error)
	sent  []string
	// last is the last offer.
	last *wire.RunRequest
}

func (f *fakeFleet) State() *publication.State { return f.state }

func (f *fakeFleet) AttachCalls(gate.CallBudget) {}

func (f *fakeFleet) Offer(_ context.Context, _ netip.Addr, r *wire.RunRequest, _ *memory.Hold) (*wire.RunReply, error) {
	f.sent, f.last = append(f.sent, r.GetInstance()), r
	return f.reply(r.GetInstance())
}

// roomy admits all requests.
var roomy room.Service

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
		Random: rand.New(rand.NewPCG(1, 1)), Log: log.New(io.Discard), publication: f, gates: f, ownGate: f, rooms: &roomy,
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

// answerWithFields returns a reply with an answer that has a field of each name.
func answerWithFields(names ...string) *wire.RunReply {
	r := reply(wire.RunOutcome_RUN_OUTCOME_ANSWERED, http.StatusOK, "")
	for _, name := range names {
		r.Headers = append(r.Headers, &wire.HeaderField{Name: []byte(name), Value: []byte("2")})
	}
	return r
}

// TestOutcomes guards against a second run of a request that is not idempotent,
// against more attempts than the route allows, against an answer that says
// that a request did not run although it may have run, and against broken answers
// that another sidecar passes on.
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
		{"answer without a status runs once", false, reply(answered, 0, ""), nil, http.StatusBadGateway, 1},
		{"answer without a status is repeated", true, reply(answered, 0, ""), nil, http.StatusBadGateway, 2},
		{"answer with an invalid status", false, reply(answered, 600, ""), nil, http.StatusBadGateway, 1},
		{"answer with a space in a field name", false, answerWithFields("X Other"), nil, http.StatusBadGateway, 1},
		{"answer with a space behind a field name", false, answerWithFields("Content-Length "), nil, http.StatusBadGateway, 1},
		{"answer with a line feed in a field name", false, answerWithFields("X\nOther"), nil, http.StatusBadGateway, 1},
		{"answer with a field without a name", false, answerWithFields(""), nil, http.StatusBadGateway, 1},
		{"answer with a field", false, answerWithFields("X-Other"), nil, 200, 1},
		{"answer with a field twice", false, answerWithFields("X-Other", "X-Other"), nil, 200, 1},
		{"answer with two identifiers", false, answerWithFields("X-Cassiarack-Attempt-Id", "X-Cassiarack-Attempt-Id"), nil, http.StatusBadGateway, 1},
		{"answer with two signatures", false, answerWithFields("X-Cassiarack-Response-Signature", "x-cassiarack-response-signature"), nil, http.StatusBadGateway, 1},
		{"failure runs once", false, reply(answered, 500, ""), nil, 500, 1},
		{"failure is repeated", true, reply(answered, 500, ""), nil, 500, 2},
		{"lost answer runs once", false, reply(unknown, 0, "lost"), nil, http.StatusBadGateway, 1},
		{"lost answer is repeated", true, reply(unknown, 0, "lost"), nil, http.StatusBadGateway, 2},
		{"lost reply runs once", false, nil, io.ErrUnexpectedEOF, http.StatusBadGateway, 1},
		{"lost reply is repeated", true, nil, io.ErrUnexpectedEOF, http.StatusBadGateway, 2},
		{"gates are full", false, reply(refused, 0, "full"), nil, http.StatusServiceUnavailable, 0},
		{"displaced at all gates", false, reply(refused, 0, "displaced"), nil, http.StatusServiceUnavailable, 9},
		{"no time is left at the gate", false, reply(refused, 0, "expired"), nil, http.StatusServiceUnavailable, 1},
		{"a refusal with the status of a success", false, reply(refused, 200, gate.ReasonInstance), nil, http.StatusBadGateway, 1},
		{"a refusal with the status of a failure", false, reply(refused, 500, gate.ReasonInstance), nil, http.StatusBadGateway, 1},
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

// TestCallsOfRepeats guards against calls of repeated runs that do not count for the
// budget: they are repeats at the service that they call. It also guards against calls
// that stay counted for a run that did not take place.
func TestCallsOfRepeats(t *testing.T) {
	is := is.New(t)
	s, _ := start(t, func(string) (*wire.RunReply, error) {
		return reply(wire.RunOutcome_RUN_OUTCOME_ANSWERED, 200, ""), nil
	})
	s.RepeatRatio, s.RepeatSlack = 0, 16/repeatBudgetShare
	s.OwnService = "own"
	c := callBudget{s}
	remaining := func() (left float64) {
		is.NoErr(s.runAndWait(t.Context(), func(now time.Time) { left = s.budget("s").Remaining(now, s.slack()) }))
		return left
	}
	reserve := func(callFailed bool) (func(), bool) { return c.Reserve(t.Context(), callFailed) }
	_, ok := reserve(true)
	is.True(ok)
	is.Equal(remaining(), 16.0) // nothing is known of calls
	// Every second run makes a call; calls to the own service are none.
	for n := range 40 {
		c.RunStarted()
		if n%2 == 0 {
			s.Serve(t.Context(), request(true))
		}
		own := request(true)
		own.Service = "own"
		s.Serve(t.Context(), own)
		c.RunEnded(true)
	}
	refund, ok := reserve(true)
	is.True(ok)
	is.Equal(remaining(), 15.0) // a run that failed with a call makes at least one
	refund()
	is.Equal(remaining(), 16.0)
	for range 4 {
		_, ok = reserve(false)
		is.True(ok)
	}
	is.Equal(remaining(), 14.0) // on average half a call
	for range 14 {
		_, ok = reserve(true)
		is.True(ok)
	}
	_, ok = reserve(true)
	is.True(!ok)
	is.Equal(remaining(), 0.0)
}

// TestRefusedCalls guards against a request that is offered to all gates although they
// have no budget for its calls, and against offers that do not say that a call failed.
func TestRefusedCalls(t *testing.T) {
	is := is.New(t)
	var first *wire.RunReply
	offers, callFailed := 0, 0
	var f *fakeFleet
	s, f := start(t, func(string) (*wire.RunReply, error) {
		if offers++; offers == 1 {
			return first, nil
		}
		if f.last.GetRepeat() && f.last.GetCallFailed() {
			callFailed++
		}
		return reply(wire.RunOutcome_RUN_OUTCOME_REFUSED, 0, string(admission.ReasonCalls)), nil
	})
	first = reply(wire.RunOutcome_RUN_OUTCOME_ANSWERED, 500, "")
	first.CallFailed = true
	is.Equal(s.Serve(t.Context(), request(true)).Status, 500)
	is.Equal(offers, 1+maxCallsRefused)
	is.Equal(callFailed, maxCallsRefused)

	offers, callFailed = 0, 0
	first = reply(wire.RunOutcome_RUN_OUTCOME_REFUSED, 503, gate.ReasonInstance)
	is.Equal(s.Serve(t.Context(), request(false)).Status, http.StatusServiceUnavailable) // it has not run
	is.Equal(offers, 1+maxCallsRefused)
	is.Equal(callFailed, 0)
}

// TestOrganisation guards against offers that name no organisation, or that count
// requests without one as those of a deployment without organisations.
func TestOrganisation(t *testing.T) {
	var b strings.Builder
	for _, tc := range []struct {
		name             string
		organisation     *organisation.Organisation
		hasOrganisations bool
	}{
		{"no organisations", nil, false},
		{"without an organisation", nil, true},
		{"organisation", &organisation.Organisation{Name: "a", Priority: 3}, true},
	} {
		s, f := start(t, func(string) (*wire.RunReply, error) { return reply(wire.RunOutcome_RUN_OUTCOME_ANSWERED, 200, ""), nil })
		r := request(false)
		r.Organisation, r.HasOrganisations = tc.organisation, tc.hasOrganisations
		s.Serve(t.Context(), r)
		fmt.Fprintf(&b, "%s: name %q, priority %d, without %t\n", tc.name, f.last.GetOrganisation(), f.last.GetOrganisationPriority(),
			f.last.GetWithoutOrganisation())
	}
	golden.Check(t, "organisation", b.String())
}

// TestRepeatShares guards against one organisation that uses up the repeats of the
// sidecar while others need some, and against such a bound where the configuration
// has no organisations.
func TestRepeatShares(t *testing.T) {
	is := is.New(t)
	for _, organisations := range [][]organisation.Organisation{nil, {{Name: "first"}, {Name: "second"}, {Name: "third"}}} {
		s, f := start(t, nil)
		register, err := organisation.NewRegister(nil, organisations)
		is.NoErr(err)
		f.state.Table.Register = register
		now := time.Now()
		s.RepeatRatio, s.RepeatSlack = 0, 120
		allowed := 0
		for n := range 100 {
			r := request(true)
			if len(organisations) > 0 {
				r.Organisation = &organisations[0]
			}
			if n < 2 && len(organisations) > 0 {
				r.Organisation = &organisations[n+1]
			}
			if s.takeRepeat(now, r) {
				allowed++
			}
		}
		// Two thirds of 102 repeats for the first organisation, one for each other.
		is.Equal(allowed, map[bool]int{true: 100, false: 70}[organisations == nil])
	}
}

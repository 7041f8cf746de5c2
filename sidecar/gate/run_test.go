package gate

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/protobuf/proto"

	"cassiarack.example/lib/decision/admission"
	"cassiarack.example/lib/golden"
	"cassiarack.example/lib/ring"
	"cassiarack.example/lib/wire"
	"cassiarack.example/sidecar/backend"
	"cassiarack.example/sidecar/memory"
	"cassiarack.example/sidecar/message"
)

// TestReasonOfOddAnswer guards against a reply that cannot be encoded, or is large,
// because its reason contains what a faulty instance sent: the caller's sidecar
// got no reply, and the outcome and the condition of the instance were lost.
func TestReasonOfOddAnswer(t *testing.T) {
	is := is.New(t)
	odd := errors.New("malformed header line: J\xfbris " + strings.Repeat("\xee", 64<<10))
	r := replyFor(nil, &backend.Error{Op: "read", Kind: backend.KindInvalid, Err: odd})
	text, err := proto.Marshal(r)
	is.NoErr(err)
	is.True(len(text) < 1<<10)
	is.Equal(r.GetOutcome(), wire.RunOutcome_RUN_OUTCOME_UNKNOWN)
}

// TestOutcome guards against a reply that promises that a request did not run
// although the instance did not state so. An instance states it with the header
// X-Cassiarack-Not-Executed.
func TestOutcome(t *testing.T) {
	stated := http.Header{"X-Cassiarack-Not-Executed": {"1"}}
	cases := []struct {
		name   string
		answer *message.Answer
		err    error
	}{
		{"success", &message.Answer{Status: 200}, nil},
		{"failure", &message.Answer{Status: 500}, nil},
		{"deadline", &message.Answer{Status: 504}, nil},
		{"client error", &message.Answer{Status: 404}, nil},
		{"stated refusal", &message.Answer{Status: 503, Header: stated}, nil},
		{"stated failure", &message.Answer{Status: 400, Header: stated}, nil},
		{"other instance", &message.Answer{Status: 421}, nil},
		{"refusal without statement", &message.Answer{Status: 503}, nil},
		{"too many without statement", &message.Answer{Status: 429}, nil},
		{"timeout without statement", &message.Answer{Status: 408}, nil},
		{"not connected", nil, &backend.Error{Op: "connect", Kind: backend.KindConnect, Err: errors.New("refused")}},
		{"lost", nil, &backend.Error{Op: "read", Kind: backend.KindLost, Err: errors.New("end of file")}},
	}
	var b strings.Builder
	for _, tc := range cases {
		r := replyFor(tc.answer, tc.err)
		fmt.Fprintf(&b, "%s: %s, status %d, reason %q\n", tc.name, outcomeNames[r.GetOutcome()], r.GetStatus(), r.GetReason())
	}
	golden.Check(t, "outcome", b.String())
}

// TestAdmissionRequest guards against a gate that orders requests without regard to
// their organisations, or that takes those of an organisation for calls of instances.
func TestAdmissionRequest(t *testing.T) {
	var b strings.Builder
	for _, r := range []*wire.RunRequest{
		{Route: "r", Priority: 2},
		{Route: "r", Priority: 2, Organisation: []byte("a\xfb"), OrganisationPriority: 1},
		{Route: "r", Priority: 2, WithoutOrganisation: true},
		{Route: "r", Priority: 2, Organisation: []byte("a"), WithoutOrganisation: true, Acceptance: wire.Acceptance_ACCEPTANCE_ANY},
	} {
		q := admissionRequest(time.Time{}, &job{request: r})
		fmt.Fprintf(&b, "organisation %q, priorities %d and %d, nested %t, again %t\n", q.Organisation, q.OrganisationPriority,
			q.Priority, q.Nested, q.Again)
	}
	golden.Check(t, "admission", b.String())
}

// TestNoMemoryForAnswer guards against an answer for which this process had no memory
// that counts as a failure of the instance.
func TestNoMemoryForAnswer(t *testing.T) {
	err := &backend.Error{Op: "read", Kind: backend.KindLost, Err: &memory.Error{Op: "read body", Kind: memory.KindExhausted}}
	is.New(t).Equal((&Service{}).evaluate(t.Context(), time.Time{}, nil, err), evidence{})
}

// fakeCalls is a CallBudget with room for a number of runs.
type fakeCalls struct{ room, running, executed int }

func (f *fakeCalls) Reserve(context.Context, bool) (refund func(), ok bool) {
	if f.room == 0 {
		return nil, false
	}
	f.room--
	return func() { f.room++ }, true
}

func (f *fakeCalls) RunStarted() { f.running++ }

func (f *fakeCalls) RunEnded(executed bool) {
	f.running--
	if executed {
		f.executed++
	}
}

// TestCallsReservedFromGrant guards against repeats whose calls are counted only once their
// bodies have arrived, against calls that stay reserved for a run that did not take
// place, and against those of a first run being reserved.
func TestCallsReservedFromGrant(t *testing.T) {
	is := is.New(t)
	calls := &fakeCalls{room: 2}
	s := &Service{commands: ring.New[func(time.Time)](1), calls: calls, Scope: tally.NoopScope}
	s.commands.Close()
	granted := func(repeat bool) *grant {
		g := &grant{service: s, received: time.Now(), span: trace.SpanFromContext(t.Context()),
			job: &job{request: &wire.RunRequest{Repeat: repeat}}}
		is.True(s.reserveCalls(t.Context(), g))
		g.begin()
		return g
	}
	first, withdrawn, expired := granted(false), granted(true), granted(true)
	is.Equal(calls.room, 0)
	is.Equal(calls.running, 3)
	_, refusal := s.Admit(t.Context(), &wire.RunRequest{Repeat: true}, 0)
	is.Equal(refusal.GetReason(), string(admission.ReasonCalls))
	is.Equal(refusal.GetOutcome(), wire.RunOutcome_RUN_OUTCOME_REFUSED)
	withdrawn.Withdraw()
	is.Equal(calls.room, 1)
	_, refusal = s.Admit(t.Context(), &wire.RunRequest{Repeat: true}, 0)
	is.Equal(refusal.GetReason(), string(admission.ReasonFull)) // the ring is closed
	is.Equal(calls.room, 1)
	expired.Run(t.Context(), nil, nil) // its deadline has passed
	is.Equal(calls.room, 2)
	first.end(true)
	is.Equal(calls, &fakeCalls{room: 2, executed: 1})
	is.Equal(s.Running(), 0)
}

// TestCallFailed guards against a failure of the instance itself that is taken for that of
// a call, and against the opposite.
func TestCallFailed(t *testing.T) {
	is := is.New(t)
	s := &Service{}
	now := time.Now()
	failure := &message.Answer{Status: http.StatusInternalServerError}
	is.Equal(s.evaluate(t.Context(), now, failure, nil), evidence{failed: true, weight: 1})
	s.RecordNestedFailure(now.Add(-nestedWindow / 2))
	is.Equal(s.evaluate(t.Context(), now, failure, nil), evidence{failed: true, weight: nestedWeight, callFailed: true})
	is.Equal(s.evaluate(t.Context(), now, &message.Answer{Status: http.StatusOK}, nil), evidence{weight: 1})
	is.Equal(s.evaluate(t.Context(), now.Add(nestedWindow), failure, nil), evidence{failed: true, weight: 1})
}

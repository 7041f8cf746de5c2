package ingress

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"cassiarack.example/lib/decision/organisation"
	"cassiarack.example/lib/golden"
	"cassiarack.example/sidecar/limiter"
	"cassiarack.example/sidecar/message"
)

// recorder implements Limiter, Relay and limiter.Permit. It records the calls.
type recorder struct {
	calls   []string
	refusal *message.Answer
	answer  *message.Answer
}

func (r *recorder) Admit(context.Context, *message.Request) (limiter.Permit, *message.Answer) {
	r.calls = append(r.calls, "admit")
	return r, r.refusal
}

func (r *recorder) Serve(context.Context, *message.Request) *message.Answer {
	r.calls = append(r.calls, "serve")
	return r.answer
}

func (r *recorder) Return() { r.calls = append(r.calls, "return") }

// TestServeWithinLimit guards against requests that run above the limit, credits that are
// lost or returned although the request may have run, and calls of the limiter for
// requests without an organisation.
func TestServeWithinLimit(t *testing.T) {
	var out strings.Builder
	o := &organisation.Organisation{Name: "a", Rate: 1}
	for _, c := range []struct {
		organisation *organisation.Organisation
		refused      bool
		status       int
		own          bool
	}{
		{nil, true, http.StatusOK, false},
		{o, true, http.StatusOK, false},
		{o, false, http.StatusOK, false},
		{o, false, http.StatusServiceUnavailable, true},
		{o, false, http.StatusServiceUnavailable, false},
		{o, false, http.StatusBadGateway, true},
		{o, false, http.StatusGatewayTimeout, true},
	} {
		r := &recorder{answer: &message.Answer{Status: c.status, FromFleet: c.own}}
		if c.refused {
			r.refusal = &message.Answer{Status: http.StatusTooManyRequests, FromFleet: true}
		}
		s := &Service{relay: r, limiter: r}
		a := s.serveWithinLimit(t.Context(), &message.Request{Organisation: c.organisation})
		fmt.Fprintf(&out, "organisation %t, above the limit %t, relay %d of the fleet %t: %v, status %d\n",
			c.organisation != nil, c.refused, c.status, c.own, r.calls, a.Status)
	}
	golden.Check(t, "limit", out.String())
}

package admin

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"cassiarack.example/lib/decision/route"
	"cassiarack.example/lib/service/ejection"
	"cassiarack.example/lib/service/router"
)

// Explanation is the body of /explain: the route of a request, the instances that
// this node may choose for it, and the latest decisions about them.
type Explanation struct {
	Service    string      `json:"service"`
	Prefix     string      `json:"prefix"`
	Idempotent bool        `json:"idempotent"`
	Candidates []Candidate `json:"candidates"`
	Decisions  []Decision  `json:"decisions,omitempty"`
	// Error is the reason why there is no route, or empty.
	Error string `json:"error,omitempty"`
}

// Candidate is an instance that the request may go to. Outstanding counts the
// requests of this node to the instance, and OthersOutstanding those of other
// nodes.
type Candidate struct {
	Instance          string  `json:"instance"`
	DataCentre        string  `json:"dataCentre"`
	Weight            float64 `json:"weight"`
	Outstanding       int     `json:"outstanding"`
	OthersOutstanding int     `json:"others"`
	Reason            string  `json:"reason,omitempty"`
}

// Decision is a recorded verdict of the detector or ejection decision about an
// instance. At is in RFC 3339 format.
type Decision struct {
	At       string `json:"at"`
	Instance string `json:"instance"`
	Text     string `json:"text"`
}

func (s *Service) explain(w http.ResponseWriter, r *http.Request) {
	c := s.config.Current()
	if c == nil {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	rt, err := route.Find(c, r.URL.Query().Get("method"), r.URL.Query().Get("path"))
	if err != nil {
		s.writeJSON(w, Explanation{Error: err.Error()})
		return
	}
	out := Explanation{Service: rt.Service.Name, Prefix: rt.Prefix, Idempotent: rt.Idempotent}
	candidates, err := s.router.Explain(r.Context(), router.Query{Service: rt.Service, Idempotent: rt.Idempotent})
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	for _, x := range candidates {
		out.Candidates = append(out.Candidates, Candidate{Instance: x.Instance, DataCentre: x.DataCentre,
			Weight: x.Weight, Outstanding: x.Outstanding, OthersOutstanding: x.OthersOutstanding})
	}
	out.Decisions = recentDecisions(s.ejection.Decisions(), rt.Service.Name)
	s.writeJSON(w, out)
}

// maxDecisions is the maximum number of decisions in an explanation.
const maxDecisions = 10

// recentDecisions formats the last maxDecisions decisions about the instances of a
// service, the newest first.
func recentDecisions(all []ejection.Decision, service string) []Decision {
	var out []Decision
	for _, d := range slices.Backward(all) {
		if d.Service != service || len(out) == maxDecisions {
			continue
		}
		text := fmt.Sprintf("%s: %s, %d of %d requests bad, score %.2f", d.Kind, d.Cause, d.Bad, d.Samples, d.Score)
		if d.Reason != "" {
			text += "; " + d.Reason
		}
		out = append(out, Decision{At: d.At.Format(time.RFC3339), Instance: d.Instance, Text: text})
	}
	return out
}

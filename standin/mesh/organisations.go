package mesh

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Names of the headers of organisations.
const (
	headerOrganisation = "X-Cassiarack-Tenant"
	headerKey          = "Authorization"
)

// Organisation is an organisation that a mesh publishes.
type Organisation struct {
	Name     string
	Keys     []string
	Priority int
	// Rate, in requests a second, and Burst are the limit. A Rate of zero means none.
	Rate, Burst float64
}

// Publish publishes the next version of the configuration with other organisations. No
// client may run meanwhile.
func (m *Mesh) Publish(list []Organisation) {
	m.Organisations = list
	m.Configure(nil)
}

// organisationsDocument returns the table of organisations in a configuration.
func organisationsDocument(list []Organisation) string {
	rows := make([][]any, 0, len(list))
	for _, o := range list {
		var rate any
		if o.Rate > 0 {
			rate = o.Rate
		}
		rows = append(rows, []any{o.Name, o.Keys, o.Priority, rate, o.Burst, "unused"})
	}
	text, err := json.Marshal(map[string]any{
		"columns": []string{"name", "api_keys", "priority", "rate_per_s", "burst", "contact"}, "rows": rows})
	if err != nil {
		panic(err)
	}
	return string(text)
}

// callerHeaders returns the header lines that a client sends for an attempt: a forged
// name, and a key if there are organisations. The instance must get the name of the
// organisation of the key.
func (m *Mesh) callerHeaders(attempt string) string {
	lines := headerOrganisation + ": forged\r\n"
	if m.accounts != nil {
		c := m.accounts.choose(attempt, time.Now())
		m.Runs.expect(attempt, c.organisation)
		return lines + headerKey + ": Bearer " + c.key + "\r\n"
	}
	if len(m.Organisations) == 0 {
		return lines
	}
	o := m.Organisations[xxhash.Sum64String(attempt)%uint64(len(m.Organisations))]
	m.Runs.expect(attempt, o.Name)
	return lines + headerKey + ": Bearer " + o.Keys[rand.IntN(len(o.Keys))] + "\r\n"
}

// expect records the name of the organisation that an attempt belongs to.
func (r *Runs) expect(attempt, organisation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.organisations[attempt] = organisation
}

// checkCaller records a violation if a request has a key or the name of another
// organisation than that of its attempt.
func (r *Runs) checkCaller(attempt string, h http.Header) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if got, want := h[headerOrganisation], r.organisations[attempt]; want == "" && got != nil || want != "" && (len(got) != 1 || got[0] != want) {
		r.violations = append(r.violations, fmt.Sprintf("organisation: attempt %s of %q has the names %q", attempt, want, got))
	}
	if h[headerKey] != nil {
		r.violations = append(r.violations, fmt.Sprintf("key: attempt %s has a key", attempt))
	}
}

package mesh

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// limitWindow is the window of limits, the sidecars' default.
	limitWindow = 5 * time.Second
	// limitLag is how long all VMs must have been in touch with the store before a lower
	// limit binds.
	limitLag = 2500 * time.Millisecond
	// anyKeyShare is the number of requests of which one has any key of its
	// organisation, including revoked ones.
	anyKeyShare = 6
)

// accounts records the published organisations and the requests of their clients. A nil
// pointer records nothing.
type accounts struct {
	mu       sync.Mutex
	keys     []*publishedKey
	limits   []publishedLimit
	requests map[string]keyedRequest
	// hot is the organisation to which half of the requests belong; empty means none.
	hot string
	// disturbances is the number of faults that may keep a VM from the store, and
	// calmSince when it last became zero. The undisturbed times are in calms.
	disturbances int
	calmSince    time.Time
	calms        []span
}

// span is a length of time.
type span struct{ from, to time.Time }

// publishedKey is a key with the times at which its revocation began and at which the
// store acknowledged that; both are zero while the key is in force.
type publishedKey struct {
	organisation, key string
	revoking, revoked time.Time
}

// publishedLimit is a limit with the time at which its publication began and at which
// the store acknowledged it.
type publishedLimit struct {
	organisation              string
	rate, burst               float64
	published, acknowledgedAt time.Time
}

// keyedRequest is a request with a key.
type keyedRequest struct {
	key  *publishedKey
	sent time.Time
}

// record records organisations whose publication began and ended at the given times.
func (a *accounts) record(list []Organisation, began, ended time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	published := make(map[string]bool)
	for _, o := range list {
		for _, k := range o.Keys {
			published[k] = true
			if !slices.ContainsFunc(a.keys, func(p *publishedKey) bool { return p.key == k }) {
				a.keys = append(a.keys, &publishedKey{organisation: o.Name, key: k})
			}
		}
		if old := a.limitsOf(o.Name); len(old) == 0 || old[len(old)-1].rate != o.Rate || old[len(old)-1].burst != o.Burst {
			a.limits = append(a.limits, publishedLimit{o.Name, o.Rate, o.Burst, began, ended})
		}
	}
	for _, k := range a.keys {
		if k.revoked.IsZero() && !published[k.key] {
			k.revoking, k.revoked = began, ended
		}
	}
}

// limitsOf returns the limits of an organisation in the order of their publication.
func (a *accounts) limitsOf(organisation string) []publishedLimit {
	return slices.DeleteFunc(slices.Clone(a.limits), func(l publishedLimit) bool { return l.organisation != organisation })
}

// choose returns the key that a client sends now with an attempt, and records that.
func (a *accounts) choose(attempt string, now time.Time) *publishedKey {
	a.mu.Lock()
	defer a.mu.Unlock()
	hot := a.hot != "" && rand.IntN(2) == 0
	organisation := a.keys[xxhash.Sum64String(attempt)%uint64(len(a.keys))].organisation
	if hot {
		organisation = a.hot
	}
	anyKey := rand.IntN(anyKeyShare) == 0
	// Each organisation always has a key.
	usable := slices.DeleteFunc(slices.Clone(a.keys), func(k *publishedKey) bool {
		return k.organisation != organisation || !anyKey && !k.revoked.IsZero()
	})
	k := usable[rand.IntN(len(usable))]
	a.requests[attempt] = keyedRequest{k, now}
	return k
}

// inForce reports whether the key of an attempt has been in force until now.
func (a *accounts) inForce(attempt string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	q, ok := a.requests[attempt]
	return ok && (q.key.revoking.IsZero() || now.Before(q.key.revoking))
}

// setHot makes an organisation the hot one, or none if the name is empty.
func (a *accounts) setHot(organisation string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hot = organisation
}

// disturb records that a fault begins that may keep a VM from the store.
func (a *accounts) disturb(now time.Time) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.disturbances == 0 {
		a.calms = append(a.calms, span{a.calmSince, now})
	}
	a.disturbances++
}

// calm records that a fault of disturb has ended.
func (a *accounts) calm(now time.Time) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.disturbances--; a.disturbances == 0 {
		a.calmSince = now
	}
}

// bindsAt returns when a limit binds that the store acknowledged at the given time, or
// false if it does not bind before the end. The clients have ended.
func (a *accounts) bindsAt(acknowledged, end time.Time) (time.Time, bool) {
	calms := slices.Clone(a.calms)
	if a.disturbances == 0 {
		calms = append(calms, span{a.calmSince, end})
	}
	for _, c := range calms {
		from := c.from
		if from.Before(acknowledged) {
			from = acknowledged
		}
		if at := from.Add(limitLag); !at.After(c.to) {
			return at, true
		}
	}
	return time.Time{}, false
}

// bound returns how many requests of an organisation may be sent and run in the window
// that starts at from. All limits count that may be in force at a VM in it.
func (m *Mesh) bound(organisation string, from, end time.Time) float64 {
	rate, burst := 0.0, 0.0
	list := m.accounts.limitsOf(organisation)
	for n, l := range list {
		if l.published.After(from.Add(limitWindow)) {
			break
		}
		if n+1 < len(list) {
			if at, ok := m.accounts.bindsAt(list[n+1].acknowledgedAt, end); ok && !at.After(from) {
				continue
			}
		}
		if l.rate == 0 {
			return math.Inf(1)
		}
		rate, burst = max(rate, l.rate), max(burst, l.burst)
	}
	return (rate*limitWindow.Seconds()+burst)*(1+m.LimitOver) + m.LimitSlack
}

// checkAccounts returns the violations of the rules of keys and limits. The clients have
// ended.
func (m *Mesh) checkAccounts() []string {
	m.accounts.mu.Lock()
	defer m.accounts.mu.Unlock()
	var out []string
	served := make(map[string][]span)
	for attempt, q := range m.accounts.requests {
		runs := m.Runs.executions(attempt)
		if len(runs) == 0 {
			continue
		}
		served[q.key.organisation] = append(served[q.key.organisation], span{q.sent, runs[0].at})
		if late := q.sent.Sub(q.key.revoked); !q.key.revoked.IsZero() && late > m.KeyRevocation {
			out = append(out, fmt.Sprintf("revoked key: attempt %s was sent %v after the revocation of its key and ran at instance %s at %s",
				attempt, late, runs[0].instance, runs[0].at.Format("15:04:05.000")))
		}
	}
	for organisation, spans := range served {
		if v := m.checkWindows(organisation, spans); v != "" {
			out = append(out, v)
		}
	}
	for _, v := range m.VMs {
		text, err := os.ReadFile(filepath.Join(m.Folder, fmt.Sprintf("vm%d.log", v.Index)))
		if err != nil || strings.Contains(string(text), soakKey) {
			out = append(out, fmt.Sprintf("key in a log: VM %d, error %v", v.Index, err))
		}
	}
	return out
}

// checkWindows returns a violation if more requests of an organisation were sent and run
// in a window than its limits allow. Windows start when a request is sent.
func (m *Mesh) checkWindows(organisation string, served []span) string {
	slices.SortFunc(served, func(a, b span) int { return a.from.Compare(b.from) })
	end := time.Now()
	for n, first := range served {
		to, count := first.from.Add(limitWindow), 0
		for _, s := range served[n:] {
			if s.from.After(to) {
				break
			}
			if !s.to.After(to) {
				count++
			}
		}
		if most := m.bound(organisation, first.from, end); float64(count) > most {
			return fmt.Sprintf("limit: %d requests of %s were sent and ran in the window from %s, at most %.0f may",
				count, organisation, first.from.Format("15:04:05.000"), most)
		}
	}
	return ""
}

package ledger

import (
	"slices"
	"time"
)

// Claimant identifies the request that claims a key. No request uses the
// identifier of another.
type Claimant [16]byte

// Answer is the answer to a claim.
type Answer string

// Answers.
const (
	// Granted gives the claimant the right to run the work.
	Granted Answer = "granted"
	// Held means that another request claimed the key.
	Held Answer = "held"
	// Unknown means that an earlier claim may exist that this home does not
	// know.
	Unknown Answer = "unknown"
	// NotHome means that the keys of this home are elsewhere.
	NotHome Answer = "not home"
	// Full means that there is no room for another claim.
	Full Answer = "full"
)

// Result is an answer and when another claim may be answered differently.
type Result struct {
	Answer     Answer
	RetryAfter time.Duration
}

// Claim is a claim that is handed to another home.
type Claim struct {
	Key      Key
	Claimant Claimant
	Age      time.Duration
}

// Ledger holds the claims of one home. Set the exported fields, then call
// Start. It is used by one goroutine.
type Ledger struct {
	// Self is the VM of the home.
	Self string
	// Retention is how long a key is protected after its first claim.
	Retention time.Duration
	// Lag bounds the time between the first and the last node that adopt a list
	// of VMs. An old home may grant claims until it adopts the list that takes
	// its keys away.
	Lag time.Duration
	// Capacity bounds the claims in memory.
	Capacity int

	since    time.Time
	stopped  bool
	services map[string]*history
	claims   map[Key]*claim
	aging    []*claim
	// handed is when another home handed its claims over.
	handed map[string]time.Time
}

// history holds the lists of VMs of a service over the last retention.
type history struct {
	first time.Time
	views []view
}

// view is a list of VMs; until is zero for the list in force.
type view struct {
	vms   []string
	until time.Time
}

type claim struct {
	key      Key
	claimant Claimant
	at       time.Time
	released bool
}

// Start begins with no claims. Earlier claims are not known.
func (l *Ledger) Start(now time.Time) {
	l.since = now
	l.services = make(map[string]*history)
	l.claims = make(map[Key]*claim)
	l.handed = make(map[string]time.Time)
}

// Paused notes a pause of the process that ended at now. Other homes may have
// granted keys of this one in the meantime.
func (l *Ledger) Paused(now time.Time) { l.since = now }

// keep is how long a claim matters.
func (l *Ledger) keep() time.Duration { return l.Retention + l.Lag }

// SetVMs puts the list of VMs of a service in force.
func (l *Ledger) SetVMs(now time.Time, service string, vms []string) {
	h, ok := l.services[service]
	if !ok {
		l.services[service] = &history{first: now, views: []view{{vms: slices.Clone(vms)}}}
		return
	}
	last := &h.views[len(h.views)-1]
	if slices.Equal(last.vms, vms) {
		return
	}
	last.until = now
	h.views = append(h.views, view{vms: slices.Clone(vms)})
	h.views = slices.DeleteFunc(h.views, func(v view) bool {
		return !v.until.IsZero() && now.Sub(v.until) > l.keep()
	})
}

// Claim asks for the right to run the work of a key. A claimant that asks again
// for its own claim gets it again, as the first answer may be lost.
func (l *Ledger) Claim(now time.Time, k Key, c Claimant) Result {
	l.forget(now)
	if l.stopped || l.home(k) != l.Self {
		return Result{Answer: NotHome}
	}
	if have, ok := l.claims[k]; ok && now.Sub(have.at) < l.keep() {
		switch {
		case have.claimant == c && !have.released:
			return Result{Answer: Granted}
		case have.claimant == c || !have.released:
			return Result{Answer: Held, RetryAfter: have.at.Add(l.keep()).Sub(now)}
		}
	}
	if t := l.knownFrom(k); now.Before(t) {
		return Result{Answer: Unknown, RetryAfter: t.Sub(now)}
	}
	if _, ok := l.claims[k]; !ok && len(l.claims) >= l.Capacity {
		return Result{Answer: Full}
	}
	l.add(&claim{key: k, claimant: c, at: now})
	return Result{Answer: Granted}
}

func (l *Ledger) add(c *claim) {
	l.claims[c.key] = c
	l.aging = append(l.aging, c)
}

func (l *Ledger) home(k Key) string {
	h, ok := l.services[k.Service]
	if !ok {
		return ""
	}
	return Home(k, h.views[len(h.views)-1].vms)
}

// knownFrom returns when no claim on the key that matters can be unknown.
func (l *Ledger) knownFrom(k Key) time.Time {
	h := l.services[k.Service]
	from := l.since
	if h.first.After(from) {
		from = h.first
	}
	for _, v := range h.views {
		if v.until.IsZero() || !v.until.After(from) {
			continue
		}
		if home := Home(k, v.vms); home != l.Self && !l.covered(k, home, v) {
			from = v.until
		}
	}
	return from.Add(l.keep())
}

// covered reports whether all claims on a key that a former home granted in a
// view are known. A home that handed its claims over grants nothing until it
// was started again and one retention went by; it handed the key to the home
// that follows it in its own list, which may not be this one.
func (l *Ledger) covered(k Key, home string, v view) bool {
	t, ok := l.handed[home]
	return ok && v.until.Before(t.Add(l.Retention)) && Home(k, without(v.vms, home)) == l.Self
}

func without(vms []string, vm string) []string {
	return slices.DeleteFunc(slices.Clone(vms), func(have string) bool { return have == vm })
}

// Release gives a claim back after all attempts of its claimant were settled as
// not run. It reports whether the claimant held it.
func (l *Ledger) Release(_ time.Time, k Key, c Claimant) bool {
	have, ok := l.claims[k]
	if !ok || have.claimant != c {
		return false
	}
	// The record stays, so that a late copy of the claim is not granted.
	have.released = true
	return true
}

// Export ends the grants of this home and returns its claims by the VM that is
// their next home, with an entry for each other VM of its services. It reports
// whether the claims are complete: a home that is in quarantine itself lacks
// claims, and must not make another believe that it knows all.
func (l *Ledger) Export(now time.Time) (map[string][]Claim, bool) {
	l.stopped = true
	l.forget(now)
	out := make(map[string][]Claim)
	complete := !now.Before(l.since.Add(l.keep()))
	for _, h := range l.services {
		complete = complete && l.settled(now, h)
		for _, vm := range l.others(h) {
			if _, ok := out[vm]; !ok {
				out[vm] = nil
			}
		}
	}
	for _, c := range l.claims {
		vm := Home(c.key, l.others(l.services[c.key.Service]))
		if c.released || vm == "" {
			continue
		}
		out[vm] = append(out[vm], Claim{Key: c.key, Claimant: c.claimant, Age: now.Sub(c.at)})
	}
	return out, complete
}

// settled reports whether the list of a service did not change for so long that
// no key of it is in quarantine.
func (l *Ledger) settled(now time.Time, h *history) bool {
	quiet := func(t time.Time) bool { return !now.Before(t.Add(l.keep())) }
	for _, v := range h.views {
		if !v.until.IsZero() && !quiet(v.until) {
			return false
		}
	}
	return quiet(h.first)
}

func (l *Ledger) others(h *history) []string {
	if h == nil {
		return nil
	}
	return without(h.views[len(h.views)-1].vms, l.Self)
}

// Import takes the claims of a home that stops and returns how many it took.
// With last set, and if all were taken, it knows all claims of that home.
func (l *Ledger) Import(now time.Time, from string, claims []Claim, last bool) int {
	l.forget(now)
	taken := 0
	for _, c := range claims {
		have, ok := l.claims[c.Key]
		if !ok && len(l.claims) >= l.Capacity {
			break
		}
		taken++
		if ok && !have.released {
			continue
		}
		l.add(&claim{key: c.Key, claimant: c.Claimant, at: now.Add(-c.Age)})
	}
	if last && taken == len(claims) {
		l.handed[from] = now
	}
	return taken
}

// Len returns the number of claims in memory.
func (l *Ledger) Len() int { return len(l.claims) }

// forget drops the claims that no longer matter.
func (l *Ledger) forget(now time.Time) {
	for len(l.aging) > 0 && now.Sub(l.aging[0].at) >= l.keep() {
		c := l.aging[0]
		l.aging = l.aging[1:]
		if l.claims[c.key] == c {
			delete(l.claims, c.key)
		}
	}
	for vm, t := range l.handed {
		if now.Sub(t) > 2*l.keep() {
			delete(l.handed, vm)
		}
	}
}

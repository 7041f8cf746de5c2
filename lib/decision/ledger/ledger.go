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
	// NotOwner means that the keys of this home are elsewhere.
	NotOwner Answer = "not home"
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
	// AdoptionLag bounds the time between the first and the last node that adopt a list
	// of VMs. An old home may grant claims until it adopts the list that takes
	// its keys away.
	AdoptionLag time.Duration
	// Capacity bounds the claims in memory.
	Capacity int

	unknownBefore time.Time
	stopped       bool
	services      map[string]*vmHistory
	claims        map[Key]*claimRecord
	expiryQueue   []*claimRecord
	// handedOver is when another home handed its claims over.
	handedOver map[string]time.Time
}

// vmHistory holds the lists of VMs of a service over the last retention.
type vmHistory struct {
	firstAdopted time.Time
	lists        []vmList
}

// vmList is a list of VMs; until is zero for the list in force.
type vmList struct {
	vms        []string
	replacedAt time.Time
}

type claimRecord struct {
	key       Key
	claimant  Claimant
	claimedAt time.Time
	released  bool
}

// Start begins with no claims. Earlier claims are not known.
func (l *Ledger) Start(now time.Time) {
	l.unknownBefore = now
	l.services = make(map[string]*vmHistory)
	l.claims = make(map[Key]*claimRecord)
	l.handedOver = make(map[string]time.Time)
}

// RecordPause notes a pause of the process that ended at now. Other homes may have
// granted keys of this one in the meantime.
func (l *Ledger) RecordPause(now time.Time) { l.unknownBefore = now }

// claimLifetime is how long a claim matters.
func (l *Ledger) claimLifetime() time.Duration { return l.Retention + l.AdoptionLag }

// SetVMs puts the list of VMs of a service in force.
func (l *Ledger) SetVMs(now time.Time, service string, vms []string) {
	h, ok := l.services[service]
	if !ok {
		l.services[service] = &vmHistory{firstAdopted: now, lists: []vmList{{vms: slices.Clone(vms)}}}
		return
	}
	last := &h.lists[len(h.lists)-1]
	if slices.Equal(last.vms, vms) {
		return
	}
	last.replacedAt = now
	h.lists = append(h.lists, vmList{vms: slices.Clone(vms)})
	h.lists = slices.DeleteFunc(h.lists, func(v vmList) bool {
		return !v.replacedAt.IsZero() && now.Sub(v.replacedAt) > l.claimLifetime()
	})
}

// Claim asks for the right to run the work of a key. A claimant that asks again
// for its own claim gets it again, as the first answer may be lost.
func (l *Ledger) Claim(now time.Time, k Key, c Claimant) Result {
	l.removeExpired(now)
	if l.stopped || l.owner(k) != l.Self {
		return Result{Answer: NotOwner}
	}
	if have, ok := l.claims[k]; ok && now.Sub(have.claimedAt) < l.claimLifetime() {
		switch {
		case have.claimant == c && !have.released:
			return Result{Answer: Granted}
		case have.claimant == c || !have.released:
			return Result{Answer: Held, RetryAfter: have.claimedAt.Add(l.claimLifetime()).Sub(now)}
		}
	}
	if t := l.quarantineEnd(k); now.Before(t) {
		return Result{Answer: Unknown, RetryAfter: t.Sub(now)}
	}
	if _, ok := l.claims[k]; !ok && len(l.claims) >= l.Capacity {
		return Result{Answer: Full}
	}
	l.add(&claimRecord{key: k, claimant: c, claimedAt: now})
	return Result{Answer: Granted}
}

func (l *Ledger) add(c *claimRecord) {
	l.claims[c.key] = c
	l.expiryQueue = append(l.expiryQueue, c)
}

func (l *Ledger) owner(k Key) string {
	h, ok := l.services[k.Service]
	if !ok {
		return ""
	}
	return Owner(k, h.lists[len(h.lists)-1].vms)
}

// quarantineEnd returns when no claim on the key that matters can be unknown.
func (l *Ledger) quarantineEnd(k Key) time.Time {
	h := l.services[k.Service]
	from := l.unknownBefore
	if h.firstAdopted.After(from) {
		from = h.firstAdopted
	}
	for _, v := range h.lists {
		if v.replacedAt.IsZero() || !v.replacedAt.After(from) {
			continue
		}
		if home := Owner(k, v.vms); home != l.Self && !l.hasAllClaims(k, home, v) {
			from = v.replacedAt
		}
	}
	return from.Add(l.claimLifetime())
}

// hasAllClaims reports whether all claims on a key that a former home granted in a
// view are known. A home that handed its claims over grants nothing until it
// was started again and one retention went by; it handed the key to the home
// that follows it in its own list, which may not be this one.
func (l *Ledger) hasAllClaims(k Key, home string, v vmList) bool {
	t, ok := l.handedOver[home]
	return ok && v.replacedAt.Before(t.Add(l.Retention)) && Owner(k, withoutVM(v.vms, home)) == l.Self
}

func withoutVM(vms []string, vm string) []string {
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
	l.removeExpired(now)
	out := make(map[string][]Claim)
	complete := !now.Before(l.unknownBefore.Add(l.claimLifetime()))
	for _, h := range l.services {
		complete = complete && l.outOfQuarantine(now, h)
		for _, vm := range l.otherVMs(h) {
			if _, ok := out[vm]; !ok {
				out[vm] = nil
			}
		}
	}
	for _, c := range l.claims {
		vm := Owner(c.key, l.otherVMs(l.services[c.key.Service]))
		if c.released || vm == "" {
			continue
		}
		out[vm] = append(out[vm], Claim{Key: c.key, Claimant: c.claimant, Age: now.Sub(c.claimedAt)})
	}
	return out, complete
}

// outOfQuarantine reports whether the list of a service did not change for so long that
// no key of it is in quarantine.
func (l *Ledger) outOfQuarantine(now time.Time, h *vmHistory) bool {
	quiet := func(t time.Time) bool { return !now.Before(t.Add(l.claimLifetime())) }
	for _, v := range h.lists {
		if !v.replacedAt.IsZero() && !quiet(v.replacedAt) {
			return false
		}
	}
	return quiet(h.firstAdopted)
}

func (l *Ledger) otherVMs(h *vmHistory) []string {
	if h == nil {
		return nil
	}
	return withoutVM(h.lists[len(h.lists)-1].vms, l.Self)
}

// Import takes the claims of a home that stops and returns how many it took.
// With last set, and if all were taken, it knows all claims of that home.
func (l *Ledger) Import(now time.Time, from string, claims []Claim, last bool) int {
	l.removeExpired(now)
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
		l.add(&claimRecord{key: c.Key, claimant: c.Claimant, claimedAt: now.Add(-c.Age)})
	}
	if last && taken == len(claims) {
		l.handedOver[from] = now
	}
	return taken
}

// Len returns the number of claims in memory.
func (l *Ledger) Len() int { return len(l.claims) }

// removeExpired drops the claims that no longer matter.
func (l *Ledger) removeExpired(now time.Time) {
	for len(l.expiryQueue) > 0 && now.Sub(l.expiryQueue[0].claimedAt) >= l.claimLifetime() {
		c := l.expiryQueue[0]
		l.expiryQueue = l.expiryQueue[1:]
		if l.claims[c.key] == c {
			delete(l.claims, c.key)
		}
	}
	for vm, t := range l.handedOver {
		if now.Sub(t) > 2*l.claimLifetime() {
			delete(l.handedOver, vm)
		}
	}
}

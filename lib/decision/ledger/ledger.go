package ledger

import (
	"slices"
	"time"
)

// Claimant identifies the request that claims a key. It is unique for each
// request.
type Claimant [16]byte

// Answer is the reply to a claim.
type Answer string

// Answers to a claim.
const (
	// Granted gives the claimant the right to run the work.
	Granted Answer = "granted"
	// Held means that the key is claimed already, or that the claimant released
	// it before.
	Held Answer = "held"
	// Unknown means that the key is in quarantine: another claim may exist that
	// this VM does not know.
	Unknown Answer = "unknown"
	// NotOwner means that another VM owns the key, or that this VM has exported
	// its claims.
	NotOwner Answer = "not home"
	// Full means that the ledger has no capacity for another claim.
	Full Answer = "full"
)

// Result is the answer to a claim. RetryAfter is the time after which the
// answer may differ, or zero if that is not known.
type Result struct {
	Answer     Answer
	RetryAfter time.Duration
}

// Claim is a claim that one VM hands over to the next owner of the key. Age is
// the time since the claim was granted.
type Claim struct {
	Key      Key
	Claimant Claimant
	Age      time.Duration
}

// Ledger holds the claims on the keys that one VM owns. Set the exported
// fields, then call Start. It is not safe for concurrent use.
type Ledger struct {
	// Self is the name of this VM.
	Self string
	// Retention is how long a key is protected after its first claim.
	Retention time.Duration
	// AdoptionLag is the longest time between the first and the last node that
	// adopt a list of VMs. A former owner may grant a key until it adopts the
	// list that moves the key to another VM.
	AdoptionLag time.Duration
	// Capacity is the maximum number of claims in memory.
	Capacity int

	// unknownBefore is the time of the last start or pause. Claims granted
	// before it may be missing here.
	unknownBefore time.Time
	stopped       bool
	services      map[string]*vmHistory
	claims        map[Key]*claimRecord
	// expiryQueue holds the claims in the order in which they were added.
	expiryQueue []*claimRecord
	// handedOver holds the time at which another VM completed the hand-over of
	// its claims.
	handedOver map[string]time.Time
}

// vmHistory holds the lists of VMs of a service that were in force within the
// last claim lifetime.
type vmHistory struct {
	firstAdopted time.Time
	lists        []vmList
}

// vmList is a list of VMs. replacedAt is zero for the list in force.
type vmList struct {
	vms        []string
	replacedAt time.Time
}

// claimRecord is a claim that was granted or imported.
type claimRecord struct {
	key       Key
	claimant  Claimant
	claimedAt time.Time
	released  bool
}

// Start initialises the ledger without claims. Earlier claims are unknown.
func (l *Ledger) Start(now time.Time) {
	l.unknownBefore = now
	l.services = make(map[string]*vmHistory)
	l.claims = make(map[Key]*claimRecord)
	l.handedOver = make(map[string]time.Time)
}

// RecordPause records a pause of the process that ended at now. During the
// pause, other VMs may have granted keys that this VM owns.
func (l *Ledger) RecordPause(now time.Time) { l.unknownBefore = now }

// claimLifetime returns how long a claim is kept: the retention, and the time
// in which a former owner may still grant the key.
func (l *Ledger) claimLifetime() time.Duration { return l.Retention + l.AdoptionLag }

// SetVMs sets the list of VMs of a service that is in force from now on.
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

// Claim requests the right to run the work of a key. A repeated claim by the
// same claimant is granted again, because the first reply may have been lost.
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

// owner returns the owner of a key by the list in force, or an empty name if
// the service has no list.
func (l *Ledger) owner(k Key) string {
	h, ok := l.services[k.Service]
	if !ok {
		return ""
	}
	return Owner(k, h.lists[len(h.lists)-1].vms)
}

// quarantineEnd returns the time from which every unexpired claim on the key is
// known here.
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
		if former := Owner(k, v.vms); former != l.Self && !l.hasAllClaims(k, former, v) {
			from = v.replacedAt
		}
	}
	return from.Add(l.claimLifetime())
}

// hasAllClaims reports whether this VM knows all claims on a key that a former
// owner granted under a list. A VM that handed its claims over grants nothing
// until it has restarted and a retention has passed. It hands a key to the next
// owner by its own list, which may be another VM than this one.
func (l *Ledger) hasAllClaims(k Key, former string, v vmList) bool {
	t, ok := l.handedOver[former]
	return ok && v.replacedAt.Before(t.Add(l.Retention)) && Owner(k, withoutVM(v.vms, former)) == l.Self
}

// withoutVM returns a copy of a list without one VM.
func withoutVM(vms []string, vm string) []string {
	return slices.DeleteFunc(slices.Clone(vms), func(have string) bool { return have == vm })
}

// Release ends a claim whose work did not run, so that another request can
// claim the key. Call it only after all attempts of the claimant were settled
// as not run. It reports whether the claimant held the claim.
func (l *Ledger) Release(_ time.Time, k Key, c Claimant) bool {
	have, ok := l.claims[k]
	if !ok || have.claimant != c {
		return false
	}
	// The record stays, so that a delayed duplicate of the claim is not
	// granted.
	have.released = true
	return true
}

// Export stops granting and returns the claims by the VM that owns their keys
// next, with an entry for every other VM of the services. It reports whether
// the claims are complete: while any key of this VM is in quarantine, claims
// may be missing, and the next owner must not treat them as complete.
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

// outOfQuarantine reports whether the list of a service has been unchanged for
// long enough that no key of the service is in quarantine.
func (l *Ledger) outOfQuarantine(now time.Time, h *vmHistory) bool {
	quiet := func(t time.Time) bool { return !now.Before(t.Add(l.claimLifetime())) }
	for _, v := range h.lists {
		if !v.replacedAt.IsZero() && !quiet(v.replacedAt) {
			return false
		}
	}
	return quiet(h.firstAdopted)
}

// otherVMs returns the list in force without this VM.
func (l *Ledger) otherVMs(h *vmHistory) []string {
	if h == nil {
		return nil
	}
	return withoutVM(h.lists[len(h.lists)-1].vms, l.Self)
}

// Import adds claims of a VM that stops and returns how many it accepted; it
// accepts fewer than all if it reaches its capacity. If last is set and all
// claims were accepted, the claims of that VM count as completely known.
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

// removeExpired removes claims and hand-overs that no longer affect an answer.
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

package revision

import (
	"fmt"
	"time"

	"cassiarack.example/lib/decision/config"
)

const (
	// PauseLimit is the longest pause after which a node goes on serving
	// without asking a peer. Within it the fleet cannot have both accepted a
	// configuration and put it in force everywhere.
	PauseLimit = 2 * time.Second
	// answerLifetime is how long the answer of a peer counts. A peer that answered
	// earlier may serve, or serve a newer revision, by now.
	answerLifetime = 10 * time.Second
	// maxRejected bounds the invalid revisions that are remembered.
	maxRejected = 64
)

// Outcome is what a Keeper decides about a revision.
type Outcome string

// Judgements.
const (
	// Accepted means that the revision is now held.
	Accepted Outcome = "accepted"
	// Known means that the revision is already held.
	Known Outcome = "known"
	// Older means that a higher number is held.
	Older Outcome = "older"
	// Forked means that the number is held with another digest.
	Forked Outcome = "forked"
	// Invalid means that the content was rejected.
	Invalid Outcome = "invalid"
)

// Verdict is a judgement with its reason.
type Verdict struct {
	Outcome Outcome
	Reason  string
}

// Rejected reports whether operators must hear of the verdict.
func (v Verdict) Rejected() bool { return v.Outcome != Accepted && v.Outcome != Known }

// Source is where a revision comes from.
type Source struct {
	// Name is the name of a VM, or of the platform.
	Name string
	// Serving is set for a peer that serves.
	Serving bool
}

// Answer is a peer's answer to a question about its revision.
type Answer struct {
	// Peer is the name of the peer's VM.
	Peer string
	// Asked is when the question was sent.
	Asked time.Time
	// Revision is what the peer holds; Number is 0 for none.
	Revision config.Revision
	// Serving is set if the peer serves.
	Serving bool
}

// protection is one of the rules of the Keeper. Tests switch single ones off to
// show that the property test depends on each.
type protection int

const (
	higherOnly protection = iota + 1
	forkCheck
	validOnly
	holdUntilConfirmed
	samePeerRevision
	majorityOfDataCentre
	freshAnswers
	confirmAfterPause
)

// minNeighbours is the smallest data centre whose VMs decide alone. In a smaller
// one, a single other VM, or none, would let a restarted node trust a stale
// platform.
const minNeighbours = 3

// Neighbours returns the VMs by whose answers a node tells that the whole fleet
// starts: those of its data centre, or all if there are fewer than three. A
// node that is not in the configuration has none.
func Neighbours(c *config.Configuration, self string) []string {
	if c == nil || c.VMs[self] == nil {
		return nil
	}
	var near, all []string
	for _, v := range c.VMs {
		all = append(all, v.Name)
		if v.DataCentre == c.VMs[self].DataCentre {
			near = append(near, v.Name)
		}
	}
	if len(near) < minNeighbours {
		return all
	}
	return near
}

// Tracker decides for one node. It is used by one goroutine.
type Tracker struct {
	// Self is the name of the node's VM.
	Self string
	// Started is when the node started.
	Started time.Time

	held      config.Revision
	inForce   bool
	confirmed bool
	// resumedAt is the start or the end of the last pause; earlier questions do
	// not count.
	resumedAt time.Time
	// highest is the highest number that a serving peer reported.
	highest uint64
	// neighbours are those of the held configuration.
	neighbours    map[string]bool
	notServing    map[string]time.Time
	rejected      map[config.Revision]string
	rejectedOrder []config.Revision
	disabled      protection
}

// Held returns the revision held, in force or not; its number is 0 for none.
func (k *Tracker) Held() config.Revision { return k.held }

// InForce returns the revision in force and whether there is one.
func (k *Tracker) InForce() (config.Revision, bool) {
	if !k.inForce {
		return config.Revision{}, false
	}
	return k.held, true
}

// Evaluate tells what Offer would decide about a revision with valid content.
// Accepted means that its content is worth reading.
func (k *Tracker) Evaluate(rev config.Revision, from Source) Verdict {
	if why, ok := k.rejected[rev]; ok {
		return Verdict{Invalid, why}
	}
	switch {
	case rev == k.held:
		return Verdict{Outcome: Known}
	case rev.Number > k.held.Number || k.disabled == higherOnly:
		return Verdict{Outcome: Accepted}
	case rev.Number < k.held.Number:
		return Verdict{Older, fmt.Sprintf("revision %d is older than %d", rev.Number, k.held.Number)}
	case k.disabled == forkCheck:
		return Verdict{Outcome: Accepted}
	case !k.inForce && from.Serving:
		// A node that does not serve yet follows the fleet.
		return Verdict{Accepted, k.forkReason(rev)}
	}
	return Verdict{Forked, k.forkReason(rev)}
}

func (k *Tracker) forkReason(rev config.Revision) string {
	return fmt.Sprintf("revision %d has digest %.4x from this source and %.4x here", rev.Number, rev.Digest, k.held.Digest)
}

// Offer proposes a revision whose content was read and checked; fault is the
// result of the check. The neighbours are the VMs by whose answers the node
// tells that the whole fleet starts, see Neighbours.
func (k *Tracker) Offer(_ time.Time, rev config.Revision, from Source, neighbours []string, fault error) Verdict {
	v := k.Evaluate(rev, from)
	if v.Outcome != Accepted {
		return v
	}
	if fault != nil && k.disabled != validOnly {
		k.reject(rev, fault.Error())
		return Verdict{Invalid, fault.Error()}
	}
	k.held = rev
	k.neighbours = make(map[string]bool, len(neighbours))
	for _, n := range neighbours {
		k.neighbours[n] = true
	}
	if k.disabled == holdUntilConfirmed {
		k.inForce, k.confirmed = true, true
	}
	return v
}

func (k *Tracker) reject(rev config.Revision, why string) {
	if k.rejected == nil {
		k.rejected = make(map[config.Revision]string)
	}
	if len(k.rejectedOrder) >= maxRejected {
		delete(k.rejected, k.rejectedOrder[0])
		k.rejectedOrder = k.rejectedOrder[1:]
	}
	k.rejected[rev] = why
	k.rejectedOrder = append(k.rejectedOrder, rev)
}

// ObserveRevision notes the revision that a serving peer reported without being asked.
func (k *Tracker) ObserveRevision(rev config.Revision, serving bool) {
	if serving {
		k.highest = max(k.highest, rev.Number)
	}
}

// HandleAnswer takes the answer of a peer. It reports whether the node may serve
// because of it.
func (k *Tracker) HandleAnswer(now time.Time, a Answer) bool {
	k.ObserveRevision(a.Revision, a.Serving)
	if k.disabled != freshAnswers && (a.Asked.Before(k.earliestQuestion()) || now.Sub(a.Asked) > answerLifetime) {
		return k.confirmed
	}
	if a.Serving {
		delete(k.notServing, a.Peer)
		if k.held.Number > 0 && (a.Revision == k.held || k.disabled == samePeerRevision) {
			k.startServing()
		}
		return k.confirmed
	}
	if k.notServing == nil {
		k.notServing = make(map[string]time.Time)
	}
	k.notServing[a.Peer] = a.Asked
	return k.MayServe(now)
}

// earliestQuestion returns the time before which questions do not count.
func (k *Tracker) earliestQuestion() time.Time {
	if k.resumedAt.IsZero() {
		return k.Started
	}
	return k.resumedAt
}

func (k *Tracker) startServing() { k.inForce, k.confirmed = true, true }

// MayServe reports whether the node may serve. When it first may, the revision
// held is put in force.
func (k *Tracker) MayServe(now time.Time) bool {
	if !k.confirmed && k.held.Number > 0 && k.isFleetStarting(now) {
		k.startServing()
	}
	return k.confirmed
}

// isFleetStarting reports whether more than half of the neighbours, this node among
// them, answered lately that they do not serve. A node that
// heard of a higher revision in service waits for that revision.
func (k *Tracker) isFleetStarting(now time.Time) bool {
	if k.held.Number < k.highest {
		return false
	}
	if k.disabled == majorityOfDataCentre {
		return true
	}
	return 2*k.countNotServing(now) > len(k.neighbours)
}

// IsNeighbour reports whether the answer of a VM counts when the fleet starts.
func (k *Tracker) IsNeighbour(vm string) bool { return k.neighbours[vm] }

func (k *Tracker) countNotServing(now time.Time) int {
	n := 0
	if k.neighbours[k.Self] {
		n = 1
	}
	for name, asked := range k.notServing {
		if name != k.Self && k.neighbours[name] && now.Sub(asked) <= answerLifetime {
			n++
		}
	}
	return n
}

// WaitingReason tells why the node does not serve; it is empty if it does.
func (k *Tracker) WaitingReason(now time.Time) string {
	switch {
	case k.confirmed:
		return ""
	case k.held.Number == 0:
		return "no configuration yet"
	case k.held.Number < k.highest:
		return fmt.Sprintf("revision %d is held, a serving peer has %d", k.held.Number, k.highest)
	default:
		return fmt.Sprintf("no serving peer confirmed revision %d; %d of %d neighbours do not serve either",
			k.held.Number, k.countNotServing(now), len(k.neighbours))
	}
}

// Paused notes that the process did not run for a time that ended now. After
// more than PauseLimit the node must ask a peer before it serves again.
func (k *Tracker) Paused(now time.Time, length time.Duration) {
	if length <= PauseLimit || k.disabled == confirmAfterPause {
		return
	}
	k.resumedAt = now
	k.confirmed = false
	clear(k.notServing)
}

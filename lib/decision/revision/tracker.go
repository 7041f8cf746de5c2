package revision

import (
	"fmt"
	"time"

	"cassiarack.example/lib/decision/config"
)

const (
	// PauseLimit is the longest pause after which a node continues to serve
	// without asking a peer. In that time the fleet cannot both accept a new
	// configuration and put it in force everywhere.
	PauseLimit = 2 * time.Second
	// answerLifetime is the time, from the question on, for which a peer's answer
	// counts. Later, the peer may have begun to serve, or may serve a newer
	// revision.
	answerLifetime = 10 * time.Second
	// maxRejected limits the number of invalid revisions that a Tracker remembers.
	maxRejected = 64
)

// Outcome is the decision of a Tracker about a revision.
type Outcome string

// Outcomes.
const (
	// Accepted means that the revision is now held.
	Accepted Outcome = "accepted"
	// Known means that the same revision is already held.
	Known Outcome = "known"
	// Older means that a revision with a higher number is held.
	Older Outcome = "older"
	// Forked means that a revision with the same number and another digest is
	// held.
	Forked Outcome = "forked"
	// Invalid means that the content of the revision failed its check.
	Invalid Outcome = "invalid"
)

// Verdict is an outcome with its reason, which may be empty.
type Verdict struct {
	Outcome Outcome
	Reason  string
}

// Rejected reports whether the revision was refused, which must be shown to
// operators. It is true unless the outcome is Accepted or Known.
func (v Verdict) Rejected() bool { return v.Outcome != Accepted && v.Outcome != Known }

// Source identifies where a revision comes from.
type Source struct {
	// Name is the name of a VM or of the platform.
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
	// Revision is the revision that the peer holds; its number is 0 if it holds
	// none.
	Revision config.Revision
	// Serving is set if the peer serves.
	Serving bool
}

// protection identifies one of the rules of the Tracker. Tests disable one rule at
// a time to show that the property test depends on each.
type protection int

const (
	// higherOnly refuses a revision with a lower number than the held one.
	higherOnly protection = iota + 1
	// forkCheck refuses a revision with the held number and another digest.
	forkCheck
	// validOnly refuses a revision whose content failed its check.
	validOnly
	// holdUntilConfirmed puts a revision in force only when the node may serve.
	holdUntilConfirmed
	// samePeerRevision requires that a serving peer has the held revision.
	samePeerRevision
	// majorityOfDataCentre requires the answers of more than half of the neighbours
	// when no peer serves.
	majorityOfDataCentre
	// freshAnswers ignores answers that are too old.
	freshAnswers
	// confirmAfterPause requires a new confirmation after a long pause.
	confirmAfterPause
)

// minNeighbours is the smallest number of VMs in a data centre for which only
// these VMs are neighbours. With fewer, the answer of a single other VM, or none,
// would let a restarted node trust a stale platform.
const minNeighbours = 3

// Neighbours returns the names of the VMs whose answers show a node that the whole
// fleet is starting: those of its data centre, itself included, or all VMs if its
// data centre has fewer than three. A node that is not in the configuration has no
// neighbours.
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

// Tracker decides which revision one node holds and puts in force, and when the
// node may serve. It is not safe for concurrent use.
type Tracker struct {
	// Self is the name of the node's VM.
	Self string
	// Started is when the node started.
	Started time.Time

	held      config.Revision
	inForce   bool
	confirmed bool
	// resumedAt is the end of the last pause longer than PauseLimit, or zero.
	// Answers to earlier questions are ignored.
	resumedAt time.Time
	// highest is the highest revision number that a serving peer reported.
	highest uint64
	// neighbours contains the neighbours in the held configuration.
	neighbours map[string]bool
	// notServing contains, for each peer that answered that it does not serve, the
	// time at which it was asked.
	notServing map[string]time.Time
	// rejected contains the reason for which each invalid revision was rejected.
	rejected map[config.Revision]string
	// rejectedOrder contains the keys of rejected, the oldest first.
	rejectedOrder []config.Revision
	// disabled is the protection that a test disabled, or 0.
	disabled protection
}

// Held returns the revision held, in force or not. Its number is 0 if none is
// held.
func (t *Tracker) Held() config.Revision { return t.held }

// InForce returns the revision in force and whether there is one.
func (t *Tracker) InForce() (config.Revision, bool) {
	if !t.inForce {
		return config.Revision{}, false
	}
	return t.held, true
}

// Evaluate returns what Offer would decide about a revision if its content is
// valid. If the outcome is not Accepted, the content need not be read.
func (t *Tracker) Evaluate(rev config.Revision, from Source) Verdict {
	if why, ok := t.rejected[rev]; ok {
		return Verdict{Invalid, why}
	}
	switch {
	case rev == t.held:
		return Verdict{Outcome: Known}
	case rev.Number > t.held.Number || t.disabled == higherOnly:
		return Verdict{Outcome: Accepted}
	case rev.Number < t.held.Number:
		return Verdict{Older, fmt.Sprintf("revision %d is older than %d", rev.Number, t.held.Number)}
	case t.disabled == forkCheck:
		return Verdict{Outcome: Accepted}
	case !t.inForce && from.Serving:
		// A node that has no revision in force yet follows the fleet: the fork of a
		// serving peer replaces the held revision.
		return Verdict{Accepted, t.forkReason(rev)}
	}
	return Verdict{Forked, t.forkReason(rev)}
}

// forkReason describes a revision whose number is held with another digest.
func (t *Tracker) forkReason(rev config.Revision) string {
	return fmt.Sprintf("revision %d has digest %.4x from this source and %.4x here", rev.Number, rev.Digest, t.held.Digest)
}

// Offer proposes a revision whose content was read and checked; fault is the
// result of the check, or nil. The neighbours are those that Neighbours returns
// for the configuration of the revision. The Tracker remembers invalid revisions and
// holds accepted ones.
func (t *Tracker) Offer(_ time.Time, rev config.Revision, from Source, neighbours []string, fault error) Verdict {
	v := t.Evaluate(rev, from)
	if v.Outcome != Accepted {
		return v
	}
	if fault != nil && t.disabled != validOnly {
		t.reject(rev, fault.Error())
		return Verdict{Invalid, fault.Error()}
	}
	t.held = rev
	t.neighbours = make(map[string]bool, len(neighbours))
	for _, n := range neighbours {
		t.neighbours[n] = true
	}
	if t.disabled == holdUntilConfirmed {
		t.inForce, t.confirmed = true, true
	}
	return v
}

// reject remembers an invalid revision and forgets the oldest one if there are
// maxRejected.
func (t *Tracker) reject(rev config.Revision, why string) {
	if t.rejected == nil {
		t.rejected = make(map[config.Revision]string)
	}
	if len(t.rejectedOrder) >= maxRejected {
		delete(t.rejected, t.rejectedOrder[0])
		t.rejectedOrder = t.rejectedOrder[1:]
	}
	t.rejected[rev] = why
	t.rejectedOrder = append(t.rejectedOrder, rev)
}

// ObserveRevision records the revision that a peer reported without being asked. It
// has no effect unless the peer serves.
func (t *Tracker) ObserveRevision(rev config.Revision, serving bool) {
	if serving {
		t.highest = max(t.highest, rev.Number)
	}
}

// HandleAnswer records the answer of a peer and reports whether the node may serve.
// The revision is always recorded, as by ObserveRevision. Otherwise, answers older
// than answerLifetime, and answers to questions asked before the start or the end
// of the last long pause, are ignored.
func (t *Tracker) HandleAnswer(now time.Time, a Answer) bool {
	t.ObserveRevision(a.Revision, a.Serving)
	if t.disabled != freshAnswers && (a.Asked.Before(t.earliestQuestion()) || now.Sub(a.Asked) > answerLifetime) {
		return t.confirmed
	}
	if a.Serving {
		delete(t.notServing, a.Peer)
		if t.held.Number > 0 && (a.Revision == t.held || t.disabled == samePeerRevision) {
			t.startServing()
		}
		return t.confirmed
	}
	if t.notServing == nil {
		t.notServing = make(map[string]time.Time)
	}
	t.notServing[a.Peer] = a.Asked
	return t.MayServe(now)
}

// earliestQuestion returns the time before which the answers to questions are
// ignored.
func (t *Tracker) earliestQuestion() time.Time {
	if t.resumedAt.IsZero() {
		return t.Started
	}
	return t.resumedAt
}

// startServing allows the node to serve and puts the held revision in force.
func (t *Tracker) startServing() { t.inForce, t.confirmed = true, true }

// MayServe reports whether the node may serve. When it becomes able to serve, the
// held revision is put in force.
func (t *Tracker) MayServe(now time.Time) bool {
	if !t.confirmed && t.held.Number > 0 && t.isFleetStarting(now) {
		t.startServing()
	}
	return t.confirmed
}

// isFleetStarting reports whether the whole fleet is starting: more than half of
// the neighbours, counting this node, answered within answerLifetime that they do
// not serve. It reports false if a serving peer reported a higher revision than the
// one held, because the node waits for that revision.
func (t *Tracker) isFleetStarting(now time.Time) bool {
	if t.held.Number < t.highest {
		return false
	}
	if t.disabled == majorityOfDataCentre {
		return true
	}
	return 2*t.countNotServing(now) > len(t.neighbours)
}

// IsNeighbour reports whether a VM is a neighbour in the held configuration.
func (t *Tracker) IsNeighbour(vm string) bool { return t.neighbours[vm] }

// countNotServing returns the number of neighbours, counting this node, whose
// answer within answerLifetime was that they do not serve.
func (t *Tracker) countNotServing(now time.Time) int {
	n := 0
	if t.neighbours[t.Self] {
		n = 1
	}
	for name, asked := range t.notServing {
		if name != t.Self && t.neighbours[name] && now.Sub(asked) <= answerLifetime {
			n++
		}
	}
	return n
}

// WaitingReason returns, for operators, why the node does not serve, or an empty
// string if it does.
func (t *Tracker) WaitingReason(now time.Time) string {
	switch {
	case t.confirmed:
		return ""
	case t.held.Number == 0:
		return "no configuration yet"
	case t.held.Number < t.highest:
		return fmt.Sprintf("revision %d is held, a serving peer has %d", t.held.Number, t.highest)
	default:
		return fmt.Sprintf("no serving peer confirmed revision %d; %d of %d neighbours do not serve either",
			t.held.Number, t.countNotServing(now), len(t.neighbours))
	}
}

// Paused records that the process did not run for a time of the given length that
// ended now. After more than PauseLimit, the node must ask a peer before it serves
// again.
func (t *Tracker) Paused(now time.Time, length time.Duration) {
	if length <= PauseLimit || t.disabled == confirmAfterPause {
		return
	}
	t.resumedAt = now
	t.confirmed = false
	clear(t.notServing)
}

package member

import (
	"net/netip"
	"time"
)

// State is the state of a member. A greater state of the same incarnation
// replaces a smaller one.
type State int

// States of a member.
const (
	Alive State = iota + 1
	Suspect
	Leaving
	Dead
)

var stateNames = map[State]string{Alive: "alive", Suspect: "suspect", Leaving: "leaving", Dead: "dead"}

// String implements fmt.Stringer.
func (s State) String() string { return stateNames[s] }

// Member is what a node knows about a node of the fleet.
type Member struct {
	// Name is the name of the VM.
	Name       string
	Region     string
	DataCentre string
	// Address is where the node receives datagrams.
	Address     netip.AddrPort
	State       State
	Incarnation uint64
	// LastHeard is when the last message of the member itself arrived.
	LastHeard time.Time
}

// Update is news about a member.
type Update struct {
	Name        string
	Incarnation uint64
	State       State
	Address     netip.AddrPort
}

// supersedes reports whether u replaces an update of incarnation i and state s.
func (u Update) supersedes(i uint64, s State) bool {
	return u.Incarnation > i || u.Incarnation == i && u.State > s
}

// Kind tells what a message asks or answers.
type Kind int

// Kinds of messages.
const (
	// Ping asks for an Ack.
	Ping Kind = iota + 1
	// Ack answers a Ping, or tells the sender of a PingRequest that the target
	// answered.
	Ack
	// PingRequest asks the receiver to ping the target.
	PingRequest
	// Announce carries updates only.
	Announce
)

// Message is one message between nodes.
type Message struct {
	Kind Kind
	// From is the name of the sender's VM, Incarnation that of the sender.
	From        string
	Incarnation uint64
	// Source is where the message came from; it is set by the receiver.
	Source netip.AddrPort
	// Sequence ties an Ack to its Ping or PingRequest.
	Sequence uint64
	// Target is the member that is pinged or that answered.
	Target string
	// TargetAddress is where the receiver of a PingRequest finds the target.
	TargetAddress netip.AddrPort
	Updates       []Update
}

// Envelope is a message to send.
type Envelope struct {
	To      netip.AddrPort
	Message Message
}

// PlatformState is the platform's view of a VM.
type PlatformState int

// Hints.
const (
	PlatformLive PlatformState = iota
	PlatformLeaving
	PlatformGone
)

// Counters count what happened to a table since its creation.
type Counters struct {
	// Pings and Failed count the probes that started and ended without an
	// acknowledgement.
	Pings, FailedPings uint64
	// Suspected, Died and Refuted count changes of other members and of the
	// table's own incarnation.
	Suspected, Died, Refuted uint64
	// DuplicateNames counts messages and updates of another node under this node's
	// name.
	DuplicateNames uint64
	// Dropped counts ping requests and members beyond the limits.
	Dropped uint64
}

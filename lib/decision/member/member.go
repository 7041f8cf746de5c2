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

// Member describes one node of the fleet as another node sees it.
type Member struct {
	// Name is the name of the VM.
	Name       string
	Region     string
	DataCentre string
	// Address is the UDP address on which the node receives messages.
	Address     netip.AddrPort
	State       State
	Incarnation uint64
	// LastHeard is when the last message sent by the member itself arrived. It
	// is zero if none has.
	LastHeard time.Time
}

// Update reports the state, incarnation and address of a member. It is
// disseminated between nodes.
type Update struct {
	Name        string
	Incarnation uint64
	State       State
	Address     netip.AddrPort
}

// supersedes reports whether u replaces an update with incarnation i and state s.
func (u Update) supersedes(i uint64, s State) bool {
	return u.Incarnation > i || u.Incarnation == i && u.State > s
}

// Kind is the type of a message.
type Kind int

// Kinds of messages.
const (
	// Ping asks for an Ack.
	Ping Kind = iota + 1
	// Ack answers a Ping, or reports to the sender of a PingRequest that the
	// target answered.
	Ack
	// PingRequest asks the receiver to ping the target.
	PingRequest
	// Announce only carries updates.
	Announce
)

// Message is one message between nodes.
type Message struct {
	Kind Kind
	// From is the name of the sender's VM, Incarnation the sender's incarnation.
	From        string
	Incarnation uint64
	// Source is the address that the message came from. The receiver sets it.
	Source netip.AddrPort
	// Sequence matches an Ack to its Ping or PingRequest.
	Sequence uint64
	// Target is the name of the member that is pinged or that answered.
	Target string
	// TargetAddress is the address of the target in a PingRequest. It is used if
	// the receiver does not know the target.
	TargetAddress netip.AddrPort
	Updates       []Update
}

// Envelope is a message to send and its destination.
type Envelope struct {
	To      netip.AddrPort
	Message Message
}

// PlatformState is the state of a VM in the platform's list of VMs.
type PlatformState int

// States of a VM in the platform's list. PlatformGone means that the VM is not
// in the list.
const (
	PlatformLive PlatformState = iota
	PlatformLeaving
	PlatformGone
)

// Counters counts events of a table since its creation.
type Counters struct {
	// Pings counts the probes that were started, FailedPings those that ended
	// without an acknowledgement.
	Pings, FailedPings uint64
	// Suspected and Died count other members that became suspect and dead.
	// Refuted counts the times that this node raised its own incarnation to
	// refute an update about itself.
	Suspected, Died, Refuted uint64
	// DuplicateNames counts messages and updates of another node that uses this
	// node's name.
	DuplicateNames uint64
	// Dropped counts ping requests that were not served, as the limit was reached
	// or the target had no address, and members beyond the limit.
	Dropped uint64
}

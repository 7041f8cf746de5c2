package config

import (
	"slices"
	"strings"

	"cassiarack.example/lib/platform"
	"cassiarack.example/lib/wire"
)

// maxChanges limits the number of remembered changes of the list. A node that is a
// few lists behind fetches only the changes.
const maxChanges = 4096

// VMState is the state of a VM in the platform's list.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
	VMGone    VMState = "gone"
)

// List is the platform's list of VMs, which lags behind the actual state of the VMs.
// It is immutable.
type List struct {
	// Number increases with each list.
	Number uint64

	states map[string]VMState
	// changes contains the last changes, ordered by number. It is complete for the
	// numbers greater than since.
	changes []change
	since   uint64
}

// change is the new state of a VM in the list with a number.
type change struct {
	number uint64
	name   string
	state  VMState
}

// State returns the state of a VM. A VM that is not in the list is gone. If l is nil,
// every VM is live.
func (l *List) State(vm string) VMState {
	if l == nil {
		return VMLive
	}
	if s, ok := l.states[vm]; ok {
		return s
	}
	return VMGone
}

// VMs returns the names of the VMs in a state, in order. For VMGone it returns none,
// because the list does not contain VMs that are gone.
func (l *List) VMs(state VMState) []string {
	var out []string
	if l != nil {
		for name, s := range l.states {
			if s == state {
				out = append(out, name)
			}
		}
	}
	slices.Sort(out)
	return out
}

// newList returns the list that was read from the platform.
func newList(l *platform.VMList) *List {
	out := &List{Number: l.Revision, since: l.Revision, states: make(map[string]VMState, len(l.VMs))}
	for _, v := range l.VMs {
		out.set(v.Name, stateOf(v.State))
	}
	return out
}

// stateOf returns the state that a text denotes. An unknown state counts as live, so
// that the list of a newer platform does not take VMs out of use.
func stateOf(s string) VMState {
	switch s {
	case platform.StateLeaving:
		return VMLeaving
	case "", string(VMGone):
		return VMGone
	}
	return VMLive
}

// set changes the state of a VM while the list is built.
func (l *List) set(name string, s VMState) {
	if s == VMGone {
		delete(l.states, name)
		return
	}
	l.states[name] = s
}

// withChangesSince returns l with the changes between old and l. It returns l itself
// if old is nil or l contains changes already.
func (l *List) withChangesSince(old *List) *List {
	if old == nil || len(l.changes) > 0 {
		return l
	}
	var added []change
	for name, s := range l.states {
		if old.State(name) != s {
			added = append(added, change{l.Number, name, s})
		}
	}
	for name := range old.states {
		if _, ok := l.states[name]; !ok {
			added = append(added, change{l.Number, name, VMGone})
		}
	}
	slices.SortFunc(added, func(a, b change) int { return strings.Compare(a.name, b.name) })
	out := &List{Number: l.Number, states: l.states, since: old.since, changes: slices.Concat(old.changes, added)}
	out.trimChanges()
	return out
}

// trimChanges drops the oldest changes beyond maxChanges. Changes with the same number
// are dropped together.
func (l *List) trimChanges() {
	for len(l.changes) > maxChanges {
		l.since = l.changes[0].number
		for len(l.changes) > 0 && l.changes[0].number == l.since {
			l.changes = l.changes[1:]
		}
	}
}

// changesAfter returns the reply to a node that has the list with a number: the later
// changes, or the complete list if they are not all known.
func (l *List) changesAfter(number uint64) *wire.ListReply {
	if l == nil {
		return &wire.ListReply{}
	}
	out := &wire.ListReply{Number: l.Number}
	if number == 0 || number < l.since {
		out.Complete = true
		for name, s := range l.states {
			out.Entries = append(out.Entries, &wire.ListEntry{Name: name, State: string(s)})
		}
		return out
	}
	for _, c := range l.changes {
		if c.number > number {
			out.Entries = append(out.Entries, &wire.ListEntry{Name: c.name, State: string(c.state)})
		}
	}
	return out
}

// apply returns the list that results from a reply to a node that has the list l.
func (l *List) apply(r *wire.ListReply) *List {
	out := &List{Number: r.GetNumber(), since: r.GetNumber(), states: make(map[string]VMState)}
	if !r.GetComplete() && l != nil {
		for name, s := range l.states {
			out.states[name] = s
		}
	}
	for _, e := range r.GetEntries() {
		out.set(e.GetName(), stateOf(e.GetState()))
	}
	return out
}

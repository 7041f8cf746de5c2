package config

import (
	"slices"
	"strings"

	"cassiarack.example/lib/platform"
	"cassiarack.example/lib/wire"
)

// maxChanges bounds the remembered changes of the list, so that a node that is
// a little behind fetches only those.
const maxChanges = 4096

// VMState is what the platform's list says of a VM.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
	VMGone    VMState = "gone"
)

// List is the platform's list of VMs, which lags behind reality. It is
// immutable.
type List struct {
	// Number orders lists.
	Number uint64

	states map[string]VMState
	// changes are the last changes, ordered by number; since is the number
	// after which they are complete.
	changes []change
	since   uint64
}

type change struct {
	number uint64
	name   string
	state  VMState
}

// State returns the state of a VM. A VM that is not listed is gone. Without a
// list, every VM counts as live.
func (l *List) State(vm string) VMState {
	if l == nil {
		return VMLive
	}
	if s, ok := l.states[vm]; ok {
		return s
	}
	return VMGone
}

// VMs returns the VMs in a state, ordered by name; those that are gone are not
// listed.
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

func newList(l *platform.VMList) *List {
	out := &List{Number: l.Revision, since: l.Revision, states: make(map[string]VMState, len(l.VMs))}
	for _, v := range l.VMs {
		out.set(v.Name, stateOf(v.State))
	}
	return out
}

// stateOf treats a state that is not known as live: a list of a newer platform
// must not take VMs out of use.
func stateOf(s string) VMState {
	switch s {
	case platform.StateLeaving:
		return VMLeaving
	case "", string(VMGone):
		return VMGone
	}
	return VMLive
}

func (l *List) set(name string, s VMState) {
	if s == VMGone {
		delete(l.states, name)
		return
	}
	l.states[name] = s
}

// withChangesSince returns l with the changes since old.
func (l *List) withChangesSince(old *List) *List {
	if old == nil || len(l.changes) > 0 {
		return l
	}
	var now []change
	for name, s := range l.states {
		if old.State(name) != s {
			now = append(now, change{l.Number, name, s})
		}
	}
	for name := range old.states {
		if _, ok := l.states[name]; !ok {
			now = append(now, change{l.Number, name, VMGone})
		}
	}
	slices.SortFunc(now, func(a, b change) int { return strings.Compare(a.name, b.name) })
	out := &List{Number: l.Number, states: l.states, since: old.since, changes: slices.Concat(old.changes, now)}
	out.trimChanges()
	return out
}

// trimChanges drops the oldest changes beyond maxChanges, whole numbers at a time.
func (l *List) trimChanges() {
	for len(l.changes) > maxChanges {
		l.since = l.changes[0].number
		for len(l.changes) > 0 && l.changes[0].number == l.since {
			l.changes = l.changes[1:]
		}
	}
}

// changesAfter returns what a node that has the list of a number lacks.
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

// apply returns the list of a reply to a node that has l.
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

package roster

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"cassiarack.example/lib/golden"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func entry(id string, f ...func(*Instance)) Instance {
	i := Instance{ID: id, Service: "s", Address: netip.MustParseAddrPort("10.0.0." + id + ":80"), DataCentre: "a",
		Slots: 3, StartedAt: start}
	for _, change := range f {
		change(&i)
	}
	return i
}

func draining(i *Instance)  { i.Draining = true }
func restarted(i *Instance) { i.StartedAt = start.Add(time.Second) }
func heartbeat(i *Instance) { i.Revision++ }

// TestReplace guards against instances that stay after they left, against
// instances that are removed although only their entry expired during an
// outage, and against lists that arrive late.
func TestReplace(t *testing.T) {
	steps := []struct {
		name string
		// at is when the list was requested; it is applied 10 ms later.
		at   time.Duration
		list []Instance
	}{
		{"first", 0, []Instance{entry("1"), entry("2")}},
		{"heartbeat", 450 * time.Millisecond, []Instance{entry("1", heartbeat), entry("2", heartbeat)}},
		{"draining and new", 900 * time.Millisecond, []Instance{entry("1"), entry("2", draining), entry("3")}},
		{"removed", 1300 * time.Millisecond, []Instance{entry("1"), entry("3")}},
		{"older list", 900 * time.Millisecond, []Instance{entry("1"), entry("2"), entry("3")}},
		{"restarted", 1750 * time.Millisecond, []Instance{entry("1", restarted), entry("3")}},
		{"after an outage", 8 * time.Second, []Instance{entry("3")}},
		{"returned", 8500 * time.Millisecond, []Instance{entry("1", restarted), entry("3")}},
		{"after another outage", 20 * time.Second, []Instance{entry("1", restarted)}},
		{"still missing", 21 * time.Second, []Instance{entry("1", restarted)}},
		{"removed after the return time", 22300 * time.Millisecond, []Instance{entry("1", restarted)}},
		{"removed without an outage", 22700 * time.Millisecond, nil},
	}
	var r Roster
	var b strings.Builder
	for _, s := range steps {
		readAt := start.Add(s.at)
		changes := r.Replace(readAt.Add(10*time.Millisecond), readAt, s.list)
		fmt.Fprintf(&b, "%s: %s\n", s.name, render(changes))
		for _, i := range r.Select(anyService).Instances {
			fmt.Fprintf(&b, "  %s draining %t started %v\n", i.ID, i.Draining, i.StartedAt.Sub(start))
		}
	}
	golden.Check(t, "replace", b.String())
}

// listAt returns the list of a node that has read no list before it.
func listAt(at time.Duration, entries ...Instance) List {
	return List{ReadAt: start.Add(at), UnbrokenSince: start.Add(at), Instances: entries}
}

// fleet is a set of nodes that read lists and adopt those of each other.
type fleet struct {
	nodes map[string]*Roster
	out   strings.Builder
}

// read applies a list that a node requested at the given time, 10 ms later.
func (f *fleet) read(node string, at time.Duration, list ...string) {
	var entries []Instance
	for _, id := range list {
		entries = append(entries, entry(id))
	}
	readAt := start.Add(at)
	f.note(at, node+" reads "+strings.Join(list, " "), node, f.node(node).Replace(readAt.Add(10*time.Millisecond), readAt, entries))
}

// adopt lets a node adopt the list of another one.
func (f *fleet) adopt(node string, at time.Duration, from string) {
	f.note(at, node+" adopts from "+from, node, f.node(node).Adopt(start.Add(at), f.node(from).List()))
}

func (f *fleet) node(name string) *Roster {
	if f.nodes == nil {
		f.nodes = make(map[string]*Roster)
	}
	if f.nodes[name] == nil {
		f.nodes[name] = &Roster{}
	}
	return f.nodes[name]
}

func (f *fleet) note(at time.Duration, what, node string, changes []Change) {
	r := f.node(node)
	fmt.Fprintf(&f.out, "%v %s: %s; has %s, %d missing\n", at, what, render(changes), ids(r.Entries()), r.Missing())
}

// TestReturnFromCut guards against a node that returns from a cut and brings instances
// back, at all nodes that adopt its list, that left meanwhile.
func TestReturnFromCut(t *testing.T) {
	var f fleet
	const step = 450 * time.Millisecond
	for _, node := range []string{"cut", "other"} {
		f.read(node, 0, "1", "2", "3")
	}
	f.read("other", step, "1", "2", "3")
	f.read("other", 2*step, "1", "2", "3")
	f.read("other", 3*step, "1", "2")
	f.read("other", 4*step, "1", "2")
	f.read("cut", 5*step, "1", "2")
	f.adopt("other", 5*step+20*time.Millisecond, "cut")
	f.adopt("cut", 5*step+30*time.Millisecond, "other")
	f.read("other", 6*step, "1", "2")
	f.adopt("cut", 6*step+20*time.Millisecond, "other")
	f.read("other", 7*step, "2")
	f.adopt("cut", 7*step+20*time.Millisecond, "other")
	golden.Check(t, "cut", f.out.String())
}

// TestOutage guards against instances that are removed although only their entries expired
// in an outage of the platform, wherever a node has its list from, and against instances
// that stay although they did not return.
func TestOutage(t *testing.T) {
	var f fleet
	for _, node := range []string{"reader", "other", "late"} {
		f.read(node, 0, "1", "2", "3", "4")
	}
	f.read("reader", 6*time.Second, "1")
	f.adopt("other", 6020*time.Millisecond, "reader")
	f.read("new", 6100*time.Millisecond, "1")
	f.adopt("reader", 6120*time.Millisecond, "new")
	f.adopt("late", 6130*time.Millisecond, "new")
	f.adopt("newer", 6140*time.Millisecond, "reader")
	f.read("other", 6450*time.Millisecond, "1", "2")
	f.adopt("reader", 6470*time.Millisecond, "other")
	f.adopt("late", 6480*time.Millisecond, "other")
	f.adopt("newer", 6490*time.Millisecond, "other")
	f.read("other", 7*time.Second, "1", "2", "3")
	f.read("other", 8300*time.Millisecond, "1", "2", "3")
	for _, node := range []string{"reader", "late", "newer"} {
		f.adopt(node, 8320*time.Millisecond, "other")
	}
	f.read("reader", 8750*time.Millisecond, "1", "2", "3")
	golden.Check(t, "outage", f.out.String())
}

// TestAdopt guards against adopting a list of another node that is older than
// the node's own.
func TestAdopt(t *testing.T) {
	var r Roster
	var b strings.Builder
	fmt.Fprintln(&b, "newer:", render(r.Adopt(start.Add(time.Second), listAt(time.Second, entry("1"), entry("2")))))
	fmt.Fprintln(&b, "older:", render(r.Adopt(start, listAt(0, entry("3")))))
	r.Confirm(start.Add(3 * time.Second))
	fmt.Fprintln(&b, "older than confirmed:", render(r.Adopt(start.Add(2*time.Second), listAt(2*time.Second, entry("3")))))
	other := Roster{}
	other.Adopt(start, listAt(0, entry("2", heartbeat), entry("1", heartbeat)))
	fmt.Fprintln(&b, "same digest without revisions:", r.Digest() == other.Digest())
	other.Adopt(start.Add(time.Second), listAt(time.Second, entry("1"), entry("2", draining)))
	fmt.Fprintln(&b, "other digest when draining:", r.Digest() != other.Digest())
	golden.Check(t, "adopt", b.String())
}

// TestSuperseded guards against requests to an instance whose address another
// one has taken over: after a power loss the entries from before it stay until
// they expire.
func TestSuperseded(t *testing.T) {
	at := func(address string) func(*Instance) {
		return func(i *Instance) { i.Address = netip.MustParseAddrPort(address) }
	}
	var r Roster
	r.Replace(start, start, []Instance{entry("1", at("10.0.0.9:80")), entry("2", at("10.0.0.9:80"), restarted),
		entry("3", at("10.0.0.8:80"), heartbeat), entry("4", at("10.0.0.8:80")), entry("5", at("10.0.0.8:81"))})
	var b strings.Builder
	for _, i := range r.Select(anyService).Instances {
		fmt.Fprintln(&b, i.ID, i.Address)
	}
	golden.Check(t, "superseded", b.String())
}

// anyService accepts all services.
func anyService(string) bool { return true }

// TestUnnamedService guards against an entry of another writer, whose service no
// configuration names, that takes the place of a live instance at its address:
// the instance got no more requests. The entry is still exchanged between
// nodes, and is an instance once a configuration names its service.
func TestUnnamedService(t *testing.T) {
	agent := func(i *Instance) { i.Service = "agent" }
	at := func(address string) func(*Instance) {
		return func(i *Instance) { i.Address = netip.MustParseAddrPort(address) }
	}
	var r Roster
	r.Replace(start, start, []Instance{entry("1", at("10.0.0.9:80")), entry("2", agent, restarted, at("10.0.0.9:80")),
		entry("3", agent), entry("4", at("10.0.0.4:80")), entry("5", restarted, at("10.0.0.4:80"))})
	var b strings.Builder
	fmt.Fprintln(&b, "entries:", ids(r.Entries()))
	for _, named := range []map[string]bool{{"s": true}, {"s": true, "agent": true}, {}} {
		s := r.Select(func(service string) bool { return named[service] })
		fmt.Fprintf(&b, "named %v: instances %s; unnamed %s; superseded %s\n", named, ids(s.Instances), ids(s.Unnamed), ids(s.Superseded))
	}
	golden.Check(t, "unnamed", b.String())
}

func ids(list []Instance) string {
	var out []string
	for _, i := range list {
		out = append(out, i.ID)
	}
	return strings.Join(out, " ")
}

func render(changes []Change) string {
	var parts []string
	for _, c := range changes {
		what := "set"
		if c.Removed {
			what = "removed"
		}
		parts = append(parts, c.Instance.ID+" "+what)
	}
	return strings.Join(parts, ", ")
}

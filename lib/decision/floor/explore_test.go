package floor

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"cassiarack.example/lib/golden"
)

// view is the set of leases that a node knows. The exploration also runs with a
// faulty implementation.
type view interface {
	Merge(now time.Time, x Lease) bool
	Running(now time.Time) []Lease
	clone() view
}

// tokenView is the implementation under test.
type tokenView struct{ *Leases }

func (v tokenView) clone() view {
	return tokenView{&Leases{Assignment: v.Assignment, byToken: maps.Clone(v.byToken)}}
}

// instanceView is a faulty view that keeps one lease for each instance instead
// of one for each token.
type instanceView struct{ byInstance map[string]Lease }

func (v instanceView) Merge(_ time.Time, x Lease) bool {
	if old, ok := v.byInstance[x.Instance]; ok && old.Sequence >= x.Sequence {
		return false
	}
	v.byInstance[x.Instance] = x
	return true
}

func (v instanceView) Running(now time.Time) []Lease {
	var out []Lease
	for _, i := range slices.Sorted(maps.Keys(v.byInstance)) {
		if x := v.byInstance[i]; now.Before(x.Until) {
			out = append(out, x)
		}
	}
	return out
}

func (v instanceView) clone() view { return instanceView{maps.Clone(v.byInstance)} }

// world is a state of the exploration: a service with holders, one node that is
// not a holder, and a network that loses, duplicates, delays and reorders
// messages.
type world struct {
	now     time.Time
	holders []*Holder
	// views contains the view of each holder and, last, that of the other node.
	views   []view
	network []Lease
	issued  []Lease
	starts  int
	trace   []string
}

// exploration tries all orders of steps up to a depth and records its counts and
// the first trace of each failure.
type exploration struct {
	assignment *Assignment
	instances  []string
	depth      int
	// quarantine and maxLeaseLength configure the holders.
	quarantine, maxLeaseLength time.Duration
	newView                    func() view
	// allowAfterRestart allows a grant while a lease longer than FirstLease still
	// runs that the holder granted before its last restart. The design allows this
	// case.
	allowAfterRestart bool

	states   int
	granted  int
	ejected  int
	failures map[string]string
}

var epoch = time.Unix(1_000_000, 0)

func (e *exploration) start() *world {
	w := &world{now: epoch}
	for _, vm := range slices.Compact(slices.Clone(e.assignment.Holders)) {
		w.holders = append(w.holders, e.holder(w, vm))
		w.views = append(w.views, e.newView())
	}
	w.views = append(w.views, e.newView())
	w.now = w.now.Add(e.quarantine)
	return w
}

func (e *exploration) holder(w *world, vm string) *Holder {
	w.starts++
	h := NewHolder(w.now, vm, uint64(w.starts)<<32)
	h.QuarantineLength, h.MaxLeaseLength = e.quarantine, e.maxLeaseLength
	h.Adopt(w.now, e.assignment)
	return h
}

func cloneHolder(h *Holder) *Holder {
	c := *h
	c.tokens = make(map[int]*token)
	for u, t := range h.tokens {
		x := *t
		c.tokens[u] = &x
	}
	c.histories = maps.Clone(h.histories)
	return &c
}

func (w *world) clone(step string) *world {
	c := &world{now: w.now, starts: w.starts, network: slices.Clone(w.network), issued: slices.Clone(w.issued),
		trace: append(slices.Clone(w.trace), step)}
	for _, h := range w.holders {
		c.holders = append(c.holders, cloneHolder(h))
	}
	for _, v := range w.views {
		c.views = append(c.views, v.clone())
	}
	return c
}

// key identifies a state regardless of the steps that led to it. Times are
// relative to now.
func (w *world) key() string {
	var b strings.Builder
	at := func(t time.Time) time.Duration { return t.Sub(w.now) }
	lease := func(x Lease) {
		fmt.Fprint(&b, x.Instance, x.Token, x.Sequence>>32, x.Sequence&0xffff, at(x.Until), x.TrialShare, ";")
	}
	for _, h := range w.holders {
		fmt.Fprint(&b, "h", at(h.quarantineStart), h.sequence)
		for _, u := range slices.Sorted(maps.Keys(h.tokens)) {
			t := h.tokens[u]
			fmt.Fprint(&b, u, t.instance, at(t.busyUntil), at(t.ejectedUntil), t.leaseLength, at(t.lastStep))
			lease(t.lease)
		}
	}
	for _, v := range w.views {
		fmt.Fprint(&b, "v")
		for _, x := range v.Running(w.now) {
			lease(x)
		}
	}
	fmt.Fprint(&b, "n")
	for _, x := range w.network {
		lease(x)
	}
	for _, x := range w.issued {
		lease(x)
	}
	return b.String()
}

// issue adds leases to the network and to the view of holder k, which granted
// them.
func (w *world) issue(k int, xs []Lease) {
	for _, x := range xs {
		w.views[k].Merge(w.now, x)
		w.network = append(w.network, x)
		w.issued = append(w.issued, x)
	}
}

// request asks holder k to eject an instance and checks that no other lease of
// the token may still run.
func (e *exploration) request(w *world, k int, instance string) {
	r := w.holders[k].Request(w.now, instance, "", e.assignment.ID, w.views[k].Running(w.now))
	if !r.Granted || r.Lease.Granted != w.now {
		return
	}
	e.granted++
	for _, x := range w.issued {
		mayRun := x.Token == r.Lease.Token && x.Instance != instance && w.now.Before(x.Until.Add(Transit))
		restarted := x.Sequence>>32 != r.Lease.Sequence>>32
		if mayRun && (!e.allowAfterRestart || !restarted || x.Until.Sub(x.Granted) <= FirstLease) {
			e.fail("token granted while a lease may run", w)
		}
	}
	w.issue(k, []Lease{r.Lease})
}

func (e *exploration) fail(what string, w *world) {
	if _, ok := e.failures[what]; !ok {
		e.failures[what] = strings.Join(w.trace, ", ")
	}
}

// next returns the states after each possible step.
func (e *exploration) next(w *world) []*world {
	var out []*world
	step := func(name string, f func(*world)) {
		c := w.clone(name)
		f(c)
		out = append(out, c)
	}
	step("tick", func(c *world) { e.advance(c, true) })
	step("4 ticks", func(c *world) {
		for range 4 {
			e.advance(c, true)
		}
	})
	for k, h := range w.holders {
		for _, i := range e.instances {
			step(fmt.Sprint("request ", i, " at ", h.VM), func(c *world) { e.request(c, k, i) })
		}
		step("restart "+h.VM, func(c *world) { c.holders[k], c.views[k] = e.holder(c, h.VM), e.newView() })
		step("pause "+h.VM, func(c *world) { e.advance(c, false); e.advance(c, false); c.holders[k].Resume(c.now) })
	}
	for m, x := range w.network {
		// A message carries the remaining time of its lease, so the lease ends later
		// when the message is delayed.
		step(fmt.Sprint("deliver ", x.Instance), func(c *world) {
			x.Until = c.now.Add(c.network[m].Until.Sub(c.network[m].Granted))
			for k := range c.views {
				c.views[k].Merge(c.now, x)
				if k < len(c.holders) {
					c.holders[k].ObserveLease(c.now, x)
				}
			}
		})
		step(fmt.Sprint("deliver to the last node ", x.Instance), func(c *world) {
			x.Until = c.now.Add(c.network[m].Until.Sub(c.network[m].Granted))
			c.views[len(c.views)-1].Merge(c.now, x)
		})
	}
	return out
}

// advance moves the time on by one second. If ticks is false, the holders do not
// run, as in a pause.
func (e *exploration) advance(c *world, ticks bool) {
	c.now = c.now.Add(time.Second)
	c.issued = slices.DeleteFunc(c.issued, func(x Lease) bool { return !c.now.Before(x.Until.Add(Transit)) })
	for k, h := range c.holders {
		if ticks {
			c.issue(k, h.Tick(c.now, c.views[k].Running(c.now)))
		}
	}
}

func (e *exploration) run() {
	e.failures = make(map[string]string)
	seen := make(map[string]bool)
	level := []*world{e.start()}
	for range e.depth {
		var next []*world
		for _, w := range level {
			for _, c := range e.next(w) {
				k := c.key()
				if seen[k] {
					continue
				}
				seen[k] = true
				e.check(c)
				next = append(next, c)
			}
		}
		level = next
	}
	e.states = len(seen)
}

func (e *exploration) check(w *world) {
	for _, v := range w.views {
		out := make(map[string]bool)
		for _, x := range v.Running(w.now) {
			out[x.Instance] = true
		}
		e.ejected = max(e.ejected, len(out))
		if len(out) > e.assignment.Spare {
			e.fail("more instances ejected than tokens", w)
		}
	}
}

// TestExplore guards against a node that ejects more instances than there are
// tokens, and against a token that is granted while an earlier lease of it may
// still run. It tries all orders of loss, duplication, delay, pause and restart
// up to a depth. The cases named "mutation" contain a fault on purpose and show
// that the exploration finds it. CASSIARACK_LONG=1 raises the depth by one step.
func TestExplore(t *testing.T) {
	one := &Assignment{ID: 7, Service: "s", Holders: []string{"x"}, Spare: 1}
	two := &Assignment{ID: 8, Service: "s", Holders: []string{"x", "y"}, Spare: 2}
	tokens := func(a *Assignment) func() view {
		return func() view { return tokenView{&Leases{Assignment: a}} }
	}
	byInstance := func() view { return instanceView{make(map[string]Lease)} }
	quarantine := FirstLease + Transit
	cases := []struct {
		name  string
		e     exploration
		holds bool
	}{
		{"one token, leases of one length", exploration{assignment: one, instances: []string{"a", "b"}, depth: 6,
			quarantine: quarantine, maxLeaseLength: FirstLease, newView: tokens(one)}, true},
		{"one token, leases that double", exploration{assignment: one, instances: []string{"a", "b"}, depth: 6,
			quarantine: quarantine, maxLeaseLength: MaxLease, newView: tokens(one), allowAfterRestart: true}, true},
		{"two tokens", exploration{assignment: two, instances: []string{"a", "b", "c"}, depth: 4,
			quarantine: quarantine, maxLeaseLength: FirstLease, newView: tokens(two)}, true},
		{"mutation: no quarantine", exploration{assignment: one, instances: []string{"a", "b"}, depth: 5,
			quarantine: 0, maxLeaseLength: FirstLease, newView: tokens(one)}, false},
		{"mutation: leases keyed by instance", exploration{assignment: one, instances: []string{"a", "b"}, depth: 6,
			quarantine: quarantine, maxLeaseLength: FirstLease, newView: byInstance}, false},
	}
	long := os.Getenv("CASSIARACK_LONG") != ""
	var b strings.Builder
	for _, c := range cases {
		if long {
			c.e.depth++
		}
		c.e.run()
		t.Logf("%s: depth %d, %d states, %d grants", c.name, c.e.depth, c.e.states, c.e.granted)
		fmt.Fprintf(&b, "%s: depth %d, %d states, %d grants, at most %d ejected\n", c.name, c.e.depth, c.e.states,
			c.e.granted, c.e.ejected)
		for _, f := range slices.Sorted(maps.Keys(c.e.failures)) {
			fmt.Fprintf(&b, "  %s: %s\n", f, c.e.failures[f])
		}
		if holds := len(c.e.failures) == 0; holds != c.holds {
			t.Errorf("%s: holds %v, want %v: %v", c.name, holds, c.holds, c.e.failures)
		}
	}
	if !long {
		golden.Check(t, "explore", b.String())
	}
}

package floor

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/golden"
)

// script runs a holder through a sequence of events and records its answers.
type script struct {
	b      strings.Builder
	now    time.Time
	holder *Holder
	view   *Leases
}

func newScript(a *Assignment, vm string) *script {
	s := &script{now: epoch, holder: NewHolder(epoch, vm, 0), view: &Leases{Assignment: a}}
	s.holder.Adopt(s.now, a)
	return s
}

func (s *script) note(format string, args ...any) {
	fmt.Fprintf(&s.b, "%7v  ", s.now.Sub(epoch))
	fmt.Fprintf(&s.b, format+"\n", args...)
}

func (s *script) noteLease(what string, x Lease) {
	s.view.Merge(s.now, x)
	s.note("%s: token %d, %s for %v, share %d", what, x.Token, x.Instance, x.Until.Sub(s.now), s.view.Share(s.now, x.Instance))
}

func (s *script) request(instance string) {
	r := s.holder.Request(s.now, instance, "server: errors", s.holder.assignment.ID, s.view.Running(s.now))
	if !r.Granted {
		s.note("request %s: refused: %s %s", instance, r.Refusal, r.Detail)
		return
	}
	s.noteLease("request", r.Lease)
}

// advance ticks once a second until d has passed. clean is the number of
// successful requests that instance a serves in each second.
func (s *script) advance(d time.Duration, clean int) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(time.Second)
		if clean > 0 {
			s.holder.RecordClean(s.now, "a", clean)
		}
		for _, x := range s.holder.Tick(s.now, s.view.Running(s.now)) {
			s.noteLease("tick", x)
		}
	}
}

// TestHolder guards against faults in the course of an ejection: quarantine,
// grant, renewals, trial, return to full use, a longer ejection for an instance
// that fails again soon, and the reason given with each refusal.
func TestHolder(t *testing.T) {
	a := &Assignment{ID: 7, Service: "quotes", Holders: []string{"x", "y"}, Spare: 2}
	s := newScript(a, "x")
	s.request("a")
	s.advance(4*time.Second, 0)
	s.request("a")
	s.request("b")
	s.advance(14*time.Second, 2)
	s.note("-- a fails again after its trial")
	s.request("a")
	s.advance(11*time.Second, 0)
	s.note("-- a is suspected on trial")
	s.request("a")
	s.advance(3*time.Second, 0)
	s.note("-- two other instances go down")
	s.holder.SetDown(map[string]bool{"c": true, "d": true})
	s.advance(time.Second, 0)
	s.request("a")
	s.holder.SetDown(nil)
	s.request("b")
	s.note("-- pause")
	s.advance(20*time.Second, 0)
	s.holder.Resume(s.now)
	s.request("b")
	s.note("-- restart, and another node knows the lease of a")
	s.holder = NewHolder(s.now, "x", 100)
	s.holder.Adopt(s.now, a)
	s.holder.ObserveLease(s.now, Lease{Service: "quotes", Instance: "a", Holder: "x", Assignment: 7, Sequence: 9,
		Granted: s.now, Until: s.now.Add(8 * time.Second)})
	s.advance(5*time.Second, 0)
	s.request("b")
	s.note("-- other assignment")
	r := s.holder.Request(s.now, "b", "", 6, nil)
	s.note("request b: %s", r.Refusal)
	s.holder.Adopt(s.now, &Assignment{ID: 9, Service: "quotes"})
	s.request("b")
	golden.Check(t, "holder", s.b.String())
}

// TestMerge guards against recording a lease that must be ignored: one that is
// older than the known lease, or one of another assignment or a wrong holder.
func TestMerge(t *testing.T) {
	l := &Leases{Assignment: &Assignment{ID: 7, Service: "s", Holders: []string{"x", "y"}, Spare: 2}}
	var b strings.Builder
	base := Lease{Service: "s", Instance: "a", Holder: "x", Assignment: 7, Sequence: 5, Until: epoch.Add(3 * time.Second)}
	cases := []struct {
		name   string
		change func(*Lease)
	}{
		{"first", func(*Lease) {}},
		{"duplicate", func(*Lease) {}},
		{"older, other instance", func(x *Lease) { x.Sequence, x.Instance = 4, "b" }},
		{"newer, other instance", func(x *Lease) { x.Sequence, x.Instance = 6, "b" }},
		{"holder of another token", func(x *Lease) { x.Sequence, x.Holder = 9, "y" }},
		{"token out of range", func(x *Lease) { x.Sequence, x.Token = 9, 2 }},
		{"other assignment", func(x *Lease) { x.Sequence, x.Assignment = 9, 8 }},
		{"second token", func(x *Lease) { x.Token, x.Holder, x.Instance = 1, "y", "c" }},
		{"ended early", func(x *Lease) { x.Sequence, x.Instance, x.Until = 7, "b", epoch }},
		{"late copy of the lease that ended early", func(x *Lease) { x.Sequence, x.Instance = 6, "b" }},
	}
	for _, c := range cases {
		x := base
		c.change(&x)
		fmt.Fprintf(&b, "%s: recorded %v; ejected:", c.name, l.Merge(epoch, x))
		for _, r := range l.Running(epoch) {
			fmt.Fprintf(&b, " %d=%s", r.Token, r.Instance)
		}
		b.WriteString("\n")
	}
	golden.Check(t, "merge", b.String())
}

// TestAssign guards against an assignment that gives all tokens to VMs of one
// data centre, or that changes with the order of the register.
func TestAssign(t *testing.T) {
	var b strings.Builder
	for _, n := range []int{1, 2, 3, 6, 9, 12} {
		s := &config.Service{Name: "quotes", Floor: (2*n + 2) / 3}
		for i := range n {
			vm := &config.VM{Name: fmt.Sprintf("vm-%02d", i), DataCentre: fmt.Sprintf("riga-%d", i%3+1)}
			s.Instances = append(s.Instances, &config.Instance{Name: vm.Name, VM: vm, Service: s})
		}
		a := Assign(s)
		fmt.Fprintf(&b, "%d instances, floor %d: spare %d, holders %v\n", n, s.Floor, a.Spare, a.Holders)
	}
	golden.Check(t, "assign", b.String())
}

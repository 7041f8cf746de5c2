package handover

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cassiarack.example/lib/golden"
)

// TestGrantTable guards against a commit that starts work after the grant
// expired or was settled, or after the gate was paused or restarted. It also
// guards against records that are never removed.
func TestGrantTable(t *testing.T) {
	const step = 100 * time.Millisecond
	now := time.Now()
	a := Attempt{1}
	cases := []struct {
		name string
		do   func(g *GrantTable, gr Grant, note func(any))
	}{
		{"commit in time", func(g *GrantTable, gr Grant, note func(any)) { note(g.Commit(now, gr)) }},
		{"commit twice", func(g *GrantTable, gr Grant, note func(any)) { note(g.Commit(now, gr)); note(g.Commit(now, gr)) }},
		{"commit after the grant timeout, before a tick", func(g *GrantTable, gr Grant, note func(any)) {
			for i := range 10 {
				g.Heartbeat(now.Add(time.Duration(i+1) * step))
			}
			note(g.Commit(now.Add(time.Second), gr))
			note(g.Settle(now, a, gr))
		}},
		{"commit after a pause, before a tick", func(g *GrantTable, gr Grant, note func(any)) {
			note(g.Commit(now.Add(600*time.Millisecond), gr))
			note(g.Settle(now, a, gr))
		}},
		{"commit after a pause that only the wall clock shows", func(g *GrantTable, gr Grant, note func(any)) {
			// The last heartbeat has no monotonic reading, as after a
			// suspension in which the monotonic clock stopped.
			g.lastHeartbeat = g.lastHeartbeat.Round(0).Add(-time.Second)
			note(g.Commit(now, gr))
		}},
		{"tick after a pause", func(g *GrantTable, gr Grant, note func(any)) {
			freed, paused := g.Heartbeat(now.Add(600 * time.Millisecond))
			note(fmt.Sprint(len(freed), paused))
			note(g.Commit(now.Add(600*time.Millisecond), gr))
		}},
		{"commit of another incarnation", func(g *GrantTable, gr Grant, note func(any)) {
			gr.Incarnation++
			note(g.Commit(now, gr))
			note(g.Settle(now, a, gr))
		}},
		{"commit after settle", func(g *GrantTable, gr Grant, note func(any)) { note(g.Settle(now, a, gr)); note(g.Commit(now, gr)) }},
		{"settle after commit", func(g *GrantTable, gr Grant, note func(any)) { note(g.Commit(now, gr)); note(g.Settle(now, a, gr)) }},
		{"reserve after settle", func(g *GrantTable, gr Grant, note func(any)) {
			note(g.Settle(now, Attempt{2}, Grant{Incarnation: gr.Incarnation}))
			note(g.Open(now, Attempt{2}))
		}},
		{"removal of old records", func(g *GrantTable, gr Grant, note func(any)) {
			note(g.Commit(now, gr))
			g.Expire(now.Add(time.Hour))
			note(len(g.attempts)) // the record of running work is kept
			g.Finish(now.Add(time.Hour), gr)
			g.Expire(now.Add(3 * time.Hour))
			note(fmt.Sprint(len(g.attempts), len(g.grants), len(g.expiryQueue), len(g.removalQueue)))
			note(g.Settle(now.Add(3*time.Hour), a, gr))
		}},
	}
	var b strings.Builder
	for _, c := range cases {
		g := &GrantTable{Incarnation: 7, GrantTimeout: time.Second, Retention: time.Minute, MaxGap: 500 * time.Millisecond}
		g.Heartbeat(now)
		if err := g.Open(now, a); err != nil {
			t.Fatal(err)
		}
		gr, err := g.Reserve(now, a)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&b, "%s:\n", c.name)
		c.do(g, gr, func(v any) { fmt.Fprintf(&b, "  %v\n", v) })
	}
	golden.Check(t, "gate", b.String())
}

package freshness

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"cassiarack.example/lib/golden"
)

// at returns the time of a boot clock that shows d.
func at(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }

// describe returns a proof as text.
func describe(p Proof, ok bool) string {
	if !ok {
		return "nothing"
	}
	return fmt.Sprintf("version %d at %v", p.Version, p.ProvedAt.Sub(at(0)))
}

// TestStatement guards against ages that are used without the drift of the clocks, and
// against a field that the sender did not set that counts as a proof of age zero.
func TestStatement(t *testing.T) {
	var b strings.Builder
	for _, s := range []Statement{{7, 500 * time.Millisecond}, {7, 2 * time.Second}, {7, 1}, {7, 0}, {7, -1}, {0, time.Second},
		{7, math.MaxInt64}} {
		p, ok := s.Proof(at(10 * time.Second))
		fmt.Fprintf(&b, "version %d, age %v, made at 10s or later: %s\n", s.Version, s.Age, describe(p, ok))
	}
	p, ok := Statement{7, time.Second}.Proof(time.Time{})
	fmt.Fprintf(&b, "made at an unknown time: %s\n", describe(p, ok))
	for _, p := range []Proof{{}, {Version: 7}, {7, at(time.Second)}, {7, at(3 * time.Second)}} {
		fmt.Fprintf(&b, "%s at 3s states %+v\n", describe(p, true), p.Statement(at(3*time.Second)))
	}
	golden.Check(t, "statement", b.String())
}

// TestFresh guards against a configuration that is used up to the bound itself, without
// a margin for the clocks, and against one that is used without a proof or a clock.
func TestFresh(t *testing.T) {
	var b strings.Builder
	p := Proof{Version: 7, ProvedAt: at(10 * time.Second)}
	for _, now := range []time.Duration{9 * time.Second, 10 * time.Second, 14895 * time.Millisecond, 14896 * time.Millisecond,
		15 * time.Second, math.MaxInt64} {
		fmt.Fprintf(&b, "proved at 10s, bound 5s, at %v: %t\n", now, p.Fresh(at(now), 5*time.Second))
	}
	fmt.Fprintf(&b, "without a clock: %t\n", p.Fresh(time.Time{}, 5*time.Second))
	fmt.Fprintf(&b, "without a proof: %t\n", Proof{Version: 7}.Fresh(at(0), 5*time.Second))
	newer, older := Proof{8, at(time.Second)}, Proof{7, at(2 * time.Second)}
	fmt.Fprintf(&b, "a newer version replaces: %t, an older one: %t\n", newer.Replaces(older), older.Replaces(newer))
	fmt.Fprintf(&b, "a later proof replaces: %t, an earlier one: %t, the same: %t\n", p.Replaces(older), older.Replaces(p), p.Replaces(p))
	golden.Check(t, "fresh", b.String())
}

// TestClocks guards against an announcement that proves more than its sender's clock
// shows: one that was sent before the exchange, by another incarnation, or with a clock
// that jumped. It also guards against bounds that drift without being renewed.
func TestClocks(t *testing.T) {
	var b strings.Builder
	var c Clocks[string]
	s := Statement{7, time.Second}
	announce := func(what string, now time.Duration, incarnation uint64, clock time.Duration) {
		p, ok := c.Announced(at(now), "a", incarnation, clock, s)
		fmt.Fprintf(&b, "%s: %s, needs an exchange: %t\n", what, describe(p, ok), c.NeedsExchange(at(now), "a", incarnation))
	}
	reply := func(what string, now time.Duration, nonce uint64, peer string, incarnation uint64, clock time.Duration) {
		asked, ok := c.Reply(at(now), nonce, peer, incarnation, clock)
		fmt.Fprintf(&b, "%s: %t, asked at %v\n", what, ok, max(asked.Sub(at(0)), 0))
	}
	announce("without an exchange", 10*time.Second, 1, 105*time.Second)
	c.Ask(55, "a", at(10*time.Second))
	reply("reply with another nonce", 11*time.Second, 56, "a", 1, 105*time.Second)
	reply("reply of another node", 11*time.Second, 55, "b", 1, 105*time.Second)
	reply("reply", 11*time.Second, 55, "a", 1, 105*time.Second)
	reply("the same reply again", 11*time.Second, 55, "a", 1, 105*time.Second)
	announce("sent before the exchange", 12*time.Second, 1, 104*time.Second)
	announce("sent 2s after it", 13*time.Second, 1, 107*time.Second)
	announce("the same, 8s late", 20*time.Second, 1, 107*time.Second)
	announce("another incarnation", 20*time.Second, 2, 107*time.Second)
	announce("clock ahead of the present", 20*time.Second, 1, 200*time.Second)
	announce("after 20s", 31*time.Second, 1, 125*time.Second)
	c.Ask(57, "a", at(31*time.Second))
	reply("slow reply", 34*time.Second, 57, "a", 1, 128*time.Second)
	announce("the earlier bound is better", 35*time.Second, 1, 129*time.Second)
	c.Ask(58, "a", at(36*time.Second))
	reply("fast reply", 36*time.Second, 58, "a", 1, 131*time.Second)
	announce("the later bound is better", 40*time.Second, 1, 134*time.Second)
	for n := range uint64(maxOpen + 1) {
		c.Ask(100+n, "a", at(50*time.Second))
	}
	reply("question that was dropped", 50*time.Second, 100, "a", 1, 145*time.Second)
	reply("oldest question that is open", 50*time.Second, 101, "a", 2, 45*time.Second)
	c.Retain(func(string) bool { return false })
	announce("after the node left", 51*time.Second, 2, 46*time.Second)
	golden.Check(t, "clocks", b.String())
}

// TestQuestions guards against more than three questions in a second, against questions
// while the proof is young, and against a node that asks the same unreachable neighbour
// again and again or never another data centre.
func TestQuestions(t *testing.T) {
	var b strings.Builder
	near, far := []string{"near0", "near1", "near2"}, []string{"far0", "far1"}
	run := func(what string, near, far []string) {
		var q Questions[string]
		rng := rand.New(rand.NewPCG(1, 1))
		p := Proof{Version: 7, ProvedAt: at(0)}
		fmt.Fprintf(&b, "%s:\n", what)
		var times []time.Duration
		for now := time.Duration(0); now < 5*time.Second; now += 50 * time.Millisecond {
			if now == 4*time.Second {
				p.ProvedAt = at(3 * time.Second)
			}
			if to, ok := q.Next(at(now), p, near, far, rng); ok {
				fmt.Fprintf(&b, "  %v %s\n", now, to)
				times = append(times, now)
			}
		}
		for i := 3; i < len(times); i++ {
			if times[i]-times[i-3] <= time.Second {
				t.Errorf("%s: four questions from %v to %v", what, times[i-3], times[i])
			}
		}
	}
	run("two data centres", near, far)
	run("one data centre", near[:1], nil)
	run("alone in its data centre", nil, far)
	run("no other nodes", nil, nil)
	golden.Check(t, "questions", b.String())
}

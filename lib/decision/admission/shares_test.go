package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cassiarack.example/lib/golden"
)

// TestShares guards against an order in which the organisation that used the most
// goes on to take the slots, in which calls of instances wait behind new requests, and
// in which an urgent organisation waits behind another.
func TestShares(t *testing.T) {
	q := Queue[string]{Slots: 1}
	var b strings.Builder
	offer := func(now time.Duration, name, organisation string, organisationPriority, priority int, nested bool, maxWait time.Duration) {
		started, reason := q.Offer(start.Add(now), Request{Route: "r", Priority: priority, Target: start.Add(now + 2*time.Second),
			Deadline: start.Add(now + 4*time.Second), MaxWait: maxWait, Organisation: organisation,
			OrganisationPriority: organisationPriority, Nested: nested}, name)
		e, displaced := q.Displaced(start.Add(now))
		fmt.Fprintf(&b, "%v offer %s: started %t, refused %q, displaced %t %s\n", now, name, started, reason, displaced, e.Value)
	}
	running := "a0"
	finish := func(now time.Duration) {
		q.Finish(start.Add(now), running, 150*ms)
		next, started, _ := q.Next(start.Add(now))
		use, part := q.RecentUse(start.Add(now), Request{Organisation: "a"})
		fmt.Fprintf(&b, "%v finish %s: next %q, started %t; use of a %v, %.2f of all\n", now, running, next.Value, started,
			use.Round(ms), part)
		running = next.Value
	}
	offer(0, "a0", "a", 1, 1, false, time.Second)
	offer(0, "a1", "a", 1, 1, false, 400*ms)
	offer(0, "a2", "a", 1, 1, false, 400*ms)
	offer(1*ms, "b0", "b", 1, 1, false, time.Second)
	offer(2*ms, "b1", "b", 1, 1, false, time.Second)
	offer(3*ms, "urgent route", "a", 1, 0, false, time.Second)
	offer(4*ms, "urgent organisation", "c", 0, 1, false, time.Second)
	offer(5*ms, "nested", "", 0, 2, true, time.Second)
	for n := range 6 {
		finish(time.Duration(n+1) * 150 * ms)
	}
	golden.Check(t, "shares", b.String())
}

// TestNeglectedRank guards against kinds of requests that starve because more urgent
// ones fill the slots for long.
func TestNeglectedRank(t *testing.T) {
	q := Queue[int]{Slots: 1}
	asked, served := [2]int{}, [2]int{}
	running := -1
	for n := range 2000 {
		now := start.Add(time.Duration(n) * 50 * ms)
		kind := n % 2
		asked[kind]++
		ok, _ := q.Offer(now, Request{Route: "r", Priority: kind, Target: now.Add(time.Second), Deadline: now.Add(2 * time.Second),
			MaxWait: 500 * ms, Organisation: fmt.Sprint("o", n%6)}, n)
		if ok {
			running = n
			served[kind]++
		}
		// Each run takes 150 ms, so the slot serves a third of the demand.
		if n%3 == 0 && running >= 0 {
			q.Finish(now, running, 150*ms)
			running = -1
			if next, started, _ := q.Next(now); started {
				running = next.Value
				served[next.Priority]++
			}
		}
	}
	part := func(served, asked int) float64 { return float64(served) / float64(asked) }
	all := part(served[0]+served[1], asked[0]+asked[1])
	golden.Check(t, "neglected", fmt.Sprintf("served part: urgent %.3f, less urgent %.3f, all %.3f\n", part(served[0], asked[0]),
		part(served[1], asked[1]), all))
	if got := part(served[1], asked[1]); got < all/4 {
		t.Errorf("%.3f of the less urgent requests are served, want at least a quarter of %.3f", got, all)
	}
}

// TestFloodOfPublicRequests guards against an organisation that is starved by requests
// without an organisation. Calls of instances cannot be told from requests of public
// routes, so either may exceed the room. It fails if nested requests go before
// promoted ones.
func TestFloodOfPublicRequests(t *testing.T) {
	const (
		slots   = 3
		runTime = 100 * ms
		length  = 60 * time.Second
	)
	q := Queue[int]{Slots: slots}
	offered, served := map[string]int{}, map[string]int{}
	names, ends := map[int]string{}, map[int]time.Time{}
	id := 0
	offer := func(now time.Time, r Request, name string) {
		id++
		offered[name]++
		r.Route, r.Target, r.Deadline, r.MaxWait = "r", now.Add(time.Second), now.Add(4*time.Second), 500*ms
		names[id] = name
		if started, _ := q.Offer(now, r, id); started {
			ends[id] = now.Add(runTime)
		}
	}
	for step := time.Duration(0); step < length; step += 2 * ms {
		now := start.Add(step)
		for i, at := range ends {
			if !at.After(now) {
				q.Finish(now, i, runTime)
				delete(ends, i)
				served[names[i]]++
			}
		}
		if step%(10*ms) == 0 {
			offer(now, Request{Nested: true}, "without an organisation")
		}
		if step%(66*ms) == 0 {
			offer(now, Request{Organisation: "a", OrganisationPriority: 1, Priority: 1}, "organisation")
		}
		for {
			next, started, _ := q.Next(now)
			if !started {
				break
			}
			ends[next.Value] = now.Add(runTime)
		}
	}
	part := func(name string) float64 { return float64(served[name]) / float64(offered[name]) }
	all := float64(served["organisation"]+served["without an organisation"]) /
		float64(offered["organisation"]+offered["without an organisation"])
	if part("organisation") < all/4 {
		t.Errorf("the organisation is served %.3f, all %.3f", part("organisation"), all)
	}
	golden.Check(t, "flood", fmt.Sprintf("organisation %.2f, without an organisation %.2f, all %.2f\n", part("organisation"),
		part("without an organisation"), all))
}

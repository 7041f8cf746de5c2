package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cassiarack.example/lib/golden"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const ms = time.Millisecond

// TestQueue guards against a queue that keeps requests that cannot be served
// before their deadline, and against an order in which late or less urgent
// requests delay others.
func TestQueue(t *testing.T) {
	q := Queue[string]{Slots: 1}
	var b strings.Builder
	offer := func(now time.Duration, name string, priority int, target, deadline, maxWait time.Duration) {
		started, reason := q.Offer(start.Add(now), Request{Route: "r", Priority: priority, Target: start.Add(target),
			Deadline: start.Add(deadline), MaxWait: maxWait}, name)
		fmt.Fprintf(&b, "%v offer %s: started %t, refused %q, running %d, waiting %d\n", now, name, started, reason,
			q.Running(), q.Waiting())
	}
	running := "first"
	finish := func(now, ran time.Duration) {
		q.Finish(start.Add(now), running, ran)
		next, started, expired := q.Next(start.Add(now))
		running = next.Value
		fmt.Fprintf(&b, "%v finish after %v: next %q, started %t, expired %d, expected %v\n", now, ran, next.Value,
			started, len(expired), q.ExpectedRunTime("r").Round(ms))
	}
	offer(0, "first", 1, 800*ms, 2000*ms, time.Second)
	offer(0, "no time left", 1, 10*ms, 20*ms, time.Second)
	offer(0, "short maximum wait", 1, 800*ms, 2000*ms, 10*ms)
	offer(0, "less urgent", 2, 800*ms, 2000*ms, 5*time.Second)
	offer(0, "target cannot be met", 0, 10*ms, 2000*ms, 5*time.Second)
	offer(0, "urgent", 1, 900*ms, 2000*ms, 5*time.Second)
	offer(0, "urgent, earlier target", 1, 700*ms, 2000*ms, 5*time.Second)
	offer(0, "short deadline", 2, 200*ms, 350*ms, 5*time.Second)
	finish(100*ms, 100*ms)
	finish(250*ms, 150*ms)
	fmt.Fprintf(&b, "withdraw target cannot be met: %t\n", q.Withdraw(start.Add(250*ms), "target cannot be met"))
	fmt.Fprintf(&b, "withdraw unknown: %t\n", q.Withdraw(start.Add(250*ms), "unknown"))
	finish(600*ms, 5*time.Second)
	finish(700*ms, 0)
	offer(800*ms, "free slot", 2, 2000*ms, 3000*ms, 0)
	golden.Check(t, "queue", b.String())
}

// TestLearnedRunTime guards against healthy instances that are taken for
// hanging soon after their start, because usual runs last much longer than the
// initial expectation.
func TestLearnedRunTime(t *testing.T) {
	q := Queue[string]{Slots: 1}
	for n := range minObservations {
		if l := q.LearnedRunTime("r"); l != 0 {
			t.Errorf("after %d runs of 750 ms the learned run time is %v, want none yet", n, l)
		}
		now := start.Add(time.Duration(n) * time.Second)
		if ok, reason := q.Offer(now, Request{Route: "r", Deadline: now.Add(time.Minute)}, "run"); !ok {
			t.Fatalf("run %d was refused: %s", n, reason)
		}
		q.Finish(now.Add(750*ms), "run", 750*ms)
	}
	if l := q.LearnedRunTime("r"); l < 500*ms || l > 750*ms {
		t.Errorf("after %d runs of 750 ms the learned run time is %v, want 500 ms to 750 ms", minObservations, l)
	}
}

// TestOverload simulates a demand of twice the capacity for ten seconds and
// compares the queue with a first-in first-out queue that refuses nothing. It
// guards against slots that are used for requests whose answers come too late
// for their callers.
func TestOverload(t *testing.T) {
	const (
		slots    = 3
		work     = 200 * ms
		gap      = 33 * ms
		duration = 10 * time.Second
		target   = 800 * ms
		deadline = 2 * time.Second
	)
	q := Queue[int]{Slots: slots}
	var free [slots]time.Time
	var fifo []time.Time
	var queueInTime, fifoInTime, total int
	type run struct{ arrived, ends time.Time }
	running := map[int]run{}
	for n := 0; time.Duration(n)*gap < duration; n++ {
		now := start.Add(time.Duration(n) * gap)
		total++
		for id, r := range running {
			if r.ends.After(now) {
				continue
			}
			if r.ends.Sub(r.arrived) <= target {
				queueInTime++
			}
			delete(running, id)
			q.Finish(r.ends, id, work)
			if e, ok, _ := q.Next(r.ends); ok {
				running[e.Value] = run{e.ArrivedAt, r.ends.Add(work)}
			}
		}
		if ok, _ := q.Offer(now, Request{Route: "r", Target: now.Add(target), Deadline: now.Add(deadline), MaxWait: deadline}, n); ok {
			running[n] = run{now, now.Add(work)}
		}
		fifo = append(fifo, now)
		for k := range free {
			if len(fifo) > 0 && !free[k].After(now) {
				free[k] = now.Add(work)
				if free[k].Sub(fifo[0]) <= target {
					fifoInTime++
				}
				fifo = fifo[1:]
			}
		}
	}
	golden.Check(t, "overload", fmt.Sprintf("of %d requests at twice the capacity, in time: queue %d, first-in first-out %d\n",
		total, queueInTime, fifoInTime))
	if queueInTime <= fifoInTime {
		t.Errorf("the queue answers %d requests in time, not more than first-in first-out with %d", queueInTime, fifoInTime)
	}
}

package health

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"cassiarack.example/lib/golden"
)

var kinds = map[string]Kind{"started": Started, "answered": Answered, "failed": Failed, "silent": NoReply, "ended": Aborted}

// TestReplay replays testdata/events.txt and guards against unintended changes
// of the verdicts. Each line of the file holds the time of the event in
// milliseconds, the source, the kind, the instance, the number of the request,
// its service time in milliseconds, and "cold" if the instance warms up.
// "repeat N GAP" repeats the lines up to "end" N times. Each repetition is
// shifted by GAP milliseconds and has its own request numbers.
func TestReplay(t *testing.T) {
	f, err := os.Open("testdata/events.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var lines []string
	for sc := bufio.NewScanner(f); sc.Scan(); {
		if l := strings.TrimSpace(sc.Text()); l != "" && !strings.HasPrefix(l, "#") {
			lines = append(lines, l)
		}
	}
	start := time.Unix(1_000_000, 0)
	r := &replay{start: start, evaluated: start, d: &Detector[SequentialState, Sequential]{Policy: DefaultSequential},
		seen: make(map[string]bool)}
	for i := 0; i < len(lines); i++ {
		var n, gap int
		if _, err := fmt.Sscanf(lines[i], "repeat %d %d", &n, &gap); err != nil {
			r.event(t, lines[i], 0, 0)
			continue
		}
		last := i + 1
		for lines[last] != "end" {
			last++
		}
		for k := range n {
			for _, l := range lines[i+1 : last] {
				r.event(t, l, time.Duration(k*gap)*time.Millisecond, k+1)
			}
		}
		i = last
	}
	r.evaluate(r.evaluated.Add(time.Second))
	golden.Check(t, "verdicts", r.b.String())
}

// replay feeds recorded events to a detector and collects the verdicts that differ
// from earlier ones.
type replay struct {
	start, evaluated time.Time
	d                *Detector[SequentialState, Sequential]
	seen             map[string]bool
	b                strings.Builder
}

// event evaluates up to the time of an event and then feeds the event to the detector.
func (r *replay) event(t *testing.T, line string, shift time.Duration, round int) {
	t.Helper()
	var at, id, took int
	var source, kind, instance, cold string
	if n, _ := fmt.Sscan(line, &at, &source, &kind, &instance, &id, &took, &cold); n < 6 {
		t.Fatalf("malformed event %q", line)
	}
	now := r.start.Add(time.Duration(at)*time.Millisecond + shift)
	r.evaluate(now)
	o := Observation{Service: "quotes", Instance: instance, VM: instance, Route: "GET /quotes/", Source: SourceEntry,
		Kind: kinds[kind], ID: uint64(round)<<32 | uint64(id), Time: time.Duration(took) * time.Millisecond, Cold: cold == "cold"}
	if source == "gate" {
		o.Source = SourceGate
	}
	r.d.Observe(now, o)
}

// evaluate runs an evaluation every 100 ms up to the given time and writes each
// verdict that was not seen before.
func (r *replay) evaluate(now time.Time) {
	for ; !r.evaluated.After(now); r.evaluated = r.evaluated.Add(100 * time.Millisecond) {
		for _, v := range r.d.Evaluate(r.evaluated) {
			line := fmt.Sprintf("%s %s %s threshold reached %v", v.Instance, v.Cause, v.Hypothesis, v.Score >= 1)
			if !r.seen[line] {
				r.seen[line] = true
				fmt.Fprintf(&r.b, "%6v %s: %d of %d bad, score %.1f, confidence %.3f\n", r.evaluated.Sub(r.start), line, v.Bad,
					v.Samples, v.Score, v.Confidence)
			}
		}
	}
}

// benchmark measures evaluations if evaluate is set, and observations of requests
// otherwise.
func benchmark(b *testing.B, instances int, evaluate bool) {
	d := &Detector[SequentialState, Sequential]{Policy: DefaultSequential}
	names := make([]string, instances)
	for i := range names {
		names[i] = fmt.Sprintf("quotes-%04d", i)
	}
	now := time.Unix(1_000_000, 0)
	observe := func(i int, k Kind) {
		d.Observe(now, Observation{Service: "quotes", Instance: names[i%instances], VM: names[i%instances], Route: "GET /quotes/",
			Source: SourceEntry, Kind: k, ID: uint64(i), Time: time.Duration(5+i%11) * time.Millisecond})
	}
	for i := range 20 * instances {
		observe(i, Started)
		observe(i, Answered)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if evaluate {
			d.Evaluate(now)
			continue
		}
		now = now.Add(time.Microsecond)
		observe(i, Started)
		observe(i, Answered)
	}
}

// BenchmarkObserve measures the two observations of one request, its start and
// its end.
func BenchmarkObserve(b *testing.B) {
	for _, n := range []int{12, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmark(b, n, false) })
	}
}

// BenchmarkEvaluate measures one evaluation of all instances.
func BenchmarkEvaluate(b *testing.B) {
	for _, n := range []int{12, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmark(b, n, true) })
	}
}

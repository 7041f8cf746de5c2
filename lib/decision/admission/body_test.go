package admission

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"cassiarack.example/lib/golden"
)

// TestBodyBytes guards against an instance that gets more bytes of bodies at one time
// than it may hold, against large bodies that hold up small ones or never start, and
// against free slots that a small request waits for.
func TestBodyBytes(t *testing.T) {
	const mb = 1 << 20
	q := Queue[string]{Slots: 5, MaxBodyBytes: 16 * mb}
	var b strings.Builder
	offer := func(name string, size int64) {
		started, reason := q.Offer(start, Request{Route: "r", Target: start.Add(time.Second), Deadline: start.Add(10 * time.Second),
			MaxWait: 5 * time.Second, BodyBytes: size}, name)
		fmt.Fprintf(&b, "offer %s: started %t, refused %q, running %d with %d bytes, waiting %d\n", name, started, reason, q.Running(),
			q.bodyBytes, q.Waiting())
	}
	finish := func(size int64) {
		for _, name := range slices.Sorted(maps.Keys(q.running)) {
			if q.running[name].BodyBytes == size {
				q.Finish(start, name, 100*ms)
				break
			}
		}
		for {
			next, started, _ := q.Next(start)
			if !started {
				break
			}
			fmt.Fprintf(&b, "next %s: running %d with %d bytes\n", next.Value, q.Running(), q.bodyBytes)
		}
	}
	offer("large 1", 6*mb)
	offer("large 2", 6*mb)
	offer("large 3", 6*mb)
	offer("medium", mb)
	offer("small 1", SmallBody)
	offer("none", 0)
	offer("small 2", 300)
	offer("small 3", 300)
	finish(300)
	finish(6 * mb)
	finish(6 * mb)
	finish(6 * mb)
	finish(mb)
	offer("beyond the bound", 20*mb)
	offer("beside it", mb)
	finish(20 * mb)
	golden.Check(t, "body_bytes", b.String())
}

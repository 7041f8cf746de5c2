package freshness

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cassiarack.example/lib/golden"
)

// origin is how an exploration came to a world.
type origin struct {
	parent int
	label  label
}

// explore visits all worlds of a model. It returns their number, that of the steps, and
// the shortest way to a world in which a node takes a request with a revoked key.
func explore(m *model) (worlds, steps int, violation []string) {
	first := m.start()
	seen := map[world]bool{first: true}
	queue, origins := []world{first}, []origin{{parent: -1}}
	for k := 0; k < len(queue); k++ {
		w := queue[k]
		for i := range m.nodes {
			if !m.takesRevoked(&w, i) {
				continue
			}
			violation = append(violation, fmt.Sprintf("%d takes a request", i))
			for j := k; origins[j].parent >= 0; j = origins[j].parent {
				violation = append([]string{origins[j].label.String()}, violation...)
			}
			return len(queue), steps, violation
		}
		for _, s := range m.steps(w) {
			steps++
			if !seen[s.next] {
				seen[s.next] = true
				queue = append(queue, s.next)
				origins = append(origins, origin{parent: k, label: s.label})
			}
		}
	}
	return len(queue), steps, nil
}

// TestExplore guards against any order of reads, messages and faults in which a node
// takes a request with a key that was revoked longer ago than the bound. It also guards
// against an exploration that finds nothing: without any one of the ages it must find
// such an order.
func TestExplore(t *testing.T) {
	const bound = 1200 * time.Millisecond
	var b strings.Builder
	for _, m := range []model{
		{nodes: 2, end: 3, reads: 2, announcements: 1},
		{nodes: 2, end: 3, announcements: 2, questions: 1},
		{nodes: 2, end: 3, reads: 1, announcements: 1, questions: 1, restarts: 1},
		{nodes: 2, end: 3, reads: 1, questions: 1, suspensions: 1, cuts: 1},
		{nodes: 2, end: 3, announcements: 1, questions: 1, suspensions: 1, cuts: 1},
		{nodes: 3, end: 3, questions: 2},
		{nodes: 3, end: 3, announcements: 1, questions: 1},
		{nodes: 3, end: 2, announcements: 1, questions: 2},
	} {
		m.bound, m.omit = bound, omitNothing
		worlds, steps, violation := explore(&m)
		fmt.Fprintf(&b, "%d nodes to time %d, %d reads, %d announcements, %d questions, %d suspensions, %d cuts, %d restarts: %d worlds, %d steps, violation %v\n",
			m.nodes, m.end, m.reads, m.announcements, m.questions, m.suspensions, m.cuts, m.restarts, worlds, steps, violation)
		if violation != nil {
			t.Errorf("a revoked key is taken: %v", violation)
		}
	}
	for _, o := range []omission{omitOwnRead, omitStatedAge, omitDelivery, omitReply, omitSinceProof, omitIncarnation} {
		m := model{nodes: 2, end: 3, bound: bound, reads: 1, announcements: 1, questions: 1, restarts: 1, omit: o}
		worlds, steps, violation := explore(&m)
		fmt.Fprintf(&b, "without the %s, after %d worlds and %d steps:\n", o, worlds, steps)
		for _, text := range violation {
			fmt.Fprintf(&b, "  %s\n", text)
		}
		if violation == nil {
			t.Errorf("without the %s, no violation is found", o)
		}
	}
	golden.Check(t, "explore", b.String())
}

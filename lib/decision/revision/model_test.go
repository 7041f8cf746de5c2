package revision

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cassiarack.example/lib/decision/config"
)

const modelNodes = 5

// model simulates a fleet of one data centre. Its platform may return stale,
// forked or invalid revisions.
type model struct {
	now      time.Time
	disabled protection
	newest   uint64
	nodes    [modelNodes]*modelNode
	invalid  map[config.Revision]bool
	// samples contains the lowest revision in service and the number of serving
	// nodes at each check within the last answerLifetime.
	samples []serviceSample
}

// modelNode is a node of the model. Nodes in different partitions cannot reach each
// other.
type modelNode struct {
	tracker   *Tracker
	paused    bool
	partition int
	highest   config.Revision
	serving   bool
	// delayedAnswer is an answer that has not arrived yet.
	delayedAnswer *Answer
}

// serviceSample is the state of service in the fleet at one time.
type serviceSample struct {
	at      time.Time
	lowest  uint64
	serving int
}

func newModel(disabled protection) *model {
	m := &model{now: epoch, disabled: disabled, newest: 1, invalid: make(map[config.Revision]bool)}
	for i := range m.nodes {
		m.nodes[i] = &modelNode{}
		m.restart(i)
	}
	return m
}

func (m *model) restart(i int) {
	partition := m.nodes[i].partition
	m.nodes[i] = &modelNode{tracker: &Tracker{Self: fmt.Sprint(i), Started: m.now, disabled: m.disabled},
		partition: partition}
}

func names() []string {
	var out []string
	for i := range modelNodes {
		out = append(out, fmt.Sprint(i))
	}
	return out
}

// offer gives node i a revision, unless the node is paused.
func (m *model) offer(i int, r config.Revision, from Source) {
	n := m.nodes[i]
	if n.paused || r.Number == 0 {
		return
	}
	var fault error
	if m.invalid[r] {
		fault = errors.New("invalid")
	}
	n.tracker.Offer(m.now, r, from, names(), fault)
}

// ask lets node i ask node j and fetch the revision that j holds. If late is true,
// the answer is delayed and nothing is fetched.
func (m *model) ask(i, j int, late bool) {
	a, b := m.nodes[i], m.nodes[j]
	if i == j || a.paused || b.paused || a.partition != b.partition {
		return
	}
	answer := Answer{Peer: fmt.Sprint(j), Asked: m.now, Revision: b.tracker.Held(), Serving: b.tracker.MayServe(m.now)}
	if late {
		a.delayedAnswer = &answer
		return
	}
	a.tracker.HandleAnswer(m.now, answer)
	m.offer(i, answer.Revision, Source{Name: answer.Peer, Serving: answer.Serving})
	if a.tracker.Held() == answer.Revision {
		a.tracker.HandleAnswer(m.now, answer)
	}
}

// advance moves the time on by d. Nodes that are not paused run throughout, so
// none of them observes a pause.
func (m *model) advance(d time.Duration) { m.now = m.now.Add(d) }

// resume ends the pause of node i and delivers its delayed answer.
func (m *model) resume(i int, length time.Duration) {
	n := m.nodes[i]
	n.paused = false
	n.serving = false
	n.tracker.Paused(m.now, length)
	m.deliver(i)
}

func (m *model) deliver(i int) {
	n := m.nodes[i]
	if n.delayedAnswer != nil && !n.paused {
		n.tracker.HandleAnswer(m.now, *n.delayedAnswer)
		n.delayedAnswer = nil
	}
}

// check compares the state of each node with its previous state and with the
// fleet. It returns the first failure.
func (m *model) check() error {
	m.sample()
	for i, n := range m.nodes {
		if n.paused {
			continue
		}
		serving := n.tracker.MayServe(m.now)
		r, ok := n.tracker.InForce()
		switch {
		case serving && !ok:
			return fmt.Errorf("node %d serves without a configuration", i)
		case ok && m.invalid[r]:
			return fmt.Errorf("node %d put the invalid revision %d in force", i, r.Number)
		case r.Number < n.highest.Number:
			return fmt.Errorf("node %d went back from revision %d to %d", i, n.highest.Number, r.Number)
		case r.Number == n.highest.Number && r != n.highest:
			return fmt.Errorf("node %d changed to a fork of revision %d", i, r.Number)
		}
		if ok && !serving && n.highest.Number == 0 {
			return fmt.Errorf("node %d put revision %d in force before it may serve", i, r.Number)
		}
		if serving && !n.serving {
			if err := m.checkStart(i, r); err != nil {
				return err
			}
		}
		n.highest, n.serving = r, serving
	}
	return nil
}

// checkStart checks a node that begins to serve: its revision must not be lower
// than all revisions in service within the last answerLifetime, unless fewer than
// half of the nodes served at some time within it.
func (m *model) checkStart(i int, r config.Revision) error {
	for _, f := range m.samples {
		if m.now.Sub(f.at) > answerLifetime {
			continue
		}
		if f.serving == 0 || r.Number >= f.lowest || 2*f.serving < modelNodes {
			return nil
		}
	}
	return fmt.Errorf("node %d begins to serve revision %d, lower than all revisions in service", i, r.Number)
}

func (m *model) sample() {
	f := serviceSample{at: m.now}
	for _, n := range m.nodes {
		if n.paused || !n.serving {
			continue
		}
		f.serving++
		if r, _ := n.tracker.InForce(); f.lowest == 0 || r.Number < f.lowest {
			f.lowest = r.Number
		}
	}
	m.samples = append(m.samples, f)
	for len(m.samples) > 1 && m.now.Sub(m.samples[0].at) > answerLifetime {
		m.samples = m.samples[1:]
	}
}

// runHistory runs one random history and returns the first failure.
func runHistory(t *rapid.T, disabled protection) error {
	m := newModel(disabled)
	node := rapid.IntRange(0, modelNodes-1)
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		i, j := node.Draw(t, "node"), node.Draw(t, "other")
		switch rapid.IntRange(0, 9).Draw(t, "action") {
		case 0:
			m.newest++
			if rapid.IntRange(0, 3).Draw(t, "invalid") == 0 {
				m.invalid[rev(m.newest, 1)] = true
			}
		case 1:
			m.offer(i, rev(m.newest, 1), Source{Name: "platform"})
		case 2:
			stale := uint64(rapid.IntRange(1, int(m.newest)).Draw(t, "stale"))
			m.offer(i, rev(stale, 1), Source{Name: "platform"})
		case 3:
			m.offer(i, rev(m.newest, 2), Source{Name: "platform"})
		case 4:
			m.restart(i)
		case 5:
			m.ask(i, j, rapid.Bool().Draw(t, "late"))
		case 6:
			for a := range modelNodes {
				m.ask(a, j, false)
				m.ask(j, a, false)
			}
		case 7:
			m.nodes[i].paused = true
			m.advance(10 * time.Minute)
			for a := range modelNodes {
				m.ask(a, j, false)
			}
			if err := m.check(); err != nil {
				return err
			}
			m.resume(i, 10*time.Minute)
		case 8:
			m.nodes[i].partition = rapid.IntRange(0, 1).Draw(t, "part")
		case 9:
			m.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			m.deliver(i)
		}
		if err := m.check(); err != nil {
			return err
		}
	}
	return nil
}

// TestNoReversion guards against a node that reverts to an older, forked or
// invalid revision after restarts, pauses, partitions and stale sources.
func TestNoReversion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runHistory(t, 0); err != nil {
			t.Fatal(err)
		}
	})
}

// TestProtections guards against a model that cannot detect a failure: with any
// one protection disabled, some history must fail.
func TestProtections(t *testing.T) {
	for disabled, name := range map[protection]string{
		higherOnly: "higher only", forkCheck: "fork check", validOnly: "valid only",
		holdUntilConfirmed: "hold until confirmed", samePeerRevision: "same peer revision",
		majorityOfDataCentre: "majority of data centre", freshAnswers: "fresh answers",
		confirmAfterPause: "confirm after pause",
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range 20_000 {
				err := rapid.Custom(func(t *rapid.T) error { return runHistory(t, disabled) }).Example(seed)
				if err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("no history fails with this protection disabled")
		})
	}
}

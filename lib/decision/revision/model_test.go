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

// model is a fleet of one data centre with a platform that may be stale, give
// forks and hold invalid content.
type model struct {
	now     time.Time
	off     protection
	newest  uint64
	nodes   [modelNodes]*modelNode
	invalid map[config.Revision]bool
	// floors are the lowest revision in service and the number of serving nodes
	// over the last moments.
	floors []moment
}

type modelNode struct {
	keeper  *Keeper
	down    bool
	part    int
	highest config.Revision
	serving bool
	// late is an answer that is still on its way.
	late *Answer
}

type moment struct {
	at      time.Time
	lowest  uint64
	serving int
}

func newModel(off protection) *model {
	m := &model{now: epoch, off: off, newest: 1, invalid: make(map[config.Revision]bool)}
	for i := range m.nodes {
		m.nodes[i] = &modelNode{}
		m.restart(i)
	}
	return m
}

func (m *model) restart(i int) {
	part := m.nodes[i].part
	m.nodes[i] = &modelNode{keeper: &Keeper{Self: fmt.Sprint(i), Started: m.now, off: m.off}, part: part}
}

func names() []string {
	var out []string
	for i := range modelNodes {
		out = append(out, fmt.Sprint(i))
	}
	return out
}

// offer lets node i read a revision.
func (m *model) offer(i int, r config.Revision, from Source) {
	n := m.nodes[i]
	if n.down || r.Number == 0 {
		return
	}
	var fault error
	if m.invalid[r] {
		fault = errors.New("invalid")
	}
	n.keeper.Offer(m.now, r, from, names(), fault)
}

// ask lets node i ask node j and fetch what j has; the answer may come late.
func (m *model) ask(i, j int, late bool) {
	a, b := m.nodes[i], m.nodes[j]
	if i == j || a.down || b.down || a.part != b.part {
		return
	}
	answer := Answer{Peer: fmt.Sprint(j), Asked: m.now, Revision: b.keeper.Held(), Serving: b.keeper.MayServe(m.now)}
	if late {
		a.late = &answer
		return
	}
	a.keeper.Confirm(m.now, answer)
	m.offer(i, answer.Revision, Source{Name: answer.Peer, Serving: answer.Serving})
	if a.keeper.Held() == answer.Revision {
		a.keeper.Confirm(m.now, answer)
	}
}

// pass lets time go by; awake nodes notice it as short ticks.
func (m *model) pass(d time.Duration) { m.now = m.now.Add(d) }

// wake ends the pause of node i and delivers the answer that waited.
func (m *model) wake(i int, length time.Duration) {
	n := m.nodes[i]
	n.down = false
	n.serving = false
	n.keeper.Paused(m.now, length)
	m.deliver(i)
}

func (m *model) deliver(i int) {
	n := m.nodes[i]
	if n.late != nil && !n.down {
		n.keeper.Confirm(m.now, *n.late)
		n.late = nil
	}
}

// check compares each node with what it did before and with the fleet. An error
// names the failure.
func (m *model) check() error {
	m.record()
	for i, n := range m.nodes {
		if n.down {
			continue
		}
		serving := n.keeper.MayServe(m.now)
		r, ok := n.keeper.InForce()
		switch {
		case serving && !ok:
			return fmt.Errorf("node %d serves without a configuration", i)
		case ok && m.invalid[r]:
			return fmt.Errorf("node %d has the invalid revision %d in force", i, r.Number)
		case r.Number < n.highest.Number:
			return fmt.Errorf("node %d went back from %d to %d", i, n.highest.Number, r.Number)
		case r.Number == n.highest.Number && r != n.highest:
			return fmt.Errorf("node %d changed to a fork of %d", i, r.Number)
		}
		if ok && !serving && n.highest.Number == 0 {
			return fmt.Errorf("node %d put %d in force before it may serve", i, r.Number)
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

// checkStart checks a node that begins to serve: its revision must not be below
// all those in service, unless most of the data centre did not serve lately.
func (m *model) checkStart(i int, r config.Revision) error {
	for _, f := range m.floors {
		if m.now.Sub(f.at) > answerLife {
			continue
		}
		if f.serving == 0 || r.Number >= f.lowest || 2*f.serving < modelNodes {
			return nil
		}
	}
	return fmt.Errorf("node %d begins to serve %d, below the fleet", i, r.Number)
}

func (m *model) record() {
	f := moment{at: m.now}
	for _, n := range m.nodes {
		if n.down || !n.serving {
			continue
		}
		f.serving++
		if r, _ := n.keeper.InForce(); f.lowest == 0 || r.Number < f.lowest {
			f.lowest = r.Number
		}
	}
	m.floors = append(m.floors, f)
	for len(m.floors) > 1 && m.now.Sub(m.floors[0].at) > answerLife {
		m.floors = m.floors[1:]
	}
}

// explore runs one drawn history and returns the first failure.
func explore(t *rapid.T, off protection) error {
	m := newModel(off)
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
			m.nodes[i].down = true
			m.pass(10 * time.Minute)
			for a := range modelNodes {
				m.ask(a, j, false)
			}
			if err := m.check(); err != nil {
				return err
			}
			m.wake(i, 10*time.Minute)
		case 8:
			m.nodes[i].part = rapid.IntRange(0, 1).Draw(t, "part")
		case 9:
			m.pass(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			m.deliver(i)
		}
		if err := m.check(); err != nil {
			return err
		}
	}
	return nil
}

// TestNoReversion guards against a node that goes back to an older, forked or
// invalid revision after restarts, pauses, partitions and stale sources.
func TestNoReversion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := explore(t, 0); err != nil {
			t.Fatal(err)
		}
	})
}

// TestProtections guards against a model that cannot see a failure: with any
// single protection off, some history must fail.
func TestProtections(t *testing.T) {
	for off, name := range map[protection]string{
		higherOnly: "higher only", forkCheck: "fork check", validOnly: "valid only",
		holdUntilConfirmed: "hold until confirmed", samePeerRevision: "same peer revision",
		majorityOfDataCentre: "majority of data centre", freshAnswers: "fresh answers",
		confirmAfterPause: "confirm after pause",
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range 20_000 {
				err := rapid.Custom(func(t *rapid.T) error { return explore(t, off) }).Example(seed)
				if err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("no history fails without this protection")
		})
	}
}

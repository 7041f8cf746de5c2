package transfer

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassiarack.example/lib/golden"
)

var origin = time.Unix(1000, 0)

// weakening switches off one rule of the decisions in a mutated model.
type weakening string

const (
	none weakening = "none"
	// lateSent counts the last part as sent only when it has arrived.
	lateSent weakening = "the last part counts as sent only when it has arrived"
	// earlyRun runs the request when the first part has arrived.
	earlyRun weakening = "the request runs when its first part has arrived"
	// noOnce lets Begin return true more than once.
	noOnce weakening = "a complete body may start more than one run"
	// endIsVoid takes the loss of the receiver for a refusal.
	endIsVoid weakening = "a lost connection counts as a refusal"
	// lateVoid lets an expired grant still run.
	lateVoid weakening = "a void grant still runs when its body is complete"
)

// bodySize is the size of the body in the model, in parts of one byte.
const bodySize = 3

// model is one state of a sender, a receiver and the messages between them. The
// connection keeps the order of messages; its loss drops those not delivered yet.
type model struct {
	weak     weakening
	sender   Sender
	receiver Receiver
	// now is the receiver's time since the origin.
	now time.Duration
	// up and down are the messages to the receiver and to the sender.
	up, down []string
	// senderGone and receiverGone are set when that side ended; cut is set when the
	// connection was lost.
	senderGone, receiverGone, cut bool
	// senderSees and receiverSees are set when a side has noticed the loss of the other.
	senderSees, receiverSees bool
	headArrived              bool
	running                  bool
	runs                     int
	// voided is set when the receiver told the sender that nothing ran.
	voided bool
	// misfit is the error of a message that the sender did not expect.
	misfit string
}

func (m *model) clone() *model {
	c := *m
	c.up, c.down = slices.Clone(m.up), slices.Clone(m.down)
	return &c
}

func (m *model) key() string { return fmt.Sprintf("%+v", *m) }

// step is one possible action of a model.
type step struct {
	name  string
	apply func(*model)
}

// steps returns the actions that are possible in the state m.
func (m *model) steps() []step {
	var s []step
	add := func(possible bool, name string, apply func(*model)) {
		if possible {
			s = append(s, step{name, apply})
		}
	}
	connected := !m.cut && !m.senderGone && !m.receiverGone
	senderLives := !m.senderGone && !m.sender.State().Final()
	receiverLives := !m.receiverGone && m.headArrived
	add(connected && len(m.up) > 0, "message to receiver", (*model).deliverUp)
	add(connected && len(m.down) > 0, "message to sender", (*model).deliverDown)
	add(senderLives && !m.senderSees && (m.sender.State() == Granted || m.sender.State() == Sending), "part", (*model).sendPart)
	add(receiverLives && m.receiver.State() == Offered, "grant", func(m *model) {
		if m.receiver.Grant(origin.Add(m.now)) == nil {
			m.down = append(m.down, "grant")
		}
	})
	add(receiverLives && m.receiver.State() == Offered, "refuse", func(m *model) {
		m.receiver.End()
		m.down = append(m.down, "refused")
	})
	add(receiverLives && m.running, "run ends", func(m *model) {
		m.running = false
		if m.receiver.Finish(true) == nil {
			m.down = append(m.down, "answered")
		}
	})
	add(receiverLives && m.now < 4*time.Second, "time passes", func(m *model) {
		m.now += time.Second
		if m.receiver.Expire(origin.Add(m.now)) {
			m.voided = true
			m.down = append(m.down, "refused")
		}
	})
	add(!m.cut, "cut", func(m *model) { m.cut, m.up, m.down = true, nil, nil })
	add(!m.senderGone, "sender dies", func(m *model) { m.senderGone = true; m.up, m.down = nil, nil })
	add(!m.receiverGone, "receiver dies", func(m *model) { m.receiverGone = true; m.running = false; m.up, m.down = nil, nil })
	add(senderLives, "client leaves", func(m *model) {
		m.endSender()
		m.up = append(m.up, "cancel")
	})
	add(senderLives && !connected, "sender notices the loss", func(m *model) { m.senderSees = true; m.endSender() })
	add(receiverLives && !connected && !m.receiverSees, "receiver notices the loss", func(m *model) { m.receiverSees = true; m.receiver.End() })
	return s
}

func (m *model) endSender() {
	if m.weak == endIsVoid && m.sender.state == Sent {
		m.sender.state = Void
		return
	}
	m.sender.End()
}

func (m *model) sendPart() {
	if m.weak == lateSent && m.sender.left == 1 {
		m.up = append(m.up, "part")
		m.sender.state = Granted
		m.sender.left = 0
		return
	}
	if n := m.sender.Next(1); n > 0 && !m.cut && !m.receiverGone {
		m.up = append(m.up, "part")
	}
}

func (m *model) deliverUp() {
	kind := m.up[0]
	m.up = m.up[1:]
	switch kind {
	case "head":
		m.headArrived = true
	case "cancel":
		m.receiver.End()
	case "part":
		if m.weak == lateVoid && m.receiver.state == Void && m.receiver.left > 0 {
			m.receiver.left--
			if m.receiver.left == 0 {
				m.runs++
			}
			return
		}
		if err := m.receiver.Part(origin.Add(m.now), 1); err != nil {
			if !m.voided {
				m.voided = true
				m.down = append(m.down, "refused")
			}
			return
		}
		if m.weak == earlyRun && m.runs == 0 {
			m.runs++
		} else if m.weak != earlyRun && m.receiver.Begin() {
			m.running = true
			m.runs++
		}
		if m.weak == noOnce {
			m.receiver.begun = false
			if m.receiver.Begin() {
				m.runs++
			}
		}
	}
}

func (m *model) deliverDown() {
	kind := m.down[0]
	m.down = m.down[1:]
	if m.sender.State().Final() {
		return
	}
	var err error
	if kind == "grant" {
		err = m.sender.Grant()
	} else {
		err = m.sender.Reply(kind == "refused")
	}
	if err != nil && m.weak == none {
		m.misfit = err.Error()
	}
}

// violation returns the rule that the state breaks, or an empty text.
func (m *model) violation() string {
	switch {
	case m.runs > 1:
		return "the request ran twice"
	case m.runs > 0 && m.sender.State() == Void:
		return "a request that counts as not run ran"
	case m.runs == 0 && m.sender.State() == Answered:
		return "a request that counts as answered did not run"
	case m.runs > 0 && m.receiver.State() == Void:
		return "a void grant ran"
	}
	return m.misfit
}

// explore visits all states that can be reached and returns their number, the final
// states of the sender, and the first violation with the steps to it.
func explore(weak weakening) (states int, ends map[State]int, broken string) {
	r, err := NewReceiver(bodySize, Limits{First: time.Second, Between: 2 * time.Second})
	if err != nil {
		return 0, nil, err.Error()
	}
	first := &model{weak: weak, sender: *NewSender(bodySize), receiver: *r, up: []string{"head"}}
	seen := map[string]bool{first.key(): true}
	ends = make(map[State]int)
	type visit struct {
		m    *model
		path []string
	}
	for queue := []visit{{first, nil}}; len(queue) > 0; queue = queue[1:] {
		v := queue[0]
		states++
		if text := v.m.violation(); text != "" {
			return states, ends, text + ": " + strings.Join(v.path, ", ")
		}
		if v.m.sender.State().Final() {
			ends[v.m.sender.State()]++
		}
		for _, s := range v.m.steps() {
			next := v.m.clone()
			s.apply(next)
			if k := next.key(); !seen[k] {
				seen[k] = true
				queue = append(queue, visit{next, append(slices.Clone(v.path), s.name)})
			}
		}
	}
	return states, ends, ""
}

// TestExploration guards against a request that runs twice, and against one that is
// said not to have run although it ran or still may: either side, the connection or
// the client may go at every step, and the receiver's time may pass. It also shows
// that the exploration finds such runs when a rule is left out.
func TestExploration(t *testing.T) {
	is := is.New(t)
	var b strings.Builder
	states, ends, broken := explore(none)
	is.Equal(broken, "")
	fmt.Fprintf(&b, "%d states, in which the sender ended as: answered %d, void %d, unknown %d\n", states, ends[Answered], ends[Void], ends[Unknown])
	for _, w := range []weakening{lateSent, earlyRun, noOnce, endIsVoid, lateVoid} {
		_, _, broken := explore(w)
		is.True(broken != "")
		fmt.Fprintf(&b, "%s:\n  %s\n", w, broken)
	}
	golden.Check(t, "exploration", b.String())
}

// TestMessages guards against exchanges that go on after a message that does not fit:
// parts beyond the size of the body, parts without a grant, and replies that claim a
// run before the body was sent.
func TestMessages(t *testing.T) {
	is := is.New(t)
	_, err := NewReceiver(0, DefaultLimits)
	is.True(IsKind(err, KindSize))
	receiver := func() *Receiver {
		r, err := NewReceiver(10, DefaultLimits)
		is.NoErr(err)
		return r
	}
	r := receiver()
	is.True(IsKind(r.Part(origin, 5), KindUnexpected)) // no grant
	is.Equal(r.State(), Void)
	for _, n := range []int64{0, -1, 11} {
		r = receiver()
		is.NoErr(r.Grant(origin))
		is.True(IsKind(r.Part(origin, n), KindSize))
		is.Equal(r.State(), Void)
		is.True(!r.Begin())
	}
	r = receiver()
	is.NoErr(r.Grant(origin))
	is.True(!r.Expire(origin.Add(DefaultLimits.First - 1)))
	is.NoErr(r.Part(origin.Add(DefaultLimits.First-1), 9))
	is.Equal(r.Until(), origin.Add(DefaultLimits.First-1+DefaultLimits.Between))
	is.True(r.Expire(r.Until()))
	is.True(IsKind(r.Part(origin, 1), KindUnexpected))
	s := NewSender(10)
	is.Equal(s.Next(4), int64(0)) // no grant
	is.NoErr(s.Grant())
	is.True(IsKind(s.Grant(), KindUnexpected))
	is.Equal(s.Next(4), int64(4))
	is.True(IsKind(s.Reply(false), KindUnexpected)) // the body is not complete
	is.Equal(s.Next(100), int64(6))
	is.Equal(s.State(), Sent)
	is.NoErr(s.Reply(false))
	is.True(IsKind(s.Reply(true), KindUnexpected))
}

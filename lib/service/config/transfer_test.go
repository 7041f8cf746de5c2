package config

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"storj.io/drpc"

	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/golden"
	"cassiarack.example/lib/platform"
	"cassiarack.example/lib/wire"
)

// stream records the parts that a transfer sends. If breaks is not 0, it fails after
// that number of parts.
type stream struct {
	drpc.Stream
	parts  []*wire.FetchPart
	breaks int
}

func (s *stream) Send(p *wire.FetchPart) error {
	if s.breaks > 0 && len(s.parts) == s.breaks {
		return errors.New("link lost")
	}
	s.parts = append(s.parts, p)
	return nil
}

// contentOf returns the content of a revision with the given documents.
func contentOf(t *testing.T, number uint64, texts map[string]string) *Content {
	t.Helper()
	m := &platform.Manifest{Revision: number}
	docs := make(map[string]config.Document)
	for name, text := range texts {
		docs[name] = config.NewDocument([]byte(text))
		m.Documents = append(m.Documents, platform.Document{Name: name, Size: int64(len(text)),
			SHA256: fmt.Sprintf("%x", docs[name].Digest)})
	}
	slices.SortFunc(m.Documents, func(a, b platform.Document) int { return strings.Compare(a.Name, b.Name) })
	c, err := NewContent(m, docs)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// exchange transfers to r the documents that it lacks of the provider's snapshot, and
// renders the parts. change, if not nil, modifies each part on its way.
func exchange(b *strings.Builder, r *receiver, p pull, sn *snapshot, breaks int, change func(*wire.Delta)) (*Content, error) {
	s := &stream{breaks: breaks}
	tr := &transfer{sn: sn, stream: s, request: r.request(p), held: make(map[string][]byte)}
	for _, d := range tr.request.GetHeld() {
		tr.held[d.GetName()] = d.GetDigest()
	}
	sendErr := tr.sendMissing()
	m := fromManifest(s.parts[0].GetManifest())
	if err := r.checkManifest(p, s.parts[0].GetManifest(), m); err != nil {
		return nil, err
	}
	for _, part := range s.parts[1:] {
		d := part.GetDelta()
		if change != nil {
			change(d)
		}
		fmt.Fprintf(b, "  %s: base %v, %d removed at %d, %d inserted, last %v\n", d.GetName(), len(d.GetBase()) > 0,
			d.GetRemoved(), d.GetOffset(), len(d.GetInserted()), d.GetLast())
		if err := r.handleDelta(p, m, d); err != nil {
			return nil, err
		}
	}
	if sendErr != nil {
		return nil, sendErr
	}
	return r.assemble(p, m)
}

// TestTransfer guards against sending documents that the receiver already has, against
// a transfer that starts from the beginning after a lost link, and against accepting
// content that does not match its digest.
func TestTransfer(t *testing.T) {
	is := is.New(t)
	var b strings.Builder
	long := strings.Repeat("0123456789abcdef", 10_000)
	one := contentOf(t, 1, map[string]string{"register": long, "rules": "{}"})
	two := contentOf(t, 2, map[string]string{"register": long[:80_000] + "X" + long[80_000:], "rules": "{}", "rules-more": "{}"})
	var none *superseded
	provider := &snapshot{content: two, superseded: none.add(one, two)}
	run := func(name string, r *receiver, p pull, breaks int, change func(*wire.Delta)) {
		fmt.Fprintf(&b, "# %s\n", name)
		c, err := exchange(&b, r, p, provider, breaks, change)
		if err != nil {
			fmt.Fprintf(&b, "error: %v\n", err)
			return
		}
		is.Equal(c.Revision, two.Revision)
		for name, d := range c.Documents {
			is.True(bytes.Equal(d.Text, two.Documents[name].Text))
		}
		fmt.Fprintf(&b, "revision %d\n", c.Revision.Number)
	}
	newReceiver := func() *receiver { return &receiver{completed: make(map[string]config.Document)} }
	wanted := pull{rev: two.Revision}
	run("no documents held", newReceiver(), wanted, 0, nil)
	run("one revision behind", newReceiver(), pull{rev: two.Revision, have: one}, 0, nil)
	interrupted := newReceiver()
	run("link lost before the second part", interrupted, wanted, 2, nil)
	run("link lost again", interrupted, wanted, 4, nil)
	run("resumed", interrupted, wanted, 0, nil)
	run("changed bytes", newReceiver(), wanted, 0, func(d *wire.Delta) { d.Inserted = bytes.ToUpper(d.GetInserted()) })
	run("gap between parts", newReceiver(), wanted, 0, func(d *wire.Delta) { d.Offset++ })
	run("document not in the manifest", newReceiver(), wanted, 0, func(d *wire.Delta) { d.Name = "other" })
	run("delta with a wrong range", newReceiver(), pull{rev: two.Revision, have: one}, 0, func(d *wire.Delta) { d.Removed = 1 << 40 })
	run("manifest of an older revision than wanted", newReceiver(),
		pull{rev: config.Revision{Number: 3}}, 0, nil)
	golden.Check(t, "transfer", b.String())
}

// TestSupersededBound guards against superseded documents whose total size grows with
// each revision.
func TestSupersededBound(t *testing.T) {
	is := is.New(t)
	var e *superseded
	old := contentOf(t, 1, map[string]string{"register": strings.Repeat("a", 1<<20)})
	for n := range uint64(30) {
		next := contentOf(t, n+2, map[string]string{"register": strings.Repeat(string(rune('b'+n%20)), 1<<20)})
		e = e.add(old, next)
		old = next
	}
	is.Equal(len(e.documents), maxSupersededBytes>>20)
}

// TestList guards against a list of VMs that differs between the node that read it
// from the platform and a node that received only the changes.
func TestList(t *testing.T) {
	is := is.New(t)
	var b strings.Builder
	listOf := func(number uint64, states ...string) *List {
		l := &platform.VMList{Revision: number}
		for _, s := range states {
			name, state, _ := strings.Cut(s, " ")
			l.VMs = append(l.VMs, platform.VM{Name: name, State: state})
		}
		return newList(l)
	}
	var own *List
	lists := map[uint64]*List{0: nil}
	for _, l := range []*List{
		listOf(1, "a live", "b live", "c live"),
		listOf(2, "a live", "b leaving", "c live"),
		listOf(5, "a live", "c live", "d unknown"),
	} {
		own = l.withChangesSince(own)
		lists[l.Number] = own
	}
	for _, number := range []uint64{0, 1, 2, 5} {
		reply := own.changesAfter(number)
		got := lists[number].apply(reply).withChangesSince(lists[number])
		is.Equal(got.states, own.states)
		slices.SortFunc(reply.Entries, func(a, b *wire.ListEntry) int { return strings.Compare(a.GetName(), b.GetName()) })
		fmt.Fprintf(&b, "after %d: complete %v", number, reply.GetComplete())
		for _, e := range reply.GetEntries() {
			fmt.Fprintf(&b, ", %s %s", e.GetName(), e.GetState())
		}
		fmt.Fprintf(&b, "; live %v, leaving %v, b %s\n", got.VMs(VMLive), got.VMs(VMLeaving), got.State("b"))
	}
	golden.Check(t, "list", b.String())
}

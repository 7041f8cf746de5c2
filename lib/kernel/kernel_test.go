package kernel

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"cassiarack.example/lib/golden"
)

// part is a service that notes what happens to it.
type part struct {
	name  string
	find  []string
	fail  error
	notes *notes
}

type notes struct {
	mu    sync.Mutex
	lines []string
}

func (n *notes) add(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lines = append(n.lines, fmt.Sprintf(format, args...))
}

func (p *part) Bind(dir *Directory) error {
	for _, n := range p.find {
		if _, err := Find[*part](dir, n); err != nil {
			return err
		}
	}
	return nil
}

func (p *part) Run(ctx context.Context) error {
	if p.fail != nil {
		return p.fail
	}
	<-ctx.Done()
	p.notes.add("stop %s", p.name)
	return nil
}

func (p *part) Leave(context.Context) error {
	p.notes.add("leave %s", p.name)
	return nil
}

func (p *part) Drain(context.Context) error {
	p.notes.add("drain %s", p.name)
	return nil
}

// TestErrors guards against a process that starts with services it cannot
// find, and against errors that do not name the service concerned.
func TestErrors(t *testing.T) {
	n := &notes{}
	for _, c := range []struct {
		name string
		regs []Registration
	}{
		{"missing", []Registration{{Name: "a", Needs: []string{"b"}, Service: &part{}}}},
		{"taken", []Registration{{Name: "a", Service: &part{}}, {Name: "a", Service: &part{}}}},
		{"cycle", []Registration{
			{Name: "a", Needs: []string{"b"}, Service: &part{}},
			{Name: "b", Needs: []string{"c"}, Service: &part{}},
			{Name: "c", Needs: []string{"b"}, Service: &part{}},
		}},
		{"not listed as a need", []Registration{
			{Name: "a", Service: &part{find: []string{"b"}}}, {Name: "b", Service: &part{}},
		}},
		{"failure", []Registration{{Name: "a", Service: &part{fail: errors.New("disk on fire"), notes: n}}}},
	} {
		k := &Kernel{Registrations: c.regs, Log: log.New(io.Discard), DrainTimeout: time.Second}
		n.add("%s: %v", c.name, k.Run(t.Context()))
	}
	golden.Check(t, "errors", strings.Join(n.lines, "\n")+"\n")
}

// TestStopOrder guards against a service that loses one it needs during a stop.
func TestStopOrder(t *testing.T) {
	is := is.New(t)
	n := &notes{}
	k := &Kernel{Log: log.New(io.Discard), DrainTimeout: time.Second, Registrations: []Registration{
		{Name: "front", Needs: []string{"router"}, Service: &part{name: "front", find: []string{"router"}, notes: n}},
		{Name: "config", Service: &part{name: "config", notes: n}},
		{Name: "router", Needs: []string{"config"}, Service: &part{name: "router", find: []string{"config"}, notes: n}},
	}}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.NoErr(k.Run(ctx))
	golden.Check(t, "stop_order", strings.Join(n.lines, "\n")+"\n")
}

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

// recordingService is a service that records the calls of its methods.
type recordingService struct {
	name    string
	lookups []string
	runErr  error
	events  *eventLog
}

// eventLog holds the lines that the golden files contain.
type eventLog struct {
	mu    sync.Mutex
	lines []string
}

func (n *eventLog) add(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lines = append(n.lines, fmt.Sprintf(format, args...))
}

func (p *recordingService) Bind(dir *Directory) error {
	for _, n := range p.lookups {
		if _, err := Find[*recordingService](dir, n); err != nil {
			return err
		}
	}
	return nil
}

func (p *recordingService) Run(ctx context.Context) error {
	if p.runErr != nil {
		return p.runErr
	}
	<-ctx.Done()
	p.events.add("stop %s", p.name)
	return nil
}

func (p *recordingService) Leave(context.Context) error {
	p.events.add("leave %s", p.name)
	return nil
}

func (p *recordingService) Drain(context.Context) error {
	p.events.add("drain %s", p.name)
	return nil
}

// TestErrors guards against a process that starts although a service cannot find
// one that it needs, and against errors that do not name the service concerned.
func TestErrors(t *testing.T) {
	n := &eventLog{}
	for _, c := range []struct {
		name string
		regs []Registration
	}{
		{"missing", []Registration{{Name: "a", Needs: []string{"b"}, Service: &recordingService{}}}},
		{"taken", []Registration{{Name: "a", Service: &recordingService{}}, {Name: "a", Service: &recordingService{}}}},
		{"cycle", []Registration{
			{Name: "a", Needs: []string{"b"}, Service: &recordingService{}},
			{Name: "b", Needs: []string{"c"}, Service: &recordingService{}},
			{Name: "c", Needs: []string{"b"}, Service: &recordingService{}},
		}},
		{"not listed as a need", []Registration{
			{Name: "a", Service: &recordingService{lookups: []string{"b"}}}, {Name: "b", Service: &recordingService{}},
		}},
		{"failure", []Registration{{Name: "a", Service: &recordingService{runErr: errors.New("disk write failed"), events: n}}}},
	} {
		k := &Kernel{Registrations: c.regs, Log: log.New(io.Discard), DrainTimeout: time.Second}
		n.add("%s: %v", c.name, k.Run(t.Context()))
	}
	golden.Check(t, "errors", strings.Join(n.lines, "\n")+"\n")
}

// TestStopOrder guards against a stop in which a service ends before the services
// that depend on it.
func TestStopOrder(t *testing.T) {
	is := is.New(t)
	n := &eventLog{}
	k := &Kernel{Log: log.New(io.Discard), DrainTimeout: time.Second, Registrations: []Registration{
		{Name: "front", Needs: []string{"router"}, Service: &recordingService{name: "front", lookups: []string{"router"}, events: n}},
		{Name: "config", Service: &recordingService{name: "config", events: n}},
		{Name: "router", Needs: []string{"config"}, Service: &recordingService{name: "router", lookups: []string{"config"}, events: n}},
	}}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.NoErr(k.Run(ctx))
	golden.Check(t, "stop_order", strings.Join(n.lines, "\n")+"\n")
}

package router

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassiarack.example/lib/decision/choice"
	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/decision/member"
	"cassiarack.example/lib/golden"
	"cassiarack.example/lib/service/ejection"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// alive is a fleet all of whose nodes are alive.
type alive struct{}

func (alive) State(string) member.State { return member.Alive }

func newRouter(t *testing.T) (*Service[choice.TwoChoices], *config.Service) {
	t.Helper()
	s := &Service[choice.TwoChoices]{DataCentre: "north-1", Random: rand.New(rand.NewPCG(1, 1))}
	s.members, s.ejection = alive{}, &ejection.Service{}
	s.init()
	svc := &config.Service{Name: "orders", Slots: 2}
	for i, dc := range []string{"north-2", "north-1"} {
		svc.Instances = append(svc.Instances, &config.Instance{Name: fmt.Sprint("orders-", i+1), Service: svc,
			VM: &config.VM{Name: fmt.Sprint("vm-", i+1), DataCentre: dc}})
	}
	return s, svc
}

// TestTerms guards against an entry that offers requests to full gates, that
// repeats requests in an overload, or that keeps refusing afterwards.
func TestTerms(t *testing.T) {
	var b strings.Builder
	s, svc := newRouter(t)
	ask := func(at time.Duration, kind budgetKind, organisation string, times int) {
		allowed := 0
		for range times {
			r := Fresh{Service: svc, Route: "GET /orders/", Organisation: organisation, Remaining: time.Second}
			if s.answer(epoch.Add(at), budgetQuery{kind: kind, r: r}).Allowed {
				allowed++
			}
		}
		name := map[budgetKind]string{fresh: "fresh", retried: "retry", hedged: "hedge", full: "full", ended: "end"}[kind]
		fmt.Fprintf(&b, "%v %s %s: %d of %d allowed\n", at, organisation, name, allowed, times)
	}
	// All slots and queues hold 2 instances x 2 slots x 5 requests.
	ask(0, fresh, "heavy", 30)
	ask(0, fresh, "light", 30)
	ask(0, ended, "heavy", 20)
	ask(0, ended, "light", 10)
	ask(0, fresh, "heavy", 15)
	ask(0, ended, "heavy", 15)
	ask(0, retried, "heavy", 20)
	ask(0, hedged, "heavy", 20)
	ask(time.Second, full, "heavy", 1)
	ask(time.Second, fresh, "heavy", 1)
	ask(time.Second, fresh, "light", 1)
	ask(time.Second, retried, "light", 1)
	ask(2*time.Second, fresh, "heavy", 1)
	ask(2*time.Second, retried, "light", 1)
	golden.Check(t, "terms", b.String())
}

// TestPicture guards against a load picture that ignores refused attempts, and
// against state of instances that no longer exist.
func TestPicture(t *testing.T) {
	is := is.New(t)
	s, svc := newRouter(t)
	local := svc.Instances[1]
	is.Equal(s.choose(epoch, Query{Service: svc}).instance, local) // the own data centre at equal load
	s.record(epoch, Report{Instance: local.Name, Load: &Load{Running: 2, Waiting: 6, Open: 2}})
	is.Equal(s.choose(epoch, Query{Service: svc}).instance, svc.Instances[0]) // a refused attempt told the load
	s.record(epoch, Report{Instance: svc.Instances[0].Name, Load: &Load{Leaving: true}})
	is.Equal(s.choose(epoch, Query{Service: svc}).instance, local) // the other gate takes no new work
	is.True(s.choose(epoch, Query{Service: svc, Exclude: []string{local.Name}}).err != nil)

	s.prune(epoch.Add(unusedAfter + time.Second))
	is.Equal(len(s.picture), 1) // the local instance has a request
	s.record(epoch, Report{Instance: local.Name})
	s.prune(epoch.Add(unusedAfter + time.Second))
	is.Equal(len(s.picture), 0)
	is.Equal(len(s.services), 0)
}

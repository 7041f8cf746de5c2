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

// allAlive is a members implementation that reports every node as alive.
type allAlive struct{}

func (allAlive) State(string) member.State { return member.Alive }

func newRouter(t *testing.T) (*Service[choice.TwoChoices], *config.Service) {
	t.Helper()
	s := &Service[choice.TwoChoices]{DataCentre: "north-1", Random: rand.New(rand.NewPCG(1, 1))}
	s.members, s.ejection = allAlive{}, &ejection.Service{}
	s.init()
	svc := &config.Service{Name: "orders", Slots: 2}
	for i, dc := range []string{"north-2", "north-1"} {
		svc.Instances = append(svc.Instances, &config.Instance{Name: fmt.Sprint("orders-", i+1), Service: svc,
			VM: &config.VM{Name: fmt.Sprint("vm-", i+1), DataCentre: dc}})
	}
	return s, svc
}

// TestBudgets guards against an entry node that offers requests to full gates,
// retries or hedges requests during an overload, or refuses requests after it.
func TestBudgets(t *testing.T) {
	var b strings.Builder
	s, svc := newRouter(t)
	ask := func(at time.Duration, kind budgetKind, organisation string, times int) {
		allowed := 0
		for range times {
			r := Request{Service: svc, Route: "GET /orders/", Organisation: organisation, Remaining: time.Second}
			if s.decide(epoch.Add(at), budgetQuery{kind: kind, r: r}).Allowed {
				allowed++
			}
		}
		name := map[budgetKind]string{budgetBegin: "begin", budgetRetry: "retry", budgetHedge: "hedge", budgetFull: "full", budgetEnd: "end"}[kind]
		fmt.Fprintf(&b, "%v %s %s: %d of %d allowed\n", at, organisation, name, allowed, times)
	}
	// All slots and queues hold 20 requests: 2 instances x 2 slots x (1 running and
	// 4 waiting requests).
	ask(0, budgetBegin, "heavy", 30)
	ask(0, budgetBegin, "light", 30)
	ask(0, budgetEnd, "heavy", 20)
	ask(0, budgetEnd, "light", 10)
	ask(0, budgetBegin, "heavy", 15)
	ask(0, budgetEnd, "heavy", 15)
	ask(0, budgetRetry, "heavy", 20)
	ask(0, budgetHedge, "heavy", 20)
	ask(time.Second, budgetFull, "heavy", 1)
	ask(time.Second, budgetBegin, "heavy", 1)
	ask(time.Second, budgetBegin, "light", 1)
	ask(time.Second, budgetRetry, "light", 1)
	ask(2*time.Second, budgetBegin, "heavy", 1)
	ask(2*time.Second, budgetRetry, "light", 1)
	golden.Check(t, "terms", b.String())
}

// TestLoadReports guards against choices that ignore the load reported with a
// refusal, and against a leak of the state of instances that no longer exist.
func TestLoadReports(t *testing.T) {
	is := is.New(t)
	s, svc := newRouter(t)
	local := svc.Instances[1]
	is.Equal(s.choose(epoch, Query{Service: svc}).instance, local) // at equal load, the own data centre is preferred
	s.recordReport(epoch, Report{Instance: local.Name, Load: &Load{Running: 2, Waiting: 6, OpenSlots: 2}})
	is.Equal(s.choose(epoch, Query{Service: svc}).instance, svc.Instances[0]) // the local gate reported a higher load with its refusal
	s.recordReport(epoch, Report{Instance: svc.Instances[0].Name, Load: &Load{Leaving: true}})
	is.Equal(s.choose(epoch, Query{Service: svc}).instance, local) // the other gate takes no new requests
	is.True(s.choose(epoch, Query{Service: svc, Exclude: []string{local.Name}}).err != nil)

	s.prune(epoch.Add(unusedAfter + time.Second))
	is.Equal(len(s.loads), 1) // the local instance has an outstanding request
	s.recordReport(epoch, Report{Instance: local.Name})
	s.prune(epoch.Add(unusedAfter + time.Second))
	is.Equal(len(s.loads), 0)
	is.Equal(len(s.services), 0)
}

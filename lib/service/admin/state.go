package admin

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/ring"
	configservice "cassiarack.example/lib/service/config"
	"cassiarack.example/lib/service/ejection"
	"cassiarack.example/lib/wire"
)

const (
	// queryWorkers bounds the nodes that are asked at once.
	queryWorkers = 64
	// nodeTimeout bounds the wait for one node, so that a status of 200 nodes
	// with some paused ones is told within a second.
	nodeTimeout = 400 * time.Millisecond
	// localTimeout bounds the wait for the services of the node itself.
	localTimeout = 200 * time.Millisecond
)

// NodeState is the state of a node, as operators see it.
type NodeState struct {
	VM         string          `json:"vm"`
	DataCentre string          `json:"dataCentre"`
	Revision   uint64          `json:"revision"`
	Serving    bool            `json:"serving"`
	Refused    string          `json:"refused,omitempty"`
	Instances  []InstanceState `json:"instances,omitempty"`
	// Error tells why the node did not answer.
	Error string `json:"error,omitempty"`
}

// InstanceState is the state of an instance.
type InstanceState struct {
	Name       string  `json:"name"`
	Service    string  `json:"service"`
	Slots      int     `json:"slots"`
	Running    int     `json:"running"`
	Waiting    int     `json:"waiting"`
	Leaving    bool    `json:"leaving,omitempty"`
	Cold       bool    `json:"cold,omitempty"`
	Condition  string  `json:"condition"`
	Cause      string  `json:"cause,omitempty"`
	AgeSeconds float64 `json:"ageSeconds,omitempty"`
}

// ServiceState sums up a service.
type ServiceState struct {
	Name      string `json:"name"`
	Instances int    `json:"instances"`
	Floor     int    `json:"floor"`
	Leaving   int    `json:"leaving"`
	Ejected   int    `json:"ejected"`
	Trial     int    `json:"trial"`
	Suspect   int    `json:"suspect"`
	// Healthy counts instances of nodes that answered and that are neither
	// leaving, ejected nor on trial.
	Healthy int `json:"healthy"`
}

// FleetState is the state of the fleet, as far as its nodes answered.
type FleetState struct {
	Asked    string         `json:"asked"`
	Revision uint64         `json:"revision"`
	NoReply  int            `json:"silent"`
	Behind   int            `json:"behind"`
	Nodes    []NodeState    `json:"nodes"`
	Services []ServiceState `json:"services"`
}

// Report implements the drpc call.
func (s *Service) Report(ctx context.Context, _ *wire.ReportRequest) (*wire.ReportReply, error) {
	ctx, cancel := context.WithTimeout(ctx, localTimeout)
	defer cancel()
	st := s.config.State()
	out := &wire.ReportReply{Vm: s.VM, Revision: st.Revision, Serving: st.Serving, Refused: latestRejection(st)}
	occupancy, err := s.gate.Occupancy(ctx)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	for _, o := range occupancy {
		i := &wire.InstanceReport{
			Name: o.Instance, Service: o.Service, Slots: uint32(o.Slots), Running: uint32(o.Running),
			Waiting: uint32(o.Waiting), Leaving: o.Leaving, Cold: o.Cold,
		}
		s.fillCondition(now, i)
		out.Instances = append(out.Instances, i)
	}
	return out, nil
}

// fillCondition fills in the condition of an instance, its cause and its age.
func (s *Service) fillCondition(now time.Time, i *wire.InstanceReport) {
	i.Condition = condition(now, s.ejection.Snapshot(), i.GetName())
	if i.GetCondition() == conditionHealthy {
		return
	}
	for _, d := range slices.Backward(s.ejection.Decisions()) {
		if d.Instance == i.GetName() {
			i.Cause, i.Age = d.Cause, int64(now.Sub(d.At))
			if d.Reason != "" {
				i.Cause = d.Cause + "; " + d.Reason
			}
			return
		}
	}
}

// condition names how an instance stands out in a snapshot.
func condition(now time.Time, s *ejection.Snapshot, instance string) string {
	if s == nil {
		return conditionHealthy
	}
	x := s.Instances[instance]
	switch {
	case x.Ejected && now.Before(x.Until):
		return conditionEjected
	case x.TrialShare > 0 && now.Before(x.Until):
		return conditionTrial
	case x.LocalWeight > 0:
		return conditionSuspect
	}
	return conditionHealthy
}

// latestRejection tells why the last revision after the one in force was not put in
// force.
func latestRejection(st configservice.State) string {
	for _, r := range slices.Backward(st.Rejections) {
		if r.Revision > st.Revision {
			return fmt.Sprintf("revision %d from %s: %s: %s", r.Revision, r.Source, r.Verdict, r.Reason)
		}
	}
	return ""
}

// Conditions of an instance.
const (
	conditionHealthy = "healthy"
	conditionSuspect = "suspect"
	conditionEjected = "ejected"
	conditionTrial   = "trial"
)

// gather asks all nodes of the configuration.
func (s *Service) gather(ctx context.Context, c *config.Configuration) *FleetState {
	vms := ring.New[*config.VM](len(c.VMs))
	states := ring.New[NodeState](len(c.VMs))
	for _, v := range c.VMs {
		// The ring has room for all.
		_ = vms.Offer(v)
	}
	vms.Close()
	for range min(queryWorkers, len(c.VMs)) {
		go s.queryNodes(ctx, vms, states)
	}
	out := &FleetState{Asked: s.VM}
	for range c.VMs {
		n, err := states.Take(ctx)
		if err != nil {
			break
		}
		out.Nodes = append(out.Nodes, n)
	}
	slices.SortFunc(out.Nodes, func(a, b NodeState) int { return strings.Compare(a.VM, b.VM) })
	out.summarise(c)
	return out
}

// queryNodes is a duty that asks nodes until none is left.
func (s *Service) queryNodes(ctx context.Context, vms *ring.Ring[*config.VM], states *ring.Ring[NodeState]) {
	for {
		v, err := vms.Take(ctx)
		if err != nil {
			return
		}
		if err := states.Put(ctx, s.queryNode(ctx, v)); err != nil {
			return
		}
	}
}

func (s *Service) queryNode(ctx context.Context, v *config.VM) NodeState {
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	n := NodeState{VM: v.Name, DataCentre: v.DataCentre}
	reply, err := wire.NewDRPCStateClient(s.peers.Conn(ctx, v.Node)).Report(ctx, &wire.ReportRequest{})
	if err != nil {
		n.Error = err.Error()
		return n
	}
	n.fill(reply)
	return n
}

func (n *NodeState) fill(r *wire.ReportReply) {
	n.Revision, n.Serving, n.Refused = r.GetRevision(), r.GetServing(), r.GetRefused()
	for _, i := range r.GetInstances() {
		n.Instances = append(n.Instances, InstanceState{
			Name: i.GetName(), Service: i.GetService(), Slots: int(i.GetSlots()), Running: int(i.GetRunning()),
			Waiting: int(i.GetWaiting()), Leaving: i.GetLeaving(), Cold: i.GetCold(), Condition: i.GetCondition(),
			Cause: i.GetCause(), AgeSeconds: time.Duration(i.GetAge()).Seconds(),
		})
	}
}

// summarise counts the nodes and instances.
func (f *FleetState) summarise(c *config.Configuration) {
	services := make(map[string]*ServiceState, len(c.Services))
	for name, s := range c.Services {
		services[name] = &ServiceState{Name: name, Instances: len(s.Instances), Floor: s.Floor}
	}
	for _, n := range f.Nodes {
		f.Revision = max(f.Revision, n.Revision)
	}
	for _, n := range f.Nodes {
		switch {
		case n.Error != "":
			f.NoReply++
		case n.Revision < f.Revision:
			f.Behind++
		}
		for _, i := range n.Instances {
			if s := services[i.Service]; s != nil {
				s.count(i)
			}
		}
	}
	for _, s := range services {
		f.Services = append(f.Services, *s)
	}
	slices.SortFunc(f.Services, func(a, b ServiceState) int { return strings.Compare(a.Name, b.Name) })
}

func (s *ServiceState) count(i InstanceState) {
	switch {
	case i.Leaving:
		s.Leaving++
	case i.Condition == conditionEjected:
		s.Ejected++
	case i.Condition == conditionTrial:
		s.Trial++
	case i.Condition == conditionSuspect:
		s.Suspect++
		s.Healthy++
	default:
		s.Healthy++
	}
}

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
	// queryWorkers is the maximum number of nodes that are queried concurrently.
	queryWorkers = 64
	// nodeTimeout limits the wait for one node, so that the state of 200 nodes is
	// complete within 1 s even if some of them are paused.
	nodeTimeout = 400 * time.Millisecond
	// localTimeout limits the wait for services of this node.
	localTimeout = 200 * time.Millisecond
)

// NodeState is the state of a node in the answer to an operator.
type NodeState struct {
	VM         string `json:"vm"`
	DataCentre string `json:"dataCentre"`
	Revision   uint64 `json:"revision"`
	Serving    bool   `json:"serving"`
	// Refused describes the latest rejected revision that follows Revision, or is
	// empty.
	Refused   string          `json:"refused,omitempty"`
	Instances []InstanceState `json:"instances,omitempty"`
	// Error is the reason why the node did not answer, or empty.
	Error string `json:"error,omitempty"`
}

// InstanceState is the state of an instance. AgeSeconds is the time since the
// latest decision about it, in seconds, and Cause the reason for that decision.
type InstanceState struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Slots   int    `json:"slots"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Leaving bool   `json:"leaving,omitempty"`
	// Cold is set while the number of slots ramps up after a start of the backend
	// server.
	Cold       bool    `json:"cold,omitempty"`
	Condition  string  `json:"condition"`
	Cause      string  `json:"cause,omitempty"`
	AgeSeconds float64 `json:"ageSeconds,omitempty"`
}

// ServiceState counts the instances of a service by their states.
type ServiceState struct {
	Name      string `json:"name"`
	Instances int    `json:"instances"`
	Floor     int    `json:"floor"`
	Leaving   int    `json:"leaving"`
	Ejected   int    `json:"ejected"`
	Trial     int    `json:"trial"`
	Suspect   int    `json:"suspect"`
	// Healthy is the number of instances on nodes that answered which are neither
	// leaving nor ejected nor on trial. It includes suspect instances.
	Healthy int `json:"healthy"`
}

// FleetState is the body of /fleet: the state of the fleet, from the nodes that
// answered.
type FleetState struct {
	// Asked is the VM that queried the nodes.
	Asked string `json:"asked"`
	// Revision is the highest revision that a node reported.
	Revision uint64 `json:"revision"`
	// NoReply is the number of nodes that did not answer.
	NoReply int `json:"silent"`
	// Behind is the number of nodes that answered with a lower revision.
	Behind   int            `json:"behind"`
	Nodes    []NodeState    `json:"nodes"`
	Services []ServiceState `json:"services"`
}

// Report implements wire.DRPCStateServer. It reports the state of this node.
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

// fillCondition sets the condition of an instance. Unless the instance is healthy,
// it also sets the cause and the age of the latest decision about it.
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

// condition returns the condition of an instance in a snapshot, which may be nil.
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

// latestRejection describes the latest rejected revision that follows the revision
// in force. It returns an empty string if there is none.
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

// gather queries all nodes of the configuration. The result lacks the nodes whose
// states were still missing when ctx was done.
func (s *Service) gather(ctx context.Context, c *config.Configuration) *FleetState {
	vms := ring.New[*config.VM](len(c.VMs))
	states := ring.New[NodeState](len(c.VMs))
	for _, v := range c.VMs {
		// Offer does not fail, as the ring has room for all VMs.
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

// queryNodes queries the nodes in vms one after another until none is left or ctx
// is done.
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

// queryNode queries the state of one node. If that fails, the result has the error.
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

// fill copies a report into the state.
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

// summarise counts the nodes and, for each service, its instances.
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

// count adds one instance to the numbers of its service.
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

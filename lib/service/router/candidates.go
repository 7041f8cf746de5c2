package router

import (
	"slices"
	"time"

	"cassiarack.example/lib/decision/choice"
	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/decision/member"
	"cassiarack.example/lib/decision/retry"
	"cassiarack.example/lib/service/ejection"
)

// leavingReportLifetime is how long a gate's report that its instance takes no new work
// excludes the instance.
const leavingReportLifetime = time.Second

// serviceState is what the duty keeps for each service.
type serviceState struct {
	// service tells when a new configuration came into force.
	service *config.Service
	// instances has those of the own data centre first.
	instances  []*config.Instance
	localCount int

	retries, hedges retry.Budget
	saturation      retry.Saturation
	inflight        retry.Inflight
	// lastUsed is when the state was last asked for a fresh request.
	lastUsed time.Time
}

// serviceState returns the state of a service, with its instances in order.
func (s *Service[P]) serviceState(svc *config.Service) *serviceState {
	st, ok := s.services[svc.Name]
	if !ok {
		st = &serviceState{
			retries: retry.Budget{Share: retry.RetryShare},
			hedges:  retry.Budget{Share: retry.HedgeShare},
		}
		s.services[svc.Name] = st
	}
	if st.service != svc {
		st.service = svc
		st.instances, st.localCount = s.localFirst(svc.Instances)
	}
	return st
}

func (s *Service[P]) localFirst(all []*config.Instance) ([]*config.Instance, int) {
	var local, remote []*config.Instance
	for _, i := range all {
		if i.VM.DataCentre == s.DataCentre {
			local = append(local, i)
		} else {
			remote = append(remote, i)
		}
	}
	return append(local, remote...), len(local)
}

// candidates presents the instances of a service to the policy.
type candidates[P choice.Policy] struct {
	s       *Service[P]
	now     time.Time
	state   *serviceState
	exclude []string
	// includeDead admits instances whose node is taken for dead.
	includeDead bool
	// ejections lowers the weights of instances that are ejected, on trial or
	// suspect. Idempotent requests may go to instances on trial.
	ejections  *ejection.Snapshot
	idempotent bool
	// lastResort is an instance that is admitted whatever its ejection.
	lastResort string
}

func (s *Service[P]) candidates(now time.Time, q Query) *candidates[P] {
	return &candidates[P]{s: s, now: now, state: s.serviceState(q.Service), exclude: q.Exclude,
		ejections: s.ejection.Snapshot(), idempotent: q.Idempotent}
}

// leastBad returns the instance to take when all are excluded.
func (c *candidates[P]) leastBad() string {
	best := ""
	for _, i := range c.state.instances {
		if slices.Contains(c.exclude, i.Name) || i.Leaving {
			continue
		}
		if best == "" || c.ejections.Badness(c.now, i.Name) < c.ejections.Badness(c.now, best) {
			best = i.Name
		}
	}
	return best
}

// Len implements choice.Candidates.
func (c *candidates[P]) Len() int { return len(c.state.instances) }

// LocalLen implements choice.Candidates.
func (c *candidates[P]) LocalLen() int { return c.state.localCount }

// At implements choice.Candidates.
func (c *candidates[P]) At(i int) choice.Candidate {
	inst := c.state.instances[i]
	x := c.s.candidate(c.now, inst)
	if slices.Contains(c.exclude, inst.Name) {
		x.Weight = 0
	}
	if c.s.isNodeUnavailable(inst, c.includeDead) {
		x.Weight = 0
	}
	if inst.Name != c.lastResort {
		x.Weight *= c.ejections.Weight(c.now, inst.Name, c.idempotent)
	}
	return x
}

// isNodeUnavailable reports whether the node beside an instance leaves or is dead.
func (s *Service[P]) isNodeUnavailable(i *config.Instance, dead bool) bool {
	st := s.members.State(i.VM.Name)
	return st == member.Leaving || st == member.Dead && !dead
}

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

// leavingReportLifetime is how long an instance is excluded after its gate reported
// that it takes no new requests.
const leavingReportLifetime = time.Second

// serviceState is what the router keeps for each service.
type serviceState struct {
	// service is the service from the configuration for which instances was built.
	service *config.Service
	// instances holds the localCount instances of the own data centre first, then
	// the others.
	instances  []*config.Instance
	localCount int

	retries, hedges retry.Budget
	saturation      retry.Saturation
	inflight        retry.Inflight
	// lastUsed is the time of the last new request.
	lastUsed time.Time
}

// serviceState returns the state of a service and creates it if there is none. It
// orders the instances anew when the configuration has changed.
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

// localFirst returns the instances with those of the own data centre first, and the
// number of these.
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

// candidates implements choice.Candidates with the instances of a service.
type candidates[P choice.Policy] struct {
	s       *Service[P]
	now     time.Time
	state   *serviceState
	exclude []string
	// includeDead admits instances whose node was declared dead.
	includeDead bool
	// ejections lowers the weights of instances that are ejected, have a trial
	// share or are suspicious. Idempotent requests may use a trial share.
	ejections  *ejection.Snapshot
	idempotent bool
	// lastResort is the name of an instance that is admitted even if it is ejected.
	lastResort string
}

func (s *Service[P]) candidates(now time.Time, q Query) *candidates[P] {
	return &candidates[P]{s: s, now: now, state: s.serviceState(q.Service), exclude: q.Exclude,
		ejections: s.ejection.Snapshot(), idempotent: q.Idempotent}
}

// leastBad returns the instance to choose when all have weight 0, or "" if there is
// none. It passes over excluded and leaving instances.
func (c *candidates[P]) leastBad() string {
	best := ""
	for _, i := range c.state.instances {
		if slices.Contains(c.exclude, i.Name) || i.Leaving {
			continue
		}
		if best == "" || c.ejections.WithheldShare(c.now, i.Name) < c.ejections.WithheldShare(c.now, best) {
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

// isNodeUnavailable reports whether the node on the VM of an instance is leaving or,
// unless includeDead is set, dead.
func (s *Service[P]) isNodeUnavailable(i *config.Instance, includeDead bool) bool {
	st := s.members.State(i.VM.Name)
	return st == member.Leaving || st == member.Dead && !includeDead
}

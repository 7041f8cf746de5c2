package config

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"cassiarack.example/lib/input/register"
	"cassiarack.example/lib/input/rules"
	"cassiarack.example/lib/input/strict"
)

// compiler adds documents to one configuration and collects their faults.
type compiler struct {
	conf *Configuration
	// floors holds the rule for the floor of each service that has one.
	floors map[string]rules.Floor
	faults Errors
}

func (c *compiler) addFault(at strict.Position, op string, kind Kind, found, allowed string) {
	c.faults = append(c.faults, &Error{Op: op, Kind: kind, At: at, Found: found, Allowed: allowed})
}

func (c *compiler) addServices(ss []register.Service) {
	for _, s := range ss {
		if _, dup := c.conf.Services[s.Name]; dup {
			c.addFault(s.At, "services", KindDuplicate, strconv.Quote(s.Name), "")
			continue
		}
		svc := &Service{Name: s.Name, Slots: s.Slots, Connections: s.Connections}
		c.conf.Services[s.Name] = svc
		c.addPrefix(s.At, "/"+s.Name+"/", svc)
		for _, r := range s.Routes {
			c.addPrefix(s.At, r, svc)
		}
	}
}

// addPrefix maps a path prefix to s, or adds a fault if a service has it already.
func (c *compiler) addPrefix(at strict.Position, path string, s *Service) {
	if other, dup := c.conf.Prefixes[path]; dup {
		c.addFault(at, "routes", KindOverlap, fmt.Sprintf("%q at services %s and %s", path, other.Name, s.Name),
			"each path prefix once")
		return
	}
	c.conf.Prefixes[path] = s
}

func (c *compiler) addOrganisations(orgs []register.Organisation) {
	for _, o := range orgs {
		// Comparing the size of the map finds a duplicate without an extra
		// lookup.
		n := len(c.conf.Organisations)
		c.conf.Organisations[o.Name] = o.Weight
		if len(c.conf.Organisations) == n {
			c.addFault(o.At, "organisations", KindDuplicate, strconv.Quote(o.Name), "")
		}
	}
}

func (c *compiler) addVMs(vms []register.VM) {
	for _, v := range vms {
		if _, dup := c.conf.VMs[v.Name]; dup {
			c.addFault(v.At, "vms", KindDuplicate, strconv.Quote(v.Name), "")
			continue
		}
		vm := &VM{Name: v.Name, Region: v.Region, DataCentre: v.DataCentre, Node: v.Node}
		c.conf.VMs[v.Name] = vm
		for _, i := range v.Instances {
			c.addInstance(vm, i)
		}
	}
}

func (c *compiler) addInstance(vm *VM, i register.Instance) {
	svc, ok := c.conf.Services[i.Service]
	if !ok {
		c.addFault(i.At, "instances", KindUnknown, fmt.Sprintf("service %q of instance %q", i.Service, i.Name),
			"a service of the register")
		return
	}
	if _, dup := c.conf.Instances[i.Name]; dup {
		c.addFault(i.At, "instances", KindDuplicate, strconv.Quote(i.Name), "")
		return
	}
	inst := &Instance{Name: i.Name, Address: i.Address, VM: vm, Service: svc}
	c.conf.Instances[i.Name] = inst
	vm.Instances = append(vm.Instances, inst)
	svc.Instances = append(svc.Instances, inst)
}

func (c *compiler) applyRules(r *rules.Rules) {
	for _, i := range r.Idempotent {
		if s := c.lookupService(i.At, "idempotent", i.Service); s != nil {
			s.Idempotent = append(s.Idempotent, i)
		}
	}
	for _, f := range r.Floors {
		c.addFloor(f)
	}
	for _, l := range r.Leaving {
		c.markLeaving(l)
	}
}

// lookupService returns the service with a name. If there is none, it adds a
// fault at the given position and returns nil.
func (c *compiler) lookupService(at strict.Position, op, name string) *Service {
	s, ok := c.conf.Services[name]
	if !ok {
		c.addFault(at, op, KindUnknown, "service "+strconv.Quote(name), "a service of the register")
	}
	return s
}

func (c *compiler) addFloor(f rules.Floor) {
	if c.lookupService(f.At, "floors", f.Service) == nil {
		return
	}
	if _, dup := c.floors[f.Service]; dup {
		c.addFault(f.At, "floors", KindDuplicate, "a second floor of service "+strconv.Quote(f.Service), "one floor for a service")
		return
	}
	if c.floors == nil {
		c.floors = make(map[string]rules.Floor)
	}
	c.floors[f.Service] = f
}

// markLeaving sets the leaving marks of the instances that l names.
func (c *compiler) markLeaving(l rules.Leaving) {
	if l.VM != "" {
		vm, ok := c.conf.VMs[l.VM]
		if !ok {
			c.addFault(l.At, "leaving", KindUnknown, "VM "+strconv.Quote(l.VM), "a VM of the register")
			return
		}
		for _, i := range vm.Instances {
			i.Leaving = true
		}
		return
	}
	inst, ok := c.conf.Instances[l.Instance]
	if !ok {
		c.addFault(l.At, "leaving", KindUnknown, "instance "+strconv.Quote(l.Instance), "an instance of the register")
		return
	}
	if inst.Leaving {
		c.addFault(l.At, "leaving", KindDuplicate, "instance "+strconv.Quote(l.Instance), "each instance once")
	}
	inst.Leaving = true
}

// finish sorts the instances of each service and derives its floor and
// assignment.
func (c *compiler) finish() {
	if len(c.conf.VMs) == 0 {
		c.addFault(strict.Position{}, "vms", KindEmpty, "no VM", "at least one VM")
	}
	// Sorted names keep the order of the faults the same in every run.
	for _, name := range slices.Sorted(maps.Keys(c.conf.Services)) {
		s := c.conf.Services[name]
		slices.SortFunc(s.Instances, func(a, b *Instance) int { return strings.Compare(a.Name, b.Name) })
		n := len(s.Instances)
		s.Floor = floorOf(c.floors, s.Name, n)
		if s.Floor > n {
			c.addFault(c.floors[s.Name].At, "floors", KindFloor, fmt.Sprintf("%d for service %q", s.Floor, s.Name),
				fmt.Sprintf("at most %d instances", n))
		}
		s.Assignment = assignmentHash(s)
	}
}

// floorOf returns the floor of a service with n instances. Without a rule it is
// two thirds of n, rounded up, which leaves room for the loss of one of three
// data centres.
func floorOf(floors map[string]rules.Floor, service string, n int) int {
	f, ok := floors[service]
	switch {
	case !ok:
		return (2*n + 2) / 3
	case f.Percent:
		return (n*f.Healthy + 99) / 100
	default:
		return f.Healthy
	}
}

// assignmentHash returns a hash of all values on which the distribution of
// ejection tokens depends.
func assignmentHash(s *Service) uint64 {
	h := xxhash.New()
	write := func(parts ...string) {
		for _, p := range parts {
			// A write to a hash never fails.
			_, _ = h.WriteString(strconv.Itoa(len(p)) + ":" + p)
		}
	}
	write(s.Name, strconv.Itoa(s.Floor))
	for _, i := range s.Instances {
		write(i.Name, i.VM.Name, i.VM.DataCentre, strconv.FormatBool(i.Leaving))
	}
	return h.Sum64()
}

package config

import (
	"net/netip"
	"slices"
	"strings"

	"cassiarack.example/lib/input/register"
	"cassiarack.example/lib/input/rules"
)

// Revision identifies a configuration. Number orders revisions; Digest
// distinguishes two with the same number.
type Revision struct {
	Number uint64
	Digest [32]byte
}

// Configuration is the compiled register and rules of one revision.
type Configuration struct {
	Revision  Revision
	VMs       map[string]*VM
	Instances map[string]*Instance
	Services  map[string]*Service
	// Organisations maps the name of each organisation to its weight.
	Organisations map[string]int
	// Prefixes maps each path prefix to its service.
	Prefixes map[string]*Service
}

// VM is a machine with one node.
type VM struct {
	Name       string
	Region     string
	DataCentre string
	// Node is the address of the node.
	Node      netip.AddrPort
	Instances []*Instance
}

// Instance is one backend server.
type Instance struct {
	Name    string
	Address netip.AddrPort
	VM      *VM
	Service *Service
	// Leaving is set if the rules mark the instance or its VM as leaving.
	Leaving bool
}

// Service is a set of instances that serve the same requests.
type Service struct {
	Name string
	// Slots is the number of requests that an instance processes concurrently.
	Slots       int
	Connections int
	// Instances are ordered by name.
	Instances []*Instance
	// Floor is the least number of healthy instances that ejection must leave.
	Floor      int
	Idempotent []rules.Idempotent
	// Assignment is a hash of the instances, their leaving marks and the floor.
	// Ejection leases of another assignment do not count.
	Assignment uint64
}

// LeavingCount returns the number of instances that are marked as leaving.
func (s *Service) LeavingCount() int {
	n := 0
	for _, i := range s.Instances {
		if i.Leaving {
			n++
		}
	}
	return n
}

// VMs returns the distinct VMs of the service, ordered by name.
func (s *Service) VMs() []*VM {
	var out []*VM
	for _, i := range s.Instances {
		out = append(out, i.VM)
	}
	slices.SortFunc(out, func(a, b *VM) int { return strings.Compare(a.Name, b.Name) })
	return slices.Compact(out)
}

// compileCache holds what the compilation of a revision reuses from the one
// before.
type compileCache struct {
	// organisations was compiled from organisationRegisters, in this order, and
	// is reused while they stay the same.
	organisations         map[string]int
	organisationRegisters []*register.Register
	// These are the numbers of entries of the last configuration, with which
	// the maps of the next one are allocated.
	vms, instances, services, prefixes int
}

// compile compiles the decoded registers and rules. The error is of type Errors.
func (c *Compiler) compile(rev Revision, regs []*register.Register, rs []*rules.Rules) (*Configuration, error) {
	k := &compiler{conf: &Configuration{
		Revision:  rev,
		VMs:       make(map[string]*VM, c.cache.vms),
		Instances: make(map[string]*Instance, c.cache.instances),
		Services:  make(map[string]*Service, c.cache.services),
		Prefixes:  make(map[string]*Service, c.cache.prefixes),
	}}
	var withOrganisations []*register.Register
	for _, r := range regs {
		k.addServices(r.Services)
		if len(r.Organisations) > 0 {
			withOrganisations = append(withOrganisations, r)
		}
	}
	if c.cache.organisations != nil && slices.Equal(withOrganisations, c.cache.organisationRegisters) {
		k.conf.Organisations = c.cache.organisations
	} else {
		k.conf.Organisations = make(map[string]int, len(c.cache.organisations))
		for _, r := range withOrganisations {
			k.addOrganisations(r.Organisations)
		}
	}
	for _, r := range regs {
		k.addVMs(r.VMs)
	}
	for _, r := range rs {
		k.applyRules(r)
	}
	k.finish()
	if len(k.faults) > 0 {
		return nil, k.faults
	}
	c.cache = compileCache{organisations: k.conf.Organisations, organisationRegisters: withOrganisations, vms: len(k.conf.VMs),
		instances: len(k.conf.Instances), services: len(k.conf.Services), prefixes: len(k.conf.Prefixes)}
	return k.conf, nil
}

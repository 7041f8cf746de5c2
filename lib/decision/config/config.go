package config

import (
	"net/netip"
	"slices"
	"strings"

	"cassiarack.example/lib/input/register"
	"cassiarack.example/lib/input/rules"
)

// Revision identifies a configuration. Number orders revisions; Digest tells
// two with the same number apart.
type Revision struct {
	Number uint64
	Digest [32]byte
}

// Configuration is the register and the rules of one revision.
type Configuration struct {
	Revision      Revision
	VMs           map[string]*VM
	Instances     map[string]*Instance
	Services      map[string]*Service
	Organisations map[string]int
	// Prefixes maps each path prefix to its service.
	Prefixes map[string]*Service
}

// VM is a machine with one node.
type VM struct {
	Name       string
	Region     string
	DataCentre string
	Node       netip.AddrPort
	Instances  []*Instance
}

// Instance is one backend server.
type Instance struct {
	Name    string
	Address netip.AddrPort
	VM      *VM
	Service *Service
	// Leaving is set when the rules mark the instance or its VM.
	Leaving bool
}

// Service is a set of instances that serve the same requests.
type Service struct {
	Name        string
	Slots       int
	Connections int
	// Instances are ordered by name.
	Instances []*Instance
	// Floor is the number of healthy instances that ejection must leave.
	Floor      int
	Idempotent []rules.Idempotent
	// Assignment identifies instances, leaving marks and floor. Ejection
	// leases of another assignment do not count.
	Assignment uint64
}

// LeavingCount returns the number of instances marked as leaving.
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

// compileCache is what successive configurations have in common.
type compileCache struct {
	// organisations is made from the registers of from, in this order.
	organisations         map[string]int
	organisationRegisters []*register.Register
	// sizes are the numbers of the last configuration, so that maps are made in
	// the right size.
	vms, instances, services, prefixes int
}

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

package floor

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"cassiarack.example/lib/decision/config"
)

// Assignment maps each token of a service to the VM that holds it.
type Assignment struct {
	// ID identifies the assignment in the configuration.
	ID      uint64
	Service string
	// Holders contains the name of the VM that holds each token, by token number.
	Holders []string
	// Spare is the number of tokens: the instances that are not leaving, less the
	// floor, and at least 0.
	Spare int
}

// Assign computes the assignment of a service. The result depends only on the
// configuration, so all nodes with the same configuration agree on it.
func Assign(s *config.Service) *Assignment {
	a := &Assignment{ID: s.Assignment, Service: s.Name, Spare: max(0, len(s.Instances)-s.LeavingCount()-s.Floor)}
	order := rankVMs(s)
	for u := range a.Spare {
		a.Holders = append(a.Holders, order[u%len(order)])
	}
	return a
}

// rankVMs orders the VMs of a service by rendezvous hashing and alternates
// between data centres, so that the loss of a data centre affects as few tokens
// as possible.
func rankVMs(s *config.Service) []string {
	type candidate struct {
		vm       string
		rank     uint64
		position int
		dc       string
	}
	var cs []candidate
	for _, vm := range s.VMs() {
		cs = append(cs, candidate{vm: vm.Name, dc: vm.DataCentre, rank: xxhash.Sum64String(s.Name + "\x00" + vm.Name)})
	}
	slices.SortFunc(cs, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), strings.Compare(a.vm, b.vm))
	})
	positions := make(map[string]int)
	for i := range cs {
		cs[i].position = positions[cs[i].dc]
		positions[cs[i].dc]++
	}
	slices.SortStableFunc(cs, func(a, b candidate) int { return cmp.Compare(a.position, b.position) })
	out := make([]string, len(cs))
	for i, c := range cs {
		out[i] = c.vm
	}
	return out
}

// Tokens returns the numbers of the tokens that a VM holds, in ascending order.
func (a *Assignment) Tokens(vm string) []int {
	var out []int
	for u, h := range a.Holders {
		if h == vm {
			out = append(out, u)
		}
	}
	return out
}

package floor

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"cassiarack.example/lib/decision/config"
)

// Assignment tells which VM holds which token of a service.
type Assignment struct {
	// ID is the assignment of the configuration.
	ID      uint64
	Service string
	// Holders is the VM of each token.
	Holders []string
	// Spare is the number of instances that may be out of work: those above the
	// floor that are not leaving.
	Spare int
}

// Assign computes the assignment of a service.
func Assign(s *config.Service) *Assignment {
	a := &Assignment{ID: s.Assignment, Service: s.Name, Spare: max(0, len(s.Instances)-s.Leaving()-s.Floor)}
	order := rankVMs(s)
	for u := range a.Spare {
		a.Holders = append(a.Holders, order[u%len(order)])
	}
	return a
}

// rankVMs orders the VMs of a service by rendezvous hashing, one data centre
// after the other, so that the loss of a data centre takes as few tokens as
// possible.
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

// Tokens returns the tokens that a VM holds.
func (a *Assignment) Tokens(vm string) []int {
	var out []int
	for u, h := range a.Holders {
		if h == vm {
			out = append(out, u)
		}
	}
	return out
}

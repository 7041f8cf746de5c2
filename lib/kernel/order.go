package kernel

import "slices"

// startOrder sorts the registrations so that each follows those that it needs.
func startOrder(regs []Registration) ([]Registration, error) {
	byName := make(map[string]Registration, len(regs))
	for _, r := range regs {
		if _, ok := byName[r.Name]; ok {
			return nil, &Error{Op: "register", Kind: KindTaken, Names: []string{r.Name}}
		}
		byName[r.Name] = r
	}
	s := sorter{byName: byName, state: make(map[string]visit, len(regs))}
	for _, r := range regs {
		if err := s.visit(r.Name, nil); err != nil {
			return nil, err
		}
	}
	return s.order, nil
}

// visit is the state of a name in the depth-first search.
type visit int

const (
	unseen visit = iota
	open
	done
)

// sorter performs a depth-first topological sort.
type sorter struct {
	byName map[string]Registration
	state  map[string]visit
	order  []Registration
}

func (s *sorter) visit(name string, path []string) error {
	r, ok := s.byName[name]
	if !ok {
		return &Error{Op: "order", Kind: KindMissing, Names: append(path, name)}
	}
	switch s.state[name] {
	case done:
		return nil
	case open:
		from := slices.Index(path, name)
		return &Error{Op: "order", Kind: KindCycle, Names: append(slices.Clone(path[from:]), name)}
	}
	s.state[name] = open
	path = append(slices.Clone(path), name)
	for _, n := range r.Needs {
		if err := s.visit(n, path); err != nil {
			return err
		}
	}
	s.state[name] = done
	s.order = append(s.order, r)
	return nil
}

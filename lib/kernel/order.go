package kernel

import "slices"

// startOrder sorts the registrations so that each service follows those that it
// needs. It returns an error of kind KindTaken, KindMissing or KindCycle.
func startOrder(regs []Registration) ([]Registration, error) {
	byName := make(map[string]Registration, len(regs))
	for _, r := range regs {
		if _, ok := byName[r.Name]; ok {
			return nil, &Error{Op: "register", Kind: KindTaken, Names: []string{r.Name}}
		}
		byName[r.Name] = r
	}
	s := sorter{byName: byName, state: make(map[string]visitState, len(regs))}
	for _, r := range regs {
		if err := s.visit(r.Name, nil); err != nil {
			return nil, err
		}
	}
	return s.order, nil
}

// visitState is the state of a name in the depth-first search.
type visitState int

const (
	unvisited visitState = iota
	inProgress
	visited
)

// sorter performs a topological sort by depth-first search.
type sorter struct {
	byName map[string]Registration
	state  map[string]visitState
	order  []Registration
}

// visit appends the named service to the order, after the services that it needs.
// path holds the names on the way from the root of the search.
func (s *sorter) visit(name string, path []string) error {
	r, ok := s.byName[name]
	if !ok {
		return &Error{Op: "order", Kind: KindMissing, Names: append(path, name)}
	}
	switch s.state[name] {
	case visited:
		return nil
	case inProgress:
		from := slices.Index(path, name)
		return &Error{Op: "order", Kind: KindCycle, Names: append(slices.Clone(path[from:]), name)}
	}
	s.state[name] = inProgress
	path = append(slices.Clone(path), name)
	for _, n := range r.Needs {
		if err := s.visit(n, path); err != nil {
			return err
		}
	}
	s.state[name] = visited
	s.order = append(s.order, r)
	return nil
}

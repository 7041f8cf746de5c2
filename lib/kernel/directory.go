package kernel

import "fmt"

// Directory lets one service find the services that it needs by their names.
type Directory struct {
	services map[string]Service
	// allowed holds the names that the owner listed in Registration.Needs.
	allowed map[string]bool
	// owner is the name of the service that uses the directory.
	owner string
}

// Find returns the service that is registered under name. The name must be in the
// Needs of the calling service's Registration, since the start order depends on
// them. Find returns an error of kind KindMissing if the name is not registered
// or not in Needs, and of kind KindType if the service is not a T.
func Find[T any](d *Directory, name string) (T, error) {
	var zero T
	s, ok := d.services[name]
	if !ok || !d.allowed[name] {
		return zero, &Error{Op: "find", Kind: KindMissing, Names: []string{d.owner, name}}
	}
	t, ok := s.(T)
	if !ok {
		err := fmt.Errorf("%T does not implement %T", s, &zero)
		return zero, &Error{Op: "find", Kind: KindType, Names: []string{d.owner, name}, Err: err}
	}
	return t, nil
}

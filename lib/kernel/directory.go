package kernel

import "fmt"

// Directory finds services by name.
type Directory struct {
	services map[string]Service
	allowed  map[string]bool
	owner    string
}

// Find returns the service that is registered under name. The caller must have
// listed the name in its needs, since the start order depends on them. Find
// returns an error of kind KindMissing or KindType.
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

package route

import (
	"fmt"
	"slices"
	"strings"

	"cassiarack.example/lib/decision/config"
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindNotFound means that no configured prefix matches the path.
	KindNotFound Kind = "no route"
)

// Error is the error of package route.
type Error struct {
	Op   string
	Kind Kind
	Path string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("route: %s: %s for path %q", e.Op, e.Kind, e.Path)
}

// Route is what a configuration says about a request.
type Route struct {
	Service *config.Service
	// Prefix is the matched path prefix.
	Prefix string
	// Idempotent is set if the request may run more than once.
	Idempotent bool
}

// Name returns a name shared by requests that are expected to take about the
// same time.
func (r Route) Name(method string) string { return method + " " + r.Prefix }

// Find returns the route of a request, or an error of kind KindNotFound.
//
// It tries the path itself and the prefixes that end at a slash of the path,
// longest first, so that its cost grows with the depth of the path and not with
// the number of routes.
func Find(c *config.Configuration, method, path string) (Route, error) {
	// A path that equals a prefix without its last slash matches that prefix.
	if r, ok := lookup(c, method, path, path+"/"); ok && path != "" {
		return r, nil
	}
	for end := len(path); end > 0; end = strings.LastIndexByte(path[:end-1], '/') + 1 {
		if r, ok := lookup(c, method, path, path[:end]); ok {
			return r, nil
		}
		if trimmed := strings.TrimSuffix(path[:end], "/"); trimmed != path[:end] && trimmed != "" {
			if r, ok := lookup(c, method, path, trimmed); ok {
				return r, nil
			}
		}
	}
	return Route{}, &Error{Op: "find", Kind: KindNotFound, Path: path}
}

// lookup returns the route of a request if prefix is configured.
func lookup(c *config.Configuration, method, path, prefix string) (Route, bool) {
	s, ok := c.Prefixes[prefix]
	if !ok {
		return Route{}, false
	}
	return Route{Service: s, Prefix: prefix, Idempotent: isIdempotent(s, method, path)}, true
}

// isIdempotent reports whether a request may run more than once: by its method,
// or by a rule of the service.
func isIdempotent(s *config.Service, method, path string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS":
		return true
	}
	for _, r := range s.Idempotent {
		methodOK := len(r.Methods) == 0 || slices.Contains(r.Methods, method)
		if methodOK && hasPathPrefix(path, r.Path) {
			return true
		}
	}
	return false
}

// hasPathPrefix reports whether path is prefix or lies below it.
func hasPathPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || prefix == "" || path[len(prefix)] == '/'
}

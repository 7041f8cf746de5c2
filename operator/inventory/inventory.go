// Package inventory checks and compares registers and rules before they are
// published.
package inventory

import (
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"cassiarack.example/lib/decision/config"
)

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	KindRead Kind = "not readable"
	KindName Kind = "name not usable"
)

// Error is the error of package inventory.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("inventory: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Read reads documents from files, and from the files of folders. The base name
// tells what a document is: it starts with "register" or "rules".
func Read(paths ...string) (map[string][]byte, error) {
	documents := make(map[string][]byte)
	for _, p := range paths {
		info, err := os.Stat(p)
		if err != nil {
			return nil, &Error{Op: "read", Kind: KindRead, Err: err}
		}
		files := []string{p}
		if info.IsDir() {
			if files, err = fs.Glob(os.DirFS(p), "r*"); err != nil {
				return nil, &Error{Op: "list " + p, Kind: KindRead, Err: err}
			}
			for i, f := range files {
				files[i] = filepath.Join(p, f)
			}
		}
		if err := add(documents, files); err != nil {
			return nil, err
		}
	}
	return documents, nil
}

func add(documents map[string][]byte, files []string) error {
	for _, f := range files {
		name := filepath.Base(f)
		if _, dup := documents[name]; dup {
			return &Error{Op: "read " + f, Kind: KindName, Err: fmt.Errorf("a second file called %s", name)}
		}
		text, err := os.ReadFile(f)
		if err != nil {
			return &Error{Op: "read", Kind: KindRead, Err: err}
		}
		documents[name] = text
	}
	return nil
}

// Warnings returns what is valid but probably not meant.
func Warnings(c *config.Configuration) []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		s := c.Services[name]
		n := len(s.Instances)
		if n == 0 {
			out = append(out, fmt.Sprintf("service %s has no instance", name))
			continue
		}
		if s.Floor == n {
			out = append(out, fmt.Sprintf("service %s: the floor of %d is all %d instances, so that none can be ejected",
				name, s.Floor, n))
		}
		if left := n - s.LeavingCount(); left < s.Floor {
			out = append(out, fmt.Sprintf("service %s: with %d instances leaving, %d are left, below the floor of %d",
				name, s.LeavingCount(), left, s.Floor))
		}
		if dc, left := afterLoss(s); left < s.Floor {
			out = append(out, fmt.Sprintf("service %s: the loss of data centre %s leaves %d instances, below the floor of %d",
				name, dc, left, s.Floor))
		}
	}
	return out
}

// afterLoss returns the data centre whose loss leaves the fewest instances.
func afterLoss(s *config.Service) (dataCentre string, left int) {
	counts := make(map[string]int)
	for _, i := range s.Instances {
		counts[i.VM.DataCentre]++
	}
	left = len(s.Instances) + 1
	for _, dc := range slices.Sorted(maps.Keys(counts)) {
		if n := len(s.Instances) - counts[dc]; n < left {
			dataCentre, left = dc, n
		}
	}
	return dataCentre, left
}

// Change is one effect of a new configuration.
type Change struct {
	Service string `json:"service"`
	Effect  string `json:"effect"`
}

// Compare returns the effects of a change, ordered by service.
func Compare(before, after *config.Configuration) []Change {
	var out []Change
	names := slices.Collect(maps.Keys(before.Services))
	names = append(names, slices.Collect(maps.Keys(after.Services))...)
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		out = append(out, compareService(name, before.Services[name], after.Services[name])...)
	}
	out = append(out, compareRoutes(before, after)...)
	return out
}

func compareService(name string, b, a *config.Service) []Change {
	var out []Change
	add := func(format string, args ...any) {
		out = append(out, Change{Service: name, Effect: fmt.Sprintf(format, args...)})
	}
	switch {
	case b == nil:
		add("added with %d instances and a floor of %d", len(a.Instances), a.Floor)
		return out
	case a == nil:
		add("removed with its %d instances", len(b.Instances))
		return out
	}
	if b.Floor != a.Floor {
		add("floor %d becomes %d of %d instances", b.Floor, a.Floor, len(a.Instances))
	}
	if b.Slots != a.Slots {
		add("slots of each instance: %d becomes %d", b.Slots, a.Slots)
	}
	if b.Connections != a.Connections {
		add("connections to each instance: %d becomes %d", b.Connections, a.Connections)
	}
	old := byName(b)
	now := byName(a)
	for _, n := range slices.Sorted(maps.Keys(now)) {
		o, known := old[n]
		switch {
		case !known:
			add("instance %s added on VM %s", n, now[n].VM.Name)
		case !o.Leaving && now[n].Leaving:
			add("instance %s starts to drain", n)
		case o.Leaving && !now[n].Leaving:
			add("instance %s gets work again", n)
		}
	}
	for _, n := range slices.Sorted(maps.Keys(old)) {
		if now[n] == nil {
			add("instance %s removed", n)
		}
	}
	if len(b.Idempotent) != len(a.Idempotent) {
		add("rules of idempotent work: %d becomes %d", len(b.Idempotent), len(a.Idempotent))
	}
	return out
}

func byName(s *config.Service) map[string]*config.Instance {
	out := make(map[string]*config.Instance, len(s.Instances))
	for _, i := range s.Instances {
		out[i.Name] = i
	}
	return out
}

func compareRoutes(before, after *config.Configuration) []Change {
	var out []Change
	for _, p := range slices.Sorted(maps.Keys(after.Prefixes)) {
		s := after.Prefixes[p]
		if b, ok := before.Prefixes[p]; before.Services[s.Name] != nil && (!ok || b.Name != s.Name) {
			out = append(out, Change{Service: s.Name, Effect: "gets the route " + p})
		}
	}
	for _, p := range slices.Sorted(maps.Keys(before.Prefixes)) {
		s := before.Prefixes[p]
		if _, ok := after.Prefixes[p]; !ok && after.Services[s.Name] != nil {
			out = append(out, Change{Service: s.Name, Effect: "loses the route " + p})
		}
	}
	slices.SortStableFunc(out, func(a, b Change) int { return strings.Compare(a.Service, b.Service) })
	return out
}

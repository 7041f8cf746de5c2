// Package inventory reads registers and rules, warns about probable mistakes in
// them, and lists the effects of a change, before they are published.
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

// Error is the error type of package inventory.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("inventory: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Read returns the contents of files by base name. For a folder in paths it reads
// the files in it whose names start with "r". The base name of a register starts
// with "register" and that of rules with "rules". Two files with the same base
// name are an error. The error is an *Error.
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
		if err := addFiles(documents, files); err != nil {
			return nil, err
		}
	}
	return documents, nil
}

func addFiles(documents map[string][]byte, files []string) error {
	for _, f := range files {
		name := filepath.Base(f)
		if _, dup := documents[name]; dup {
			return &Error{Op: "read " + f, Kind: KindName, Err: fmt.Errorf("another file is also named %s", name)}
		}
		text, err := os.ReadFile(f)
		if err != nil {
			return &Error{Op: "read", Kind: KindRead, Err: err}
		}
		documents[name] = text
	}
	return nil
}

// Warnings describes parts of a valid configuration that are probably unintended:
// a service without instances, and floors that leave too few instances to eject,
// to drain, or to survive the loss of a data centre.
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
		if dc, left := worstDataCentreLoss(s); left < s.Floor {
			out = append(out, fmt.Sprintf("service %s: the loss of data centre %s leaves %d instances, below the floor of %d",
				name, dc, left, s.Floor))
		}
	}
	return out
}

// worstDataCentreLoss returns the data centre whose loss leaves the fewest
// instances of s, and how many are left.
func worstDataCentreLoss(s *config.Service) (dataCentre string, left int) {
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

// Change is one effect of a new configuration on a service.
type Change struct {
	Service string `json:"service"`
	Effect  string `json:"effect"`
}

// Compare returns the effects of replacing before by after. Changes of services
// come first, then changes of routes; each group is ordered by service.
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

func compareService(name string, before, after *config.Service) []Change {
	var out []Change
	add := func(format string, args ...any) {
		out = append(out, Change{Service: name, Effect: fmt.Sprintf(format, args...)})
	}
	switch {
	case before == nil:
		add("added with %d instances and a floor of %d", len(after.Instances), after.Floor)
		return out
	case after == nil:
		add("removed with its %d instances", len(before.Instances))
		return out
	}
	if before.Floor != after.Floor {
		add("floor %d becomes %d of %d instances", before.Floor, after.Floor, len(after.Instances))
	}
	if before.Slots != after.Slots {
		add("slots of each instance: %d becomes %d", before.Slots, after.Slots)
	}
	if before.Connections != after.Connections {
		add("connections to each instance: %d becomes %d", before.Connections, after.Connections)
	}
	oldInstances := instancesByName(before)
	newInstances := instancesByName(after)
	for _, n := range slices.Sorted(maps.Keys(newInstances)) {
		previous, known := oldInstances[n]
		switch {
		case !known:
			add("instance %s added on VM %s", n, newInstances[n].VM.Name)
		case !previous.Leaving && newInstances[n].Leaving:
			add("instance %s starts to drain", n)
		case previous.Leaving && !newInstances[n].Leaving:
			add("instance %s gets work again", n)
		}
	}
	for _, n := range slices.Sorted(maps.Keys(oldInstances)) {
		if newInstances[n] == nil {
			add("instance %s removed", n)
		}
	}
	if len(before.Idempotent) != len(after.Idempotent) {
		add("rules of idempotent work: %d becomes %d", len(before.Idempotent), len(after.Idempotent))
	}
	return out
}

func instancesByName(s *config.Service) map[string]*config.Instance {
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

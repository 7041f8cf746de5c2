package config

import (
	"errors"
	"slices"
	"strings"

	"cassiarack.example/lib/input/register"
	"cassiarack.example/lib/input/rules"
)

// Prefixes of the names of documents.
const (
	RegisterPrefix = "register"
	RulesPrefix    = "rules"
)

// Decode decodes and compiles the documents of a revision. The error holds the
// faults of all documents.
func Decode(rev Revision, documents map[string][]byte) (*Configuration, error) {
	var regs []*register.Register
	var rs []*rules.Rules
	var errs []error
	names := make([]string, 0, len(documents))
	for n := range documents {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		var err error
		switch {
		case strings.HasPrefix(n, RegisterPrefix):
			var r *register.Register
			r, err = register.Decode(n, documents[n])
			regs = append(regs, r)
		case strings.HasPrefix(n, RulesPrefix):
			var r *rules.Rules
			r, err = rules.Decode(n, documents[n])
			rs = append(rs, r)
		default:
			err = &Error{Op: "decode", Kind: KindUnknown, Found: "document " + n,
				Allowed: "names that start with " + RegisterPrefix + " or " + RulesPrefix}
		}
		if err != nil {
			errs = append(errs, err)
		}
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return Compile(rev, regs, rs)
}

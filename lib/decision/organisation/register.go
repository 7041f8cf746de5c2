package organisation

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
)

const (
	// maxName is the longest name in bytes. Names are sent in headers and log lines.
	maxName = 200
	// maxPriority is the least urgent priority. Messages carry it in 32 bits.
	maxPriority = math.MaxInt32
	// shardCount is the number of parts of a register, one for each first byte of a key.
	shardCount = 256
)

// emptyKey is the key with an empty text.
var emptyKey = NewKey("")

// Check returns an error if the organisation cannot be part of a register.
func (o *Organisation) Check() error {
	if o.Name == "" || len(o.Name) > maxName {
		return fmt.Errorf("name of %d bytes; allowed: 1 to %d", len(o.Name), maxName)
	}
	// A header can carry all other names.
	for _, c := range []byte(o.Name) {
		if c < ' ' || c == 0x7F {
			return fmt.Errorf("name %q; allowed: no control bytes", o.Name)
		}
	}
	if strings.Trim(o.Name, " ") != o.Name {
		return fmt.Errorf("name %q; allowed: no spaces at its ends", o.Name)
	}
	switch {
	case o.Priority < 0 || o.Priority > maxPriority:
		return fmt.Errorf("priority %d; allowed: 0 to %d", o.Priority, maxPriority)
	case !isLimit(o.Rate) || !isLimit(o.Burst):
		return fmt.Errorf("rate %v, burst %v; allowed: finite numbers from 0", o.Rate, o.Burst)
	case slices.Contains(o.Keys, emptyKey):
		return errors.New("an empty key")
	}
	return nil
}

func isLimit(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }

// Register finds the organisation that a key belongs to. It is immutable and shares
// the parts that did not change with the register from which it was built. The nil
// register holds no organisation.
type Register struct {
	shards [shardCount]*shard
	length int
}

// Len returns the number of organisations.
func (r *Register) Len() int {
	if r == nil {
		return 0
	}
	return r.length
}

// Find returns the organisation that holds a key. Its cost does not grow with the
// number of organisations.
func (r *Register) Find(k Key) (*Organisation, bool) {
	if r == nil {
		return nil, false
	}
	o := r.shards[k[0]].find(k)
	return o, o != nil
}

// NewRegister returns the register of the organisations in list. It shares the parts
// that did not change with previous, which may be nil. It returns nil if the list is
// empty. The register does not keep the list.
func NewRegister(previous *Register, list []Organisation) (*Register, error) {
	if len(list) == 0 {
		return nil, nil
	}
	b := builder{previous: previous, organisations: make([]*Organisation, 0, len(list))}
	names := make(map[string]struct{}, len(list))
	for n := range list {
		o := &list[n]
		if err := o.Check(); err != nil {
			return nil, &Error{Op: "build register", Kind: KindInvalid, Err: fmt.Errorf("organisation %d: %w", n, err)}
		}
		if _, ok := names[o.Name]; ok {
			return nil, &Error{Op: "build register", Kind: KindDuplicate, Err: fmt.Errorf("two organisations have the name %q", o.Name)}
		}
		names[o.Name] = struct{}{}
		b.add(o)
	}
	return b.build()
}

// builder collects the organisations of a new register.
type builder struct {
	previous      *Register
	organisations []*Organisation
	// counts is the number of keys in each shard.
	counts [shardCount]int
	// changed marks the shards that hold a key of an organisation that is not in the
	// previous register.
	changed [shardCount]bool
	// keys is a buffer for the keys of one organisation.
	keys []Key
}

// add adds an organisation, as the value of the previous register if that is equal.
// Organisations are stored one by one, so that an unchanged one does not keep the
// list of an earlier configuration in memory.
func (b *builder) add(o *Organisation) {
	keys := append(b.keys[:0], o.Keys...)
	slices.SortFunc(keys, compareKeys)
	keys = slices.Compact(keys)
	b.keys = keys
	var known *Organisation
	if len(keys) > 0 {
		known, _ = b.previous.Find(keys[0])
	}
	isKnown := known != nil && known.Name == o.Name && known.Priority == o.Priority && known.Rate == o.Rate &&
		known.Burst == o.Burst && slices.Equal(known.Keys, keys)
	if !isKnown {
		known = &Organisation{Name: o.Name, Priority: o.Priority, Rate: o.Rate, Burst: o.Burst,
			Keys: slices.Clone(keys)}
	}
	b.organisations = append(b.organisations, known)
	for _, k := range keys {
		b.counts[k[0]]++
		if !isKnown {
			b.changed[k[0]] = true
		}
	}
}

func compareKeys(a, b Key) int { return bytes.Compare(a[:], b[:]) }

// build returns the register of the added organisations. A shard without changed
// organisations holds a part of the previous shard, and all of it if the numbers of
// keys are equal, as no organisation and no key of one occurs twice.
func (b *builder) build() (*Register, error) {
	r := &Register{length: len(b.organisations)}
	for n := range r.shards {
		if b.previous != nil && !b.changed[n] && b.counts[n] == b.previous.shards[n].length {
			r.shards[n] = b.previous.shards[n]
			continue
		}
		b.changed[n] = true
		r.shards[n] = newShard(b.counts[n])
	}
	for _, o := range b.organisations {
		for _, k := range o.Keys {
			if !b.changed[k[0]] {
				continue
			}
			s := r.shards[k[0]]
			if other := s.find(k); other != nil && other != o {
				return nil, &Error{Op: "build register", Kind: KindDuplicate,
					Err: fmt.Errorf("organisations %q and %q have the same key", other.Name, o.Name)}
			}
			s.add(k, o)
		}
	}
	return r, nil
}

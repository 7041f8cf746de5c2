package roster

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// gapLimit is the time without a list after which entries may have expired.
	// Entries expire after three heartbeats of 1.5 s, or during any outage.
	gapLimit = 1500 * time.Millisecond
	// returnTime is how long instances that are missing after a gap are kept.
	// The platform states that expired entries return within about 2 s.
	returnTime = 2200 * time.Millisecond
)

// Instance is one running backend server of a service.
type Instance struct {
	ID string
	// StartedAt is when the instance started. An instance that restarts may
	// keep its ID.
	StartedAt  time.Time
	Service    string
	Address    netip.AddrPort
	DataCentre string
	// Slots is the number of requests that the instance processes concurrently.
	Slots int
	// Draining is set before a planned stop.
	Draining bool
	// Cold is set while the instance is slow after its start.
	Cold bool
	// Revision is the platform's revision of the entry.
	Revision uint64
}

// sameContent reports whether two entries are equal apart from their revisions.
func (i Instance) sameContent(j Instance) bool {
	i.Revision = j.Revision
	return i.StartedAt.Equal(j.StartedAt) && i.withoutStart() == j.withoutStart()
}

// withoutStart returns the instance without its start time, for comparison with
// ==, which would distinguish equal times of different locations.
func (i Instance) withoutStart() Instance {
	i.StartedAt = time.Time{}
	return i
}

// Change is one difference between two states of a roster.
type Change struct {
	Instance Instance
	// Removed is set if the instance was removed; otherwise it is new or
	// changed.
	Removed bool
}

// Roster is the set of known instances. The zero value is an empty roster. It
// is not safe for concurrent use.
type Roster struct {
	// instances maps IDs to instances.
	instances map[string]Instance
	// readAt is when the newest list was requested, or confirmed as current.
	readAt time.Time
	// missingUntil maps the ID of each instance that was missing from the list
	// after a gap to the time until which it is kept.
	missingUntil map[string]time.Time
}

// Replace applies a complete list that was requested from the platform at
// readAt and returns the changes. It ignores a list that was not requested
// after the newest one.
func (r *Roster) Replace(now, readAt time.Time, list []Instance) []Change {
	if !r.readAt.IsZero() && !readAt.After(r.readAt) {
		return nil
	}
	gap := !r.readAt.IsZero() && readAt.Sub(r.readAt) > gapLimit
	missing := make(map[string]time.Time)
	listed := make(map[string]bool, len(list))
	for _, i := range list {
		listed[i.ID] = true
	}
	for id, old := range r.instances {
		if listed[id] {
			continue
		}
		until, known := r.missingUntil[id]
		if gap && !known {
			until, known = now.Add(returnTime), true
		}
		if known && now.Before(until) {
			missing[id] = until
			list = append(list, old)
		}
	}
	r.missingUntil = missing
	return r.setInstances(readAt, list)
}

// Adopt applies a list that another node requested at readAt and returns the
// changes. The other node has already applied the rules for missing entries.
func (r *Roster) Adopt(readAt time.Time, list []Instance) []Change {
	if !readAt.After(r.readAt) {
		return nil
	}
	r.missingUntil = nil
	return r.setInstances(readAt, list)
}

// setInstances replaces the instances by those of list and returns the changes.
func (r *Roster) setInstances(readAt time.Time, list []Instance) []Change {
	r.readAt = readAt
	next := make(map[string]Instance, len(list))
	var changes []Change
	for _, i := range list {
		next[i.ID] = i
		if old, ok := r.instances[i.ID]; !ok || !old.sameContent(i) {
			changes = append(changes, Change{Instance: i})
		}
	}
	for id, old := range r.instances {
		if _, ok := next[id]; !ok {
			changes = append(changes, Change{Instance: old, Removed: true})
		}
	}
	r.instances = next
	sortChanges(changes)
	return changes
}

// Confirm records that the roster was still current at readAt.
func (r *Roster) Confirm(readAt time.Time) {
	if readAt.After(r.readAt) {
		r.readAt = readAt
	}
}

// ReadAt returns when the newest list was requested from the platform, or the
// zero time if there is none.
func (r *Roster) ReadAt() time.Time { return r.readAt }

// Entries returns all entries ordered by ID, including those that Select does not
// count as instances. Nodes exchange all entries, as they may know different
// configurations.
func (r *Roster) Entries() []Instance {
	list := slices.Collect(maps.Values(r.instances))
	sortByID(list)
	return list
}

// Selection divides the entries of a roster into the instances that may be used and
// the other entries. All lists are ordered by ID.
type Selection struct {
	Instances []Instance
	// Unnamed holds the entries of services that no configuration names.
	Unnamed []Instance
	// Superseded holds the entries whose address an instance that started later
	// has taken over.
	Superseded []Instance
}

// Select returns the instances of the services that isNamed accepts. An entry of
// another service comes from another writer and must not affect an instance,
// even if it holds the address of one.
//
// Of several entries of named services with the same address, the one that
// started last is the instance: after a power loss the entries from before it
// stay until they expire, although their instances are gone.
func (r *Roster) Select(isNamed func(service string) bool) Selection {
	var s Selection
	byAddress := make(map[netip.AddrPort]Instance, len(r.instances))
	for _, i := range r.instances {
		if !isNamed(i.Service) {
			s.Unnamed = append(s.Unnamed, i)
			continue
		}
		h, ok := byAddress[i.Address]
		switch {
		case !ok:
			byAddress[i.Address] = i
		case i.supersedes(h):
			byAddress[i.Address] = i
			s.Superseded = append(s.Superseded, h)
		default:
			s.Superseded = append(s.Superseded, i)
		}
	}
	s.Instances = slices.Collect(maps.Values(byAddress))
	for _, list := range [][]Instance{s.Instances, s.Unnamed, s.Superseded} {
		sortByID(list)
	}
	return s
}

func sortByID(list []Instance) {
	slices.SortFunc(list, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
}

// supersedes reports whether i, rather than j, is the instance at an address
// that both entries hold. Revisions decide if the start times are equal or
// unknown.
func (i Instance) supersedes(j Instance) bool {
	if c := i.StartedAt.Compare(j.StartedAt); c != 0 {
		return c > 0
	}
	return cmp.Or(cmp.Compare(i.Revision, j.Revision), cmp.Compare(i.ID, j.ID)) > 0
}

// Digest returns a hash of all entries without their revisions.
func (r *Roster) Digest() uint64 {
	h := xxhash.New()
	for _, i := range r.Entries() {
		_, _ = fmt.Fprintf(h, "%q %d %q %v %q %d %t %t\n", i.ID, i.StartedAt.UnixMilli(), i.Service, i.Address,
			i.DataCentre, i.Slots, i.Draining, i.Cold)
	}
	return h.Sum64()
}

func sortChanges(c []Change) {
	slices.SortFunc(c, func(a, b Change) int { return cmp.Compare(a.Instance.ID, b.Instance.ID) })
}

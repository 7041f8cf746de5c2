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
	// unbrokenSince is the UnbrokenSince of the newest list.
	unbrokenSince time.Time
	// missing maps the ID of each instance that the newest list lacks and that is
	// kept to what is known of it.
	missing map[string]missing
}

// missing describes an instance that may be missing only because its entry expired in an
// outage of the platform.
type missing struct {
	// listedAt is when the last known list with the entry was requested, and missedAt
	// when the first one without it was. Both are zero if they are not known.
	listedAt, missedAt time.Time
	// until is the time until which the instance is kept.
	until time.Time
}

// List is a list of entries that a node exchanges with others.
type List struct {
	// ReadAt is when the list was requested from the platform.
	ReadAt time.Time
	// UnbrokenSince is the time since which lists were requested at intervals of at
	// most gapLimit, by any node, so that the platform had no outage.
	UnbrokenSince time.Time
	// Instances holds all entries, including those in MissingUntil.
	Instances []Instance
	// MissingUntil maps the ID of each entry that the list lacked, and that the node
	// keeps, to the time until which it does so.
	MissingUntil map[string]time.Time
}

// listed returns the entries that the platform's list had.
func (l List) listed() []Instance {
	return slices.DeleteFunc(slices.Clone(l.Instances), func(i Instance) bool {
		_, ok := l.MissingUntil[i.ID]
		return ok
	})
}

// showsNoOutage reports whether the lists up to l show that the platform had no outage
// when the entry of m went missing.
func (l List) showsNoOutage(m missing) bool {
	return !l.UnbrokenSince.After(m.listedAt) && m.missedAt.Sub(l.ReadAt) <= gapLimit
}

// Replace applies a complete list that was requested from the platform at
// readAt and returns the changes. It ignores a list that was not requested
// after the newest one. Instances that are missing after a time without lists are
// kept for returnTime.
func (r *Roster) Replace(now, readAt time.Time, list []Instance) []Change {
	if !r.readAt.IsZero() && !readAt.After(r.readAt) {
		return nil
	}
	return r.apply(now, List{ReadAt: readAt, UnbrokenSince: readAt, Instances: list})
}

// Adopt applies a list that another node requested and returns the changes. A node that
// had no list for some time cannot tell whether the platform had an outage, and keeps
// entries that were removed meanwhile. This node takes them over only if it had no list
// in that time either. An older list does not replace the newest one, but may show that
// the platform had no outage.
func (r *Roster) Adopt(now time.Time, l List) []Change {
	if l.ReadAt.After(r.readAt) {
		return r.apply(now, l)
	}
	var kept []Instance
	for _, i := range r.Entries() {
		if m, ok := r.missing[i.ID]; ok && l.showsNoOutage(m) {
			delete(r.missing, i.ID)
			continue
		}
		kept = append(kept, i)
	}
	return r.setInstances(kept)
}

// apply replaces the entries by those of a newer list, and keeps those that may be missing
// only because of an outage.
func (r *Roster) apply(now time.Time, l List) []Change {
	first := r.readAt.IsZero()
	outage := first || l.ReadAt.Sub(r.readAt) > gapLimit && l.UnbrokenSince.After(r.readAt)
	next := l.listed()
	listed := make(map[string]bool, len(next))
	for _, i := range next {
		listed[i.ID] = true
	}
	kept := make(map[string]missing)
	for _, i := range slices.Concat(r.Entries(), l.Instances) {
		if _, done := kept[i.ID]; listed[i.ID] || done {
			continue
		}
		if m, ok := r.missingFrom(now, i.ID, l, outage); ok {
			kept[i.ID] = m
			next = append(next, i)
		}
	}
	if outage {
		r.unbrokenSince = l.UnbrokenSince
	} else {
		r.unbrokenSince = earlier(r.unbrokenSince, l.UnbrokenSince)
	}
	r.readAt, r.missing = l.ReadAt, kept
	return r.setInstances(next)
}

// missingFrom returns what is known of an entry that the list l lacks, and whether the entry
// is kept. Outage is set if the platform may have had an outage since the newest list.
func (r *Roster) missingFrom(now time.Time, id string, l List, outage bool) (m missing, kept bool) {
	m, wasMissing := r.missing[id]
	_, wasListed := r.instances[id]
	switch {
	case wasMissing && l.showsNoOutage(m):
		return missing{}, false
	case wasMissing:
	case !outage:
		return missing{}, false
	case wasListed:
		m = missing{listedAt: r.readAt, missedAt: l.ReadAt, until: now.Add(returnTime)}
	default:
		m = missing{until: now.Add(returnTime)}
	}
	if until, ok := l.MissingUntil[id]; ok {
		m.until = earlier(m.until, until)
	}
	return m, now.Before(m.until)
}

// earlier returns the earlier of two times.
func earlier(t, u time.Time) time.Time {
	if u.Before(t) {
		return u
	}
	return t
}

// setInstances replaces the instances by those of list and returns the changes.
func (r *Roster) setInstances(list []Instance) []Change {
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
	if !readAt.After(r.readAt) {
		return
	}
	if readAt.Sub(r.readAt) > gapLimit {
		r.unbrokenSince = readAt
	}
	r.readAt = readAt
}

// ReadAt returns when the newest list was requested from the platform, or the
// zero time if there is none.
func (r *Roster) ReadAt() time.Time { return r.readAt }

// List returns the entries as Adopt takes them.
func (r *Roster) List() List {
	l := List{ReadAt: r.readAt, UnbrokenSince: r.unbrokenSince, Instances: r.Entries(), MissingUntil: make(map[string]time.Time)}
	for id, m := range r.missing {
		l.MissingUntil[id] = m.until
	}
	return l
}

// Missing returns the number of instances that are kept although the newest list lacks
// them.
func (r *Roster) Missing() int { return len(r.missing) }

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

// Digest returns a hash of all entries without their revisions. It distinguishes entries
// that are kept although the newest list lacks them.
func (r *Roster) Digest() uint64 {
	h := xxhash.New()
	for _, i := range r.Entries() {
		_, _ = fmt.Fprintf(h, "%q %d %q %v %q %d %t %t\n", i.ID, i.StartedAt.UnixMilli(), i.Service, i.Address,
			i.DataCentre, i.Slots, i.Draining, i.Cold)
		if _, ok := r.missing[i.ID]; ok {
			_, _ = fmt.Fprintln(h, "missing")
		}
	}
	return h.Sum64()
}

func sortChanges(c []Change) {
	slices.SortFunc(c, func(a, b Change) int { return cmp.Compare(a.Instance.ID, b.Instance.ID) })
}

package roster

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// gapLimit is the time without a list after which entries may have lapsed.
	// Entries lapse after three heartbeats of 1.5 s, or during any outage.
	gapLimit = 1500 * time.Millisecond
	// returnTime is how long lapsed entries may take to come back; the platform
	// states about two seconds.
	returnTime = 2200 * time.Millisecond
)

// Instance is one running backend server of a service.
type Instance struct {
	ID string
	// StartedAt is the start of the instance. An instance that starts again may keep
	// its ID.
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

// sameContent reports whether two entries differ in nothing but their revision.
func (i Instance) sameContent(j Instance) bool {
	i.Revision = j.Revision
	return i.StartedAt.Equal(j.StartedAt) && i.withoutStart() == j.withoutStart()
}

func (i Instance) withoutStart() Instance {
	i.StartedAt = time.Time{}
	return i
}

// Change is one difference between two states of a roster.
type Change struct {
	Instance Instance
	// Removed tells that the instance is gone; otherwise it is new or changed.
	Removed bool
}

// Roster is the set of known instances. The zero value is empty. It is used by
// one goroutine.
type Roster struct {
	instances map[string]Instance
	readAt    time.Time
	// missingUntil holds when instances that a list after a gap lacked are dropped.
	missingUntil map[string]time.Time
}

// Replace applies a complete list that was requested at readAt and returns the
// changes. Lists that were requested before the newest one are ignored.
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

// Adopt takes over the list of another node that was read at readAt. The other
// node has applied the rules for missing entries already.
func (r *Roster) Adopt(readAt time.Time, list []Instance) []Change {
	if !readAt.After(r.readAt) {
		return nil
	}
	r.missingUntil = nil
	return r.setInstances(readAt, list)
}

// setInstances puts a list in place and returns the changes.
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

// ReadAt returns when the newest list was requested from the platform; the zero
// time means never.
func (r *Roster) ReadAt() time.Time { return r.readAt }

// Instances returns the instances ordered by ID. Of several entries with one
// address only the one that was born last counts: after a power loss the entries
// of before stay until they lapse, and their instances are gone.
func (r *Roster) Instances() []Instance {
	byAddress := make(map[netip.AddrPort]Instance, len(r.instances))
	for _, i := range r.instances {
		if h, ok := byAddress[i.Address]; !ok || i.supersedes(h) {
			byAddress[i.Address] = i
		}
	}
	list := make([]Instance, 0, len(byAddress))
	for _, i := range byAddress {
		list = append(list, i)
	}
	slices.SortFunc(list, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// supersedes reports whether i holds an address that j held before. Revisions
// decide where births are equal or not told.
func (i Instance) supersedes(j Instance) bool {
	if c := i.StartedAt.Compare(j.StartedAt); c != 0 {
		return c > 0
	}
	return cmp.Or(cmp.Compare(i.Revision, j.Revision), cmp.Compare(i.ID, j.ID)) > 0
}

// Digest identifies the content without the revisions.
func (r *Roster) Digest() uint64 {
	h := xxhash.New()
	for _, i := range r.Instances() {
		_, _ = fmt.Fprintf(h, "%q %d %q %v %q %d %t %t\n", i.ID, i.StartedAt.UnixMilli(), i.Service, i.Address,
			i.DataCentre, i.Slots, i.Draining, i.Cold)
	}
	return h.Sum64()
}

func sortChanges(c []Change) {
	slices.SortFunc(c, func(a, b Change) int { return cmp.Compare(a.Instance.ID, b.Instance.ID) })
}

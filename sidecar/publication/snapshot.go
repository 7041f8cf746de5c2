package publication

import (
	"context"
	"net/netip"
	"time"

	"cassiarack.example/lib/decision/roster"
	"cassiarack.example/lib/ring"
	"cassiarack.example/lib/wire"
)

// Snapshot handles the Snapshot call of other sidecars. It returns the entries
// of all instances, and the configuration if it is newer than the one the caller has.
func (s *Service) Snapshot(ctx context.Context, r *wire.SnapshotRequest) (*wire.SnapshotReply, error) {
	call := ring.NewCall[struct{}, *wire.SnapshotReply](struct{}{})
	err := s.commands.Offer(func(now time.Time) { call.Reply(s.snapshot(now, r.GetConfigVersion())) })
	if err != nil {
		return nil, err
	}
	return call.Wait(ctx)
}

// snapshot returns the published state for a caller whose configuration has the
// version known. An age of -1 means that no list of instances has been read.
func (s *Service) snapshot(now time.Time, known uint64) *wire.SnapshotReply {
	reply := &wire.SnapshotReply{Age: -1, ConfigVersion: s.config.version()}
	list := s.roster.List()
	if !list.ReadAt.IsZero() {
		reply.Age, reply.Unbroken = int64(now.Sub(list.ReadAt)), int64(now.Sub(list.UnbrokenSince))
	}
	if s.exchangesProof() {
		reply.ConfigAge = int64(s.proofOf(s.config.version()).Statement(s.Boot()).Age)
	}
	if s.config.version() > known {
		reply.Config = s.config.document
	}
	for _, i := range list.Instances {
		record := &wire.InstanceRecord{Id: i.ID, Born: i.StartedAt.UnixMilli(),
			Service: i.Service, Address: i.Address.String(), DataCentre: i.DataCentre, Slots: int32(i.Slots),
			Draining: i.Draining, Cold: i.Cold, Revision: i.Revision}
		if until, ok := list.MissingUntil[i.ID]; ok {
			record.MissingFor = int64(max(1, until.Sub(now)))
		}
		reply.Instances = append(reply.Instances, record)
	}
	return reply
}

// adoptSnapshot applies the state of another sidecar where it is newer. The sidecar was
// asked at the boot time asked.
func (s *Service) adoptSnapshot(now, asked time.Time, from netip.Addr, r *wire.SnapshotReply) {
	if len(r.GetConfig()) > 0 {
		s.applyConfig(r.GetConfig(), from.String())
	}
	s.proveBySnapshot(asked, r)
	if r.GetAge() < 0 {
		return
	}
	list, invalid := decodeList(now, r)
	s.recordInvalid(invalid, from.String())
	s.replaceList(asked.Add(-time.Duration(r.GetAge())), from.String(), func() []roster.Change { return s.roster.Adopt(now, list) })
}

// decodeList returns the list of a reply that arrived at now, and an error for each record
// that describes no instance. Sidecars of earlier versions do not say since when the
// platform had no outage.
func decodeList(now time.Time, r *wire.SnapshotReply) (list roster.List, invalid []error) {
	list = roster.List{ReadAt: now.Add(-time.Duration(r.GetAge())), MissingUntil: make(map[string]time.Time)}
	list.UnbrokenSince = list.ReadAt
	if unbroken := time.Duration(r.GetUnbroken()); unbroken > 0 {
		list.UnbrokenSince = now.Add(-unbroken)
	}
	list.Instances, invalid = decodeInstances(r.GetInstances())
	for _, i := range r.GetInstances() {
		if left := time.Duration(i.GetMissingFor()); left > 0 {
			list.MissingUntil[i.GetId()] = now.Add(left)
		}
	}
	return list, invalid
}

// decodeInstances returns the instances of the records, and an error for each
// record that describes none.
func decodeInstances(records []*wire.InstanceRecord) (list []roster.Instance, invalid []error) {
	list = make([]roster.Instance, 0, len(records))
	for _, r := range records {
		address, err := netip.ParseAddrPort(r.GetAddress())
		i := roster.Instance{ID: r.GetId(), StartedAt: time.UnixMilli(r.GetBorn()), Service: r.GetService(),
			Address: address, DataCentre: r.GetDataCentre(), Slots: int(r.GetSlots()), Draining: r.GetDraining(),
			Cold: r.GetCold(), Revision: r.GetRevision()}
		if err == nil {
			err = i.Check()
		}
		if err != nil {
			invalid = append(invalid, &Error{Op: "decode instance", Kind: KindInvalid, Err: err})
			continue
		}
		list = append(list, i)
	}
	return list, invalid
}

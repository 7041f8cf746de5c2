package room

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"cassiarack.example/lib/decision/room"
	"cassiarack.example/lib/decision/roster"
	"cassiarack.example/lib/wire"
)

// snapshot passes sums to the goroutine of the publication. Its times are absolute, as
// ages are those of the announcement.
type snapshot struct {
	mu     sync.Mutex
	totals map[string]map[string]room.Sum
}

func (s *snapshot) set(totals map[string]map[string]room.Sum) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.totals = totals
}

func (s *snapshot) get() map[string]map[string]room.Sum {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totals
}

// report takes the load of the gate over, and sends it to the reader of the store if
// that is due. The reader adds up what it got.
func (s *Service) report(now time.Time, l room.Load, refused int) {
	s.refused += refused
	s.expire(now)
	if s.isReader(now) {
		s.setTotals(s.DataCentre, s.sums.Totals(now))
	}
	since := now.Sub(s.refusedSince)
	switch {
	case now.Sub(s.readerAt) <= readerValidity && s.reporter.Due(now, l):
		l.Refused = float64(s.refused) / max(since, loadInterval).Seconds()
		s.send(now, l)
	case since < room.Validity:
		return
	}
	s.refused, s.refusedSince = 0, now
}

// isReader reports whether this node reads the store for its data centre.
func (s *Service) isReader(now time.Time) bool {
	return s.reader == s.Self && now.Sub(s.readerAt) <= readerValidity
}

// send sends the load of the gate to the reader of the store.
func (s *Service) send(now time.Time, l room.Load) {
	if s.reader == s.Self {
		s.sums.Record(now, s.Self, s.ServiceName, l)
		return
	}
	s.Scope.Counter("loads_sent").Inc(1)
	s.notices.Send(&wire.Notice{Load: encodeLoad(s.ServiceName, l)}, []netip.Addr{s.reader})
}

// setTotals replaces the sums of a data centre.
func (s *Service) setTotals(dataCentre string, totals map[string]room.Sum) {
	all := maps.Clone(s.totals)
	all[dataCentre] = totals
	s.totals = all
	s.outgoing.set(all)
}

// expire forgets the sums of data centres of which none is valid any more.
func (s *Service) expire(now time.Time) {
	for dataCentre, totals := range s.totals {
		valid := slices.ContainsFunc(slices.Collect(maps.Values(totals)), func(t room.Sum) bool { return now.Sub(t.At) <= room.Validity })
		if !valid {
			all := maps.Clone(s.totals)
			delete(all, dataCentre)
			s.totals = all
			s.outgoing.set(all)
		}
	}
}

// summaries returns the sums for an announcement of this node, which is therefore the
// reader of the store.
func (s *Service) summaries(now time.Time) []*wire.RoomSummary {
	s.enqueue(func(now time.Time) {
		s.reader, s.readerAt = s.Self, now
		s.sendAcross(now)
		s.update(now)
	})
	var out []*wire.RoomSummary
	all := s.outgoing.get()
	for _, dataCentre := range slices.Sorted(maps.Keys(all)) {
		if r := encodeSummary(now, dataCentre, all[dataCentre]); r != nil {
			out = append(out, r)
		}
	}
	return out
}

// sendAcross sends the sums of this data centre to one node of each other one.
func (s *Service) sendAcross(now time.Time) {
	own := encodeSummary(now, s.DataCentre, s.totals[s.DataCentre])
	if own == nil {
		return
	}
	for _, peers := range s.publication.State().RemotePeers {
		if len(peers) > 0 {
			s.notices.Send(roomNotice(own), []netip.Addr{peers[s.Random.IntN(len(peers))]})
		}
	}
}

// roomNotice returns a notice that carries only a summary. Its negative ages say that
// it announces no published state.
func roomNotice(r *wire.RoomSummary) *wire.Notice {
	return &wire.Notice{Announcement: &wire.Announcement{Age: -1, ConfigAge: -1, Rooms: []*wire.RoomSummary{r}}}
}

// handleNotice takes over loads and sums of other sidecars.
func (s *Service) handleNotice(received time.Time, from netip.Addr, n *wire.Notice) {
	if l := n.GetLoad(); l != nil {
		service, load := decodeLoad(l)
		s.enqueue(func(now time.Time) {
			if slices.Contains(s.publication.State().DataCentrePeers, from) {
				s.sums.Record(now, from, service, load)
			}
		})
	}
	if a := n.GetAnnouncement(); a != nil {
		s.enqueue(func(now time.Time) { s.handleAnnouncement(now, received, from, a) })
	}
}

func (s *Service) handleAnnouncement(now, received time.Time, from netip.Addr, a *wire.Announcement) {
	near := slices.Contains(s.publication.State().DataCentrePeers, from)
	if near && a.GetAge() >= 0 {
		s.reader, s.readerAt = from, received
	}
	for _, r := range a.GetRooms() {
		dataCentre, totals := decodeSummary(received, r)
		if dataCentre == s.DataCentre && (s.isReader(now) || !near) || r.GetAge() < 0 || !newer(totals, s.totals[dataCentre]) {
			continue
		}
		s.setTotals(dataCentre, totals)
		if !near && !s.isReader(now) && s.reader.IsValid() {
			s.notices.Send(roomNotice(r), []netip.Addr{s.reader})
		}
	}
	s.update(now)
}

// newer reports whether the sums a are of a later time than b.
func newer(a, b map[string]room.Sum) bool {
	var at, bt time.Time
	for _, t := range a {
		at = t.At
	}
	for _, t := range b {
		bt = t.At
	}
	return at.After(bt)
}

// update takes the sums into account for the services that this entry sends requests
// to.
func (s *Service) update(now time.Time) {
	published := s.publication.State()
	for name, v := range s.services {
		var sums []room.Sum
		for _, totals := range s.totals {
			if t, ok := totals[name]; ok {
				sums = append(sums, t)
			}
		}
		sum := room.Combine(now, sums)
		if v.stay == 0 || sum.Instances == 0 {
			continue
		}
		v.share.Update(now, sum, slotsOf(published.Services[name]), v.stay)
		s.Scope.Tagged(map[string]string{"service": name}).Gauge("admitted_share").Update(v.share.Admitted(now))
	}
}

// slotsOf returns the number of slots of the instances that take requests.
func slotsOf(list []roster.Instance) int {
	n := 0
	for _, i := range list {
		if !i.Draining {
			n += i.Slots
		}
	}
	return n
}

func encodeLoad(service string, l room.Load) *wire.ServiceLoad {
	return &wire.ServiceLoad{Service: []byte(service), Instances: uint32(l.Instances), Slots: uint32(l.Slots),
		Running: uint32(l.Running), Waiting: uint32(l.Waiting), Refused: uint32(l.Refused + 0.5)}
}

func decodeLoad(l *wire.ServiceLoad) (service string, load room.Load) {
	return string(l.GetService()), room.Load{Instances: int(l.GetInstances()), Slots: int(l.GetSlots()),
		Running: int(l.GetRunning()), Waiting: int(l.GetWaiting()), Refused: float64(l.GetRefused())}
}

// encodeSummary returns the sums of a data centre, or nil if there are none. All get the
// age of the oldest.
func encodeSummary(now time.Time, dataCentre string, totals map[string]room.Sum) *wire.RoomSummary {
	r := &wire.RoomSummary{DataCentre: []byte(dataCentre)}
	for _, name := range slices.Sorted(maps.Keys(totals)) {
		age := now.Sub(totals[name].At)
		if age > room.Validity || len(r.GetLoads()) == maxServices {
			continue
		}
		r.Age = max(r.GetAge(), int64(age))
		r.Loads = append(r.Loads, encodeLoad(name, totals[name].Load))
	}
	if len(r.GetLoads()) == 0 {
		return nil
	}
	return r
}

func decodeSummary(received time.Time, r *wire.RoomSummary) (dataCentre string, totals map[string]room.Sum) {
	totals = make(map[string]room.Sum)
	for _, l := range r.GetLoads() {
		service, load := decodeLoad(l)
		totals[service] = room.Sum{Load: load, At: received.Add(-time.Duration(r.GetAge()))}
	}
	return string(r.GetDataCentre()), totals
}

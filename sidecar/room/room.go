// Package room implements the service that refuses requests at the entry for which
// their service has no room. It reports the load of the gate on this VM to the node of
// the data centre that reads the store, adds up the reports if this is that node, and
// keeps the sums of all data centres. See package cassiarack.example/lib/decision/room.
//
// If it is not enabled, it sends nothing and admits every request.
package room

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"cassiarack.example/lib/decision/room"
	"cassiarack.example/lib/kernel"
	"cassiarack.example/lib/ring"
	"cassiarack.example/lib/wire"
	"cassiarack.example/sidecar/names"
	"cassiarack.example/sidecar/notice"
	"cassiarack.example/sidecar/publication"
)

const (
	commandCapacity = 1024
	// loadInterval is the interval at which the load of the gate is read.
	loadInterval = 100 * time.Millisecond
	// readerValidity is how long the node that announced last counts as the reader of
	// the store.
	readerValidity = 2 * time.Second
	// stayWeight is the weight of a new observation in the mean stay of requests.
	stayWeight = 0.1
	// maxServices bounds the services of a summary, as a datagram holds 4 KB.
	maxServices = 32
)

// Publication provides the published state, and announces sums.
type Publication interface {
	State() *publication.State
	// AttachRooms makes f provide the sums that announcements carry.
	AttachRooms(f func(now time.Time) []*wire.RoomSummary)
}

// Notices exchanges notices with other sidecars.
type Notices interface {
	Send(n *wire.Notice, to []netip.Addr)
	Handle(h notice.Handler)
}

// Gate is the gate on this VM.
type Gate interface {
	// ReportLoad passes the load and the number of refusals since the last call to f.
	ReportLoad(f func(l room.Load, refused int))
}

// Service keeps the sums and admits requests by them.
type Service struct {
	// Enabled is set if sums are exchanged and used.
	Enabled    bool
	Self       netip.Addr
	DataCentre string
	// ServiceName is the service of the instance on this VM.
	ServiceName string
	Random      *rand.Rand
	Scope       tally.Scope
	Log         *log.Logger

	publication Publication
	notices     Notices
	gate        Gate
	commands    *ring.Ring[func(now time.Time)]
	// outgoing are the sums that the next announcement carries.
	outgoing snapshot

	// Only the goroutine of Run uses the fields below.
	reporter room.Reporter
	// refused is the number of refusals since refusedSince.
	refused      int
	refusedSince time.Time
	reader       netip.Addr
	readerAt     time.Time
	sums         room.Sums[netip.Addr]
	// totals holds the sums of each data centre by service.
	totals   map[string]map[string]room.Sum
	services map[string]*serviceRoom
}

// serviceRoom is what this entry knows of the room of a service.
type serviceRoom struct {
	share  room.Share
	filter *room.Filter
	stay   time.Duration
	// refusing is set while the admitted share is below 1.
	refusing bool
}

// Bind implements kernel.Service.
func (s *Service) Bind(dir *kernel.Directory) error {
	s.commands = ring.New[func(time.Time)](commandCapacity)
	if !s.Enabled {
		return nil
	}
	var err error
	if s.publication, err = kernel.Find[Publication](dir, names.Publication); err != nil {
		return err
	}
	if s.notices, err = kernel.Find[Notices](dir, names.Notices); err != nil {
		return err
	}
	if s.gate, err = kernel.Find[Gate](dir, names.Gate); err != nil {
		return err
	}
	s.totals, s.services = make(map[string]map[string]room.Sum), make(map[string]*serviceRoom)
	s.notices.Handle(s.handleNotice)
	s.publication.AttachRooms(s.summaries)
	return nil
}

// Run implements kernel.Service.
func (s *Service) Run(ctx context.Context) error {
	if !s.Enabled {
		<-ctx.Done()
		return nil
	}
	d := ring.Duty[func(time.Time)]{
		Ring:     s.commands,
		Interval: loadInterval,
		Handle:   func(now time.Time, f func(time.Time)) { f(now) },
		Tick: func(time.Time) {
			s.gate.ReportLoad(func(l room.Load, refused int) { s.enqueue(func(now time.Time) { s.report(now, l, refused) }) })
		},
	}
	return d.Run(ctx)
}

// enqueue passes f to the goroutine of Run. If the ring is full, f is dropped: what it
// carries is soon replaced.
func (s *Service) enqueue(f func(now time.Time)) {
	if err := s.commands.Offer(f); err != nil {
		s.Log.Debug("A load or a sum was dropped.", "err", err)
	}
}

// Admit reports whether a request for a service is admitted. If not, it returns the
// time after which the caller may try again. Without an answer of the goroutine of Run
// it admits the request.
func (s *Service) Admit(ctx context.Context, service string, r room.Request) (admitted bool, retryAfter time.Duration) {
	if !s.Enabled {
		return true, 0
	}
	call := ring.NewCall[room.Request, decision](r)
	if err := s.commands.Offer(func(now time.Time) { call.Reply(s.decide(now, service, r)) }); err != nil {
		s.Log.Debug("A request was admitted unasked.", "err", err)
		return true, 0
	}
	d, err := call.Wait(ctx)
	if err != nil {
		return true, 0 // the request ends with ctx
	}
	return d.admitted, d.retryAfter
}

// decision is the result of decide.
type decision struct {
	admitted   bool
	retryAfter time.Duration
}

func (s *Service) decide(now time.Time, service string, r room.Request) decision {
	v := s.service(service)
	share := v.share.Admitted(now)
	if refusing := share < 1; refusing != v.refusing {
		v.refusing = refusing
		s.Log.Info("The room of a service changed.", "service", service, "refusing", refusing, "admittedShare", share, "stay", v.stay)
	}
	admitted, after := v.filter.Admit(now, s.Random, share, r)
	if !admitted {
		s.Scope.Counter("room_refusals").Inc(1)
	}
	return decision{admitted, after}
}

// service returns the state of a service and creates it if it does not exist. Routes
// name few services.
func (s *Service) service(name string) *serviceRoom {
	v := s.services[name]
	if v == nil {
		v = &serviceRoom{filter: room.NewFilter()}
		s.services[name] = v
	}
	return v
}

// Observe records that an answered offer took the time stay.
func (s *Service) Observe(service string, stay time.Duration) {
	if !s.Enabled {
		return
	}
	s.enqueue(func(time.Time) {
		v := s.service(service)
		if v.stay == 0 {
			v.stay = stay
		}
		v.stay += time.Duration(stayWeight * float64(stay-v.stay))
	})
}

package gossip

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"cassiarack.example/lib/decision/config"
	"cassiarack.example/lib/decision/floor"
	"cassiarack.example/lib/decision/member"
	"cassiarack.example/lib/kernel"
	"cassiarack.example/lib/ring"
	"cassiarack.example/lib/service"
	configservice "cassiarack.example/lib/service/config"
	"cassiarack.example/lib/service/credentials"
	"cassiarack.example/lib/service/metrics"
	"cassiarack.example/lib/wire"
)

const (
	// ringSize limits the number of commands and datagrams that wait for the duty.
	ringSize = 1024
	// tick is the interval at which the duty calls Table.Tick.
	tick = 100 * time.Millisecond
	// publishInterval is the longest time between two snapshots.
	publishInterval = time.Second
	// announceFanout is the number of members to which a revision is announced.
	announceFanout = 4
	// leaseInterval is the time between two announcements of new leases.
	leaseInterval = 500 * time.Millisecond
	// deliverTimeout limits the wait for space in the ring of another duty. Content
	// that is not delivered in time comes again with later datagrams.
	deliverTimeout = 5 * time.Millisecond
	// errorDelay is the wait after a failed read, so that a socket with a permanent
	// fault does not occupy a core.
	errorDelay = 10 * time.Millisecond
	// disseminationTime is the time in which the announcement of a leaving node
	// reaches the fleet.
	disseminationTime = 2 * time.Second
)

// Service maintains the membership of the fleet.
type Service struct {
	// Conn receives and sends datagrams.
	Conn *net.UDPConn
	// Self is this node. Its incarnation is the start time of the process, in
	// nanoseconds.
	Self member.Member
	// Seeds are the nodes to which this node announces its start, before it has a
	// register.
	Seeds []netip.AddrPort
	// Random is the random source of the duty.
	Random *rand.Rand
	// Log receives changes of members and failures.
	Log *log.Logger

	revisions   revisions
	ejections   ejections
	credentials *credentials.Service
	scope       tally.Scope

	commands              *ring.Ring[command]
	table                 member.Table
	snapshot              atomic.Pointer[snapshot]
	held                  *config.Configuration
	list                  *configservice.List
	leaseQueue            leaseQueue
	number                uint64
	version               uint64
	lastPublished         time.Time
	lastLeaseAnnouncement time.Time
	reportedCounters      member.Counters
}

// revisions is the part of the config service that this service uses.
type revisions interface {
	// Current returns the configuration in force, or nil.
	Current() *config.Configuration
	// Held returns the held configuration, in force or not, or nil. It contains the
	// register of nodes.
	Held() *config.Configuration
	// List returns the platform's list of VMs, or nil.
	List() *configservice.List
	// ObserveRevision reports the revision that another node holds.
	ObserveRevision(ctx context.Context, vm string, node netip.AddrPort, rev config.Revision, serving bool) error
	// Serving reports whether this node may serve.
	Serving() bool
	// Adopted returns the ring of the revisions that this node put in force.
	Adopted() *ring.Ring[config.Revision]
}

// ejections is the part of the ejection service that this service uses.
type ejections interface {
	// Leases returns the leases that have not expired.
	Leases(now time.Time) []floor.Lease
	// Merge adds the leases of other nodes.
	Merge(ctx context.Context, ls []floor.Lease) error
}

// command is a function that the duty runs.
type command func(now time.Time)

// Bind implements kernel.Service.
func (s *Service) Bind(dir *kernel.Directory) error {
	var err error
	if s.credentials, err = kernel.Find[*credentials.Service](dir, service.Credentials); err != nil {
		return err
	}
	m, err := kernel.Find[*metrics.Service](dir, service.Metrics)
	if err != nil {
		return err
	}
	if s.revisions, err = kernel.Find[revisions](dir, service.Config); err != nil {
		return err
	}
	if s.ejections, err = kernel.Find[ejections](dir, service.Ejection); err != nil {
		return err
	}
	s.scope = m.Scope().SubScope("gossip")
	s.commands = ring.New[command](ringSize)
	s.table = member.Table{Self: s.Self}
	s.publish(time.Now())
	return nil
}

// Run implements kernel.Service.
func (s *Service) Run(ctx context.Context) error {
	received := make(chan struct{})
	go func() {
		defer close(received)
		s.receive()
	}()
	go s.forwardAdopted(ctx)
	s.send(time.Now(), s.table.Announce(s.Random, announceFanout))
	s.announceToSeeds(time.Now())
	d := ring.Duty[command]{
		Ring: s.commands, Interval: tick,
		Handle: func(now time.Time, c command) { c(now) },
		Tick:   s.tick,
	}
	if err := d.Run(ctx); err != nil {
		return err
	}
	if err := s.Conn.Close(); err != nil {
		return fmt.Errorf("close socket: %w", err)
	}
	<-received
	return nil
}

// receive receives datagrams until the socket is closed.
func (s *Service) receive() {
	var known senders
	buf := make([]byte, maxReceived)
	for {
		n, from, err := s.Conn.ReadFromUDPAddrPort(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			// Linux reports errors of earlier sends here, for example that no process
			// listens on the destination port.
			s.scope.Counter("receive_errors").Inc(1)
			time.Sleep(errorDelay)
			continue
		}
		s.scope.Counter("received_bytes").Inc(int64(n))
		d, err := open(s.credentials.Current().Keys, buf[:n])
		if err != nil {
			s.drop(err)
			continue
		}
		now := time.Now()
		if !known.accept(now, d.GetSender(), d.GetRun(), d.GetNumber()) {
			s.scope.Tagged(map[string]string{"cause": "replay"}).Counter("dropped").Inc(1)
			continue
		}
		source := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if err := s.commands.Offer(func(now time.Time) { s.handle(now, d, source) }); err != nil {
			s.scope.Tagged(map[string]string{"cause": "overload"}).Counter("dropped").Inc(1)
		}
	}
}

// drop counts and logs a datagram that is not valid.
func (s *Service) drop(err error) {
	cause := "shape"
	switch {
	case errors.Is(err, errSize):
		cause = "size"
	case errors.Is(err, errMAC):
		cause = "authentication"
	}
	s.scope.Tagged(map[string]string{"cause": cause}).Counter("dropped").Inc(1)
	s.Log.Debug("Dropped datagram.", "cause", cause, "err", err)
}

// handle processes a datagram that is authentic and not a replay.
func (s *Service) handle(now time.Time, d *wire.Datagram, source netip.AddrPort) {
	s.send(now, s.table.Handle(now, fromDatagram(d, source)))
	if rev, ok := fromRevision(d.GetRevision()); ok {
		s.deliver(func(ctx context.Context) error {
			return s.revisions.ObserveRevision(ctx, d.GetSender(), source, rev, d.GetServing())
		})
	}
	if len(d.GetLeases()) > 0 && s.ejections != nil && s.held != nil {
		ls := fromLeases(now, s.held, d.GetLeases())
		s.deliver(func(ctx context.Context) error { return s.ejections.Merge(ctx, ls) })
	}
}

// deliver calls do with deliverTimeout, and counts a failure.
func (s *Service) deliver(do func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), deliverTimeout)
	defer cancel()
	if err := do(ctx); err != nil {
		s.scope.Counter("not_delivered").Inc(1)
		s.Log.Debug("Content of a datagram not delivered.", "err", err)
	}
}

func (s *Service) tick(now time.Time) {
	if c := s.revisions.Held(); c != s.held {
		s.setRegister(now, c)
	}
	if l := s.revisions.List(); l != s.list {
		s.list = l
		s.table.ApplyPlatformList(now, platformStates(l))
	}
	if s.ejections != nil {
		s.leaseQueue.refresh(s.ejections.Leases(now))
	}
	s.send(now, s.table.Tick(now, s.Random))
	if s.leaseQueue.hasUnsent() && now.Sub(s.lastLeaseAnnouncement) >= leaseInterval {
		s.lastLeaseAnnouncement = now
		s.send(now, s.table.Announce(s.Random, 1))
	}
	if now.Sub(s.lastPublished) >= publishInterval || s.table.Version() != s.version {
		s.publish(now)
	}
}

// setRegister gives the VMs of a configuration to the table, and announces this node
// if they are the first.
func (s *Service) setRegister(now time.Time, c *config.Configuration) {
	first := s.held == nil
	s.held = c
	ms := make([]member.Member, 0, len(c.VMs))
	for _, v := range c.VMs {
		ms = append(ms, member.Member{Name: v.Name, Region: v.Region, DataCentre: v.DataCentre, Address: v.Node})
	}
	// Sorting the members here makes the sorting of each snapshot cheap.
	slices.SortFunc(ms, func(a, b member.Member) int { return strings.Compare(a.Name, b.Name) })
	s.table.SetRegister(now, ms)
	if first {
		s.send(now, s.table.Announce(s.Random, 2*announceFanout))
	}
}

// announceToSeeds announces to the nodes of the settings that this node started.
func (s *Service) announceToSeeds(now time.Time) {
	for _, a := range s.Seeds {
		s.send(now, []member.Envelope{{To: a, Message: member.Message{Kind: member.Announce, From: s.Self.Name,
			Incarnation: s.table.Incarnation()}}})
	}
}

// send sends messages together with the revision in force and leases of this node.
func (s *Service) send(now time.Time, envelopes []member.Envelope) {
	key := s.credentials.Current().Keys[0]
	for _, e := range envelopes {
		d := toDatagram(e.Message)
		s.number++
		d.Run, d.Number = s.Self.Incarnation, s.number
		if c := s.revisions.Current(); c != nil {
			d.Revision = toRevision(c.Revision)
		}
		d.Serving = s.revisions.Serving()
		s.leaseQueue.fill(now, d, MaxDatagram-sha256.Size)
		raw, err := seal(key, d)
		if err != nil {
			s.Log.Error("Datagram not sent.", "err", err)
			continue
		}
		s.scope.Counter("sent").Inc(1)
		s.scope.Counter("sent_bytes").Inc(int64(len(raw)))
		if _, err := s.Conn.WriteToUDPAddrPort(raw, e.To); err != nil {
			s.scope.Counter("send_errors").Inc(1)
		}
	}
}

// forwardAdopted announces each revision that this node adopts.
func (s *Service) forwardAdopted(ctx context.Context) {
	for {
		if _, err := s.revisions.Adopted().Take(ctx); err != nil {
			return
		}
		announce := func(now time.Time) { s.send(now, s.table.Announce(s.Random, announceFanout)) }
		if err := s.commands.Put(ctx, announce); err != nil {
			return
		}
	}
}

// platformStates returns the states of the VMs in the platform's list.
func platformStates(l *configservice.List) map[string]member.PlatformState {
	out := make(map[string]member.PlatformState)
	for _, vm := range l.VMs(configservice.VMLive) {
		out[vm] = member.PlatformLive
	}
	for _, vm := range l.VMs(configservice.VMLeaving) {
		out[vm] = member.PlatformLeaving
	}
	return out
}

// Paused tells the table that the process was paused until now. It does not block.
func (s *Service) Paused(time.Time) {
	// If the ring is full, the table detects the pause itself.
	_ = s.commands.Offer(func(now time.Time) { s.table.Resume(now) })
}

// Leave implements kernel.Leaver. It announces that the node leaves, and returns
// after disseminationTime.
func (s *Service) Leave(ctx context.Context) error {
	leave := func(now time.Time) {
		s.send(now, s.table.Leave(s.Random))
		s.publish(now)
	}
	if err := s.commands.Put(ctx, leave); err != nil {
		return fmt.Errorf("announce leaving: %w", err)
	}
	t := time.NewTimer(disseminationTime)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("announce leaving: %w", ctx.Err())
	}
}

// Package notice implements the service that exchanges notices with other sidecars
// as UDP datagrams.
//
// A notice carries information that is soon repeated or replaced. A lost datagram
// only delays the information, so datagrams are not retransmitted.
package notice

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"cassiarack.example/lib/kernel"
	"cassiarack.example/lib/wire"
)

// maxDatagram is the maximum size of a received datagram in bytes.
const maxDatagram = 4 << 10

// Handler processes a notice that was received at now from the given address. It
// must not block.
type Handler func(now time.Time, from netip.Addr, n *wire.Notice)

// Service sends notices and passes received ones to its handlers.
type Service struct {
	// Conn is the socket for sending and receiving. Run closes it when its
	// context ends.
	Conn *net.UDPConn
	// Port is the UDP port on which other sidecars receive.
	Port uint16
	// Incarnation identifies this run of the process.
	Incarnation uint64
	Scope       tally.Scope
	Log         *log.Logger

	handlers []Handler
}

// Handle adds a handler for received notices. It must be called before Run, by the
// Bind methods of other services.
func (s *Service) Handle(h Handler) { s.handlers = append(s.handlers, h) }

// Send sends a notice to each address. It sets the incarnation of n.
func (s *Service) Send(n *wire.Notice, to []netip.Addr) {
	n.Incarnation = s.Incarnation
	s.transmit(n, to)
}

// Spread sends a notice to near, and to forwarders in other data centres, which pass
// it on to their neighbours. It sets the incarnation of n.
func (s *Service) Spread(n *wire.Notice, near, forwarders []netip.Addr) {
	s.Send(n, near)
	n.Forward = true
	s.transmit(n, forwarders)
}

// Forward passes a received notice on to the addresses to, under the incarnation
// that it came with.
func (s *Service) Forward(n *wire.Notice, to []netip.Addr) {
	s.transmit(&wire.Notice{Incarnation: n.GetIncarnation(), Announcement: n.GetAnnouncement(), Condition: n.GetCondition()}, to)
}

// transmit sends a notice to each address. Errors are only counted, because a
// datagram may also be lost on its way.
func (s *Service) transmit(n *wire.Notice, to []netip.Addr) {
	text, err := proto.Marshal(n)
	if err != nil {
		s.Log.Error("A notice cannot be encoded.", "err", err)
		return
	}
	for _, a := range to {
		if _, err := s.Conn.WriteToUDPAddrPort(text, netip.AddrPortFrom(a, s.Port)); err != nil {
			s.Scope.Counter("notices_unsent").Inc(1)
			continue
		}
		s.Scope.Counter("notices_sent").Inc(1)
		s.Scope.Counter("notice_bytes_sent").Inc(int64(len(text)))
	}
}

// Bind implements kernel.Service.
func (s *Service) Bind(*kernel.Directory) error { return nil }

// Run implements kernel.Service.
func (s *Service) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.Conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := s.Conn.ReadFromUDPAddrPort(buf)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("notice: receive: %w", err)
		case err != nil:
			s.Log.Warn("A datagram could not be received.", "err", err)
			continue
		}
		var m wire.Notice
		if err := proto.Unmarshal(buf[:n], &m); err != nil {
			s.Log.Warn("A datagram could not be decoded.", "from", from, "err", err)
			continue
		}
		for _, h := range s.handlers {
			h(time.Now(), from.Addr().Unmap(), &m)
		}
	}
}

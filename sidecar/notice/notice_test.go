package notice

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"cassiarack.example/lib/wire"
)

// start runs a service at an address. Notices that it receives are passed to handle.
func start(t *testing.T, address netip.AddrPort, incarnation uint64, handle Handler) *Service {
	t.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		t.Fatal(err)
	}
	port := conn.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	s := &Service{Conn: conn, Port: port, Incarnation: incarnation, Scope: tally.NoopScope, Log: log.New(io.Discard)}
	if handle != nil {
		s.Handle(handle)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s
}

// TestForward guards against a notice that is passed on without end, and against one
// that is passed on under the incarnation of the forwarder: its sequence numbers
// would then be compared with those of another process.
func TestForward(t *testing.T) {
	is := is.New(t)
	address := func(last byte, port uint16) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 73, 0, last}), port)
	}
	origin := start(t, address(1, 0), 11, nil)
	received := make(chan *wire.Notice, 4)
	collect := func(_ time.Time, _ netip.Addr, n *wire.Notice) { received <- n }
	near, far := address(2, origin.Port), address(4, origin.Port)
	start(t, near, 12, collect)
	start(t, far, 14, collect)
	var forwarder *Service
	ready := make(chan struct{})
	forwarder = start(t, address(3, origin.Port), 13, func(_ time.Time, _ netip.Addr, n *wire.Notice) {
		<-ready
		is.True(n.GetForward())
		forwarder.Forward(n, []netip.Addr{far.Addr()})
	})
	close(ready)
	origin.Spread(&wire.Notice{Condition: &wire.Condition{Instance: "i", Sequence: 5}}, []netip.Addr{near.Addr()},
		[]netip.Addr{address(3, 0).Addr()})
	for range 2 {
		n := <-received
		is.Equal(n.GetIncarnation(), uint64(11))
		is.Equal(n.GetCondition().GetSequence(), uint64(5))
		is.True(!n.GetForward())
	}
}

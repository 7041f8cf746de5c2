// Package peers is the service that connects a node with other nodes over
// drpc: it serves their calls and keeps connections to them.
package peers

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"cassiarack.example/lib/kernel"
	"cassiarack.example/lib/link"
)

// Limits of connections between nodes.
const (
	// MaxMessage bounds one message between nodes, in bytes.
	MaxMessage = 8 << 20
	// defaultDialTimeout bounds the set-up of a connection.
	defaultDialTimeout = time.Second
	// idleTimeout closes connections that carry no call.
	idleTimeout = time.Minute
	// acceptedIdleTimeout bounds the wait for a call on an accepted connection. It
	// exceeds idleTimeout, so that the calling side closes first and no call
	// meets a connection that the other side just closed.
	acceptedIdleTimeout = 2 * idleTimeout
	// cancelGrace lets a send that is in progress end before a cancellation.
	cancelGrace = 5 * time.Millisecond

	poolCapacity    = 1024
	poolKeyCapacity = 32
)

// Service connects nodes.
type Service struct {
	// Listener accepts connections of other nodes.
	Listener net.Listener
	// DialTimeout bounds the set-up of a connection; zero means one second.
	DialTimeout time.Duration
	// Log receives connection errors and refused peers.
	Log *log.Logger

	// credentials is nil when the connections do not use TLS.
	credentials func() (*tls.Certificate, *x509.CertPool)
	// isRegistered reports whether a VM may connect; it is nil before a service that
	// holds the register set it.
	isRegistered func(vm string) bool

	mux  *drpcmux.Mux
	pool *drpcpool.Pool[netip.AddrPort, drpcpool.Conn]
}

// Bind implements kernel.Service.
func (s *Service) Bind(*kernel.Directory) error {
	s.mux = drpcmux.New()
	s.pool = drpcpool.New[netip.AddrPort, drpcpool.Conn](drpcpool.Options{
		Expiration: idleTimeout, Capacity: poolCapacity, KeyCapacity: poolKeyCapacity,
	})
	return nil
}

// Mux returns where services register their calls. It may be used by the Bind
// methods of services that need this one.
func (s *Service) Mux() drpc.Mux { return s.mux }

// Conn returns a connection to a node. It dials when the first call is made.
func (s *Service) Conn(ctx context.Context, addr netip.AddrPort) drpc.Conn {
	return s.pool.Get(ctx, addr, s.dial)
}

func (s *Service) dial(ctx context.Context, addr netip.AddrPort) (drpcpool.Conn, error) {
	timeout := s.DialTimeout
	if timeout == 0 {
		timeout = defaultDialTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	raw, err := link.Dial(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("dial node %v: %w", addr, err)
	}
	if s.credentials != nil {
		conn := tls.Client(raw, s.clientConfig())
		if err := conn.HandshakeContext(ctx); err != nil {
			return nil, fmt.Errorf("dial node %v: %w", addr, errors.Join(err, raw.Close()))
		}
		raw = conn
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()}), nil
}

// NotConnected reports whether a call failed before anything of it was sent.
func NotConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:          drpcwire.ReaderOptions{MaximumBufferSize: MaxMessage},
		SoftCancel:      true,
		SoftCancelGrace: cancelGrace,
	}
}

// Run implements kernel.Service.
func (s *Service) Run(ctx context.Context) error {
	opts := managerOptions()
	opts.InactivityTimeout = acceptedIdleTimeout
	server := drpcserver.NewWithOptions(s.mux, drpcserver.Options{
		Manager: opts,
		Log:     func(err error) { s.Log.Debug("Connection ended.", "err", err) },
	})
	lis := s.Listener
	if s.credentials != nil {
		lis = s.listenTLS(ctx, lis)
	}
	err := server.Serve(ctx, lis)
	if closeErr := s.pool.Close(); closeErr != nil {
		s.Log.Debug("Pool closed.", "err", closeErr)
	}
	if ctx.Err() != nil {
		return nil
	}
	if err == nil {
		return errors.New("listener closed")
	}
	return fmt.Errorf("serve nodes: %w", err)
}

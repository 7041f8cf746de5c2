// Package peers implements the service that connects a node with the other
// nodes over drpc. It serves their calls and keeps a pool of connections to them.
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

// Limits for connections between nodes.
const (
	// MaxMessage is the maximum size of a message between nodes, in bytes.
	MaxMessage = 8 << 20
	// defaultDialTimeout limits how long a connection may take to open, with its
	// TLS handshake.
	defaultDialTimeout = time.Second
	// idleTimeout is how long a pooled connection stays open without a call.
	idleTimeout = time.Minute
	// acceptedIdleTimeout is how long an accepted connection stays open without a
	// call. It exceeds idleTimeout so that the calling side closes first:
	// otherwise a call could use a connection that the other side has just closed.
	acceptedIdleTimeout = 2 * idleTimeout
	// cancelGrace is how long a cancellation waits for a send in progress to end.
	cancelGrace = 5 * time.Millisecond

	// maxKeptBuffer is the size in bytes of the largest reply after which a connection
	// is used again.
	maxKeptBuffer = 256 << 10

	// poolCapacity is the maximum number of idle connections in the pool, and
	// poolKeyCapacity the maximum for one node.
	poolCapacity    = 1024
	poolKeyCapacity = 32
)

// Service serves the calls of other nodes and opens connections to them.
type Service struct {
	// Listener accepts connections from other nodes.
	Listener net.Listener
	// DialTimeout limits how long a connection may take to open, with its TLS
	// handshake. Zero means one second.
	DialTimeout time.Duration
	// Log receives connection errors and refused connections.
	Log *log.Logger

	// credentials returns the certificate of this node and the certificate
	// authorities that it trusts. It is nil when the connections do not use TLS.
	credentials func() (*tls.Certificate, *x509.CertPool)
	// isRegistered reports whether a VM may connect. It is nil, and every VM may
	// connect, unless SetAdmissionCheck was called.
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

// Mux returns the multiplexer on which services register their drpc calls. The
// Bind methods of services that need this one may use it.
func (s *Service) Mux() drpc.Mux { return s.mux }

// Conn returns a pooled connection to a node. It dials when the first call is
// made.
func (s *Service) Conn(ctx context.Context, addr netip.AddrPort) drpc.Conn {
	return encodingConn{s.pool.Get(ctx, addr, s.dial)}
}

// encodingConn encodes the message of a call before it uses a connection. drpc
// encodes after it has begun a stream; if that fails, the other side waits for
// the call of that stream, and later calls on the pooled connection never end.
type encodingConn struct{ drpc.Conn }

// Invoke implements drpc.Conn. NotSent reports whether the message could not be
// encoded.
func (c encodingConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	data, err := enc.Marshal(in)
	if err != nil {
		return &Error{Op: "call " + rpc, Kind: KindEncode, Err: err}
	}
	return c.Conn.Invoke(ctx, rpc, &encoded{Encoding: enc, data: data}, in, out)
}

// encoded is an encoding whose message is already encoded.
type encoded struct {
	drpc.Encoding
	data []byte
	// received is the size in bytes of the last message that was decoded.
	received int
}

// Marshal implements drpc.Encoding.
func (e *encoded) Marshal(drpc.Message) ([]byte, error) { return e.data, nil }

// Unmarshal implements drpc.Encoding.
func (e *encoded) Unmarshal(data []byte, m drpc.Message) error {
	e.received = len(data)
	return e.Encoding.Unmarshal(data, m)
}

// dialledConn is a connection to another node. drpc keeps the buffer of a large
// message until ten small ones have followed on its connection, and none may follow
// for as long as the pool keeps it. A connection is therefore closed after a large
// reply.
type dialledConn struct{ *drpcconn.Conn }

// Invoke implements drpc.Conn.
func (c dialledConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	err := c.Conn.Invoke(ctx, rpc, enc, in, out)
	if e, ok := enc.(*encoded); ok && e.received > maxKeptBuffer {
		// An error means that the connection is lost already.
		_ = c.Close()
	}
	return err
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
	return dialledConn{drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()})}, nil
}

// NotSent reports whether a call failed before any part of it was sent: no
// connection could be opened, or its message could not be encoded.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.Is(err, ErrEncode) || errors.As(err, &op) && op.Op == "dial"
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
		s.Log.Debug("Close of connection pool failed.", "err", closeErr)
	}
	if ctx.Err() != nil {
		return nil
	}
	if err == nil {
		return errors.New("listener closed")
	}
	return fmt.Errorf("serve nodes: %w", err)
}

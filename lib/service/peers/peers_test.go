package peers

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"cassiarack.example/lib/wire"
)

// echoRelay answers each offer with the body of the request.
type echoRelay struct {
	wire.DRPCRelayUnimplementedServer
}

func (echoRelay) Offer(_ context.Context, r *wire.RunRequest) (*wire.RunReply, error) {
	return &wire.RunReply{Body: r.GetBody()}, nil
}

// TestCallNotEncoded guards against calls that never end: after calls whose messages
// could not be encoded, the other side waited for ever on their connections, which
// went back to the pool. Without encodingConn, plain calls end at their deadline.
func TestCallNotEncoded(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := &Service{Listener: l, Log: log.New(io.Discard)}
	is.NoErr(s.Bind(nil))
	is.NoErr(wire.DRPCRegisterRelay(s.Mux(), &echoRelay{}))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	defer func() {
		cancel()
		is.NoErr(<-done)
	}()
	address := netip.MustParseAddrPort(l.Addr().String())
	offer := func(instance string) error {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err := wire.NewDRPCRelayClient(s.Conn(ctx, address)).Offer(ctx, &wire.RunRequest{Instance: instance, Body: []byte("b")})
		return err
	}
	for range 10 {
		is.NoErr(offer("plain"))
		for range 4 {
			err := offer("not UTF-8: \xff")
			is.True(errors.Is(err, ErrEncode))
			is.True(NotSent(err))

		}
	}
	is.NoErr(offer("plain"))
}

// countingListener counts the connections that it accepts.
type countingListener struct {
	net.Listener
	accepted atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return c, err
}

// TestLargeReply guards against connections that keep the buffer of a large reply while
// the pool keeps them, and against a connection for each small call.
func TestLargeReply(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := &countingListener{Listener: inner}
	s := &Service{Listener: l, Log: log.New(io.Discard)}
	is.NoErr(s.Bind(nil))
	is.NoErr(wire.DRPCRegisterRelay(s.Mux(), &echoRelay{}))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	defer func() {
		cancel()
		is.NoErr(<-done)
	}()
	client := wire.NewDRPCRelayClient(s.Conn(ctx, netip.MustParseAddrPort(l.Addr().String())))
	for n, size := range []int{0, 100, maxKeptBuffer / 2, 2 * maxKeptBuffer, 100, 2 * maxKeptBuffer, 100} {
		reply, err := client.Offer(ctx, &wire.RunRequest{Body: make([]byte, size)})
		is.NoErr(err)
		is.Equal(len(reply.GetBody()), size)
		is.Equal(l.accepted.Load(), []int64{1, 1, 1, 1, 2, 2, 3}[n])
	}
}

// Package link opens TCP connections that fail soon after the peer stops replying.
//
// A peer may stop replying without a reset, for example because of a network
// partition or a power loss. Keep-alive probes end idle connections, and the TCP
// user timeout ends connections on which sent data is not acknowledged.
package link

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// probeInterval is the time between keep-alive probes, and the idle time before
	// the first.
	probeInterval = time.Second
	// probeCount is the number of unanswered probes that end a connection.
	probeCount = 2
	// userTimeout is the longest time for which sent data may stay unacknowledged.
	// It is several times the longest retransmission that packet loss causes within
	// one region.
	userTimeout = 2 * time.Second
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount}

// Dial connects to a TCP address. If ctx ends first, it returns an error.
func Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return d.DialContext(ctx, "tcp", addr.String())
}

// Listen listens on a TCP address. The accepted connections have the keep-alive
// probes and the user timeout of this package.
func Listen(ctx context.Context, addr netip.AddrPort) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return c.Listen(ctx, "tcp", addr.String())
}

// setUserTimeout sets the user timeout of a socket before it connects or listens.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var option error
	err := c.Control(func(fd uintptr) {
		option = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("link: set TCP user timeout: %w", err)
	}
	if option != nil {
		return fmt.Errorf("link: set TCP user timeout: %w", option)
	}
	return nil
}

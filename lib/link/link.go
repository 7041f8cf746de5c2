// Package link opens connections that notice a silent peer.
//
// A connection may go silent for good without a reset, for example behind a
// partition or after a power loss. Keep-alive probes end idle ones, and a user
// time-out ends those on which data is not acknowledged.
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
	// probeInterval is the time between keep-alive probes, and before the first.
	probeInterval = time.Second
	// probeCount unanswered probes end a connection.
	probeCount = 2
	// userTimeout is how long sent data may stay unacknowledged. It is several
	// times the longest retransmission that packet loss causes in one region.
	userTimeout = 2 * time.Second
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount}

// Dial connects to a TCP address.
func Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return d.DialContext(ctx, "tcp", addr.String())
}

// Listen listens on a TCP address.
func Listen(ctx context.Context, addr netip.AddrPort) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return c.Listen(ctx, "tcp", addr.String())
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var option error
	err := c.Control(func(fd uintptr) {
		option = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("link: set user time-out: %w", err)
	}
	if option != nil {
		return fmt.Errorf("link: set user time-out: %w", option)
	}
	return nil
}

package peers

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"time"

	"cassiarack.example/lib/ring"
)

const (
	// handshakeTimeout limits the TLS handshake, so that a connection that sends
	// nothing does not hold resources for longer.
	handshakeTimeout = 2 * time.Second
	// maxHandshakes is the maximum number of concurrent TLS handshakes. Further
	// connections are closed.
	maxHandshakes = 256
	// readyRingSize is the maximum number of connections that wait for the server
	// after their handshakes.
	readyRingSize = 64
)

// errUnregistered refuses a peer whose certificate names no registered VM.
var errUnregistered = errors.New("certificate names no VM of the register")

// SetAdmissionCheck sets the function that reports whether a VM may connect. The
// Bind method of the service that holds the register calls it. As long as there
// is no register, admits must return true for every name.
func (s *Service) SetAdmissionCheck(admits func(vm string) bool) { s.isRegistered = admits }

// UseTLS makes all connections use TLS with the certificate and the certificate
// authorities that current returns at the time of each handshake. The Bind method
// of the service that holds them calls it.
func (s *Service) UseTLS(current func() (*tls.Certificate, *x509.CertPool)) { s.credentials = current }

// verify returns a function that checks a peer's certificate against the
// certificate authorities, the key usage and the register. Both sides of a
// connection use it.
func (s *Service) verify(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(st tls.ConnectionState) error {
		if len(st.PeerCertificates) == 0 {
			return errors.New("no certificate")
		}
		leaf := st.PeerCertificates[0]
		intermediates := x509.NewCertPool()
		for _, c := range st.PeerCertificates[1:] {
			intermediates.AddCert(c)
		}
		_, authority := s.credentials()
		_, err := leaf.Verify(x509.VerifyOptions{Roots: authority, Intermediates: intermediates,
			KeyUsages: []x509.ExtKeyUsage{usage}})
		if err != nil {
			return fmt.Errorf("certificate of %q: %w", leaf.DNSNames, err)
		}
		if s.isRegistered == nil {
			return nil
		}
		for _, n := range leaf.DNSNames {
			if s.isRegistered(n) {
				return nil
			}
		}
		return fmt.Errorf("%w: %q", errUnregistered, leaf.DNSNames)
	}
}

// serverConfig returns the TLS configuration of the accepting side, with the
// current credentials.
func (s *Service) serverConfig(*tls.ClientHelloInfo) (*tls.Config, error) {
	cert, _ := s.credentials()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*cert},
		// RequireAnyClientCert leaves the chain unchecked: VerifyConnection checks it
		// and states the names in the certificate in its errors.
		ClientAuth:             tls.RequireAnyClientCert,
		VerifyConnection:       s.verify(x509.ExtKeyUsageClientAuth),
		SessionTicketsDisabled: true,
	}, nil
}

// clientConfig returns the TLS configuration of the dialling side, with the
// current credentials.
func (s *Service) clientConfig() *tls.Config {
	cert, _ := s.credentials()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*cert},
		// Nodes connect by address, so the standard check of the host name does not
		// apply. VerifyConnection checks the chain, and the name against the register.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verify(x509.ExtKeyUsageServerAuth),
	}
}

// secureListener is a listener whose connections have completed a TLS
// handshake.
type secureListener struct {
	net.Listener
	s   *Service
	ctx context.Context
	// ready holds the connections that completed their handshakes.
	ready *ring.Ring[net.Conn]
	// active holds one item for each handshake in progress.
	active *ring.Ring[struct{}]
}

// listenTLS returns a listener that performs TLS handshakes on the connections of
// lis until ctx is done or lis is closed.
func (s *Service) listenTLS(ctx context.Context, lis net.Listener) net.Listener {
	l := &secureListener{Listener: lis, s: s, ctx: ctx, ready: ring.New[net.Conn](readyRingSize),
		active: ring.New[struct{}](maxHandshakes)}
	go l.accept()
	return l
}

// accept accepts connections and starts their handshakes until the underlying
// listener returns an error.
func (l *secureListener) accept() {
	defer l.ready.Close()
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return
		}
		if err := l.active.Offer(struct{}{}); err != nil {
			l.refuse(raw, errors.New("too many handshakes at once"))
			continue
		}
		go l.handshake(raw)
	}
}

func (l *secureListener) handshake(raw net.Conn) {
	defer func() {
		// Take does not block: accept put an item for this handshake.
		_, _ = l.active.Take(l.ctx)
	}()
	ctx, cancel := context.WithTimeout(l.ctx, handshakeTimeout)
	defer cancel()
	conn := tls.Server(raw, &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: l.s.serverConfig})
	if err := conn.HandshakeContext(ctx); err != nil {
		l.refuse(raw, err)
		return
	}
	if err := l.ready.Put(l.ctx, conn); err != nil {
		l.refuse(raw, err)
	}
}

func (l *secureListener) refuse(raw net.Conn, err error) {
	l.s.Log.Warn("Refused peer.", "address", raw.RemoteAddr(), "err", err)
	if err := raw.Close(); err != nil {
		l.s.Log.Debug("Close of refused connection failed.", "err", err)
	}
}

// Accept implements net.Listener.
func (l *secureListener) Accept() (net.Conn, error) {
	c, err := l.ready.Take(l.ctx)
	if err != nil {
		return nil, net.ErrClosed
	}
	return c, nil
}

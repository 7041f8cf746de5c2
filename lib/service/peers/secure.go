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
	// handshakeTimeout bounds the set-up of TLS, so that a connection that sends
	// nothing holds no resources.
	handshakeTimeout = 2 * time.Second
	// maxHandshakes bounds the connections that set up TLS at once. Further ones
	// are closed.
	maxHandshakes = 256
	// readyRingSize bounds the connections that wait for the server.
	readyRingSize = 64
)

// errUnregistered is the cause of a refusal by the register.
var errUnregistered = errors.New("certificate names no VM of the register")

// SetAdmissionCheck sets how the service knows the VMs that may connect. It is called by
// the Bind method of the service that holds the register. admits reports true
// for every name before there is a register.
func (s *Service) SetAdmissionCheck(admits func(vm string) bool) { s.isRegistered = admits }

// UseTLS makes all connections use TLS with the certificate and the authority
// that current returns at the time of each handshake. It is called by the Bind
// method of the service that holds them.
func (s *Service) UseTLS(current func() (*tls.Certificate, *x509.CertPool)) { s.credentials = current }

// verify checks the certificate of another node against the authority and the
// register. Both sides of a connection call it.
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

// serverConfig returns the configuration with the credentials in force.
func (s *Service) serverConfig(*tls.ClientHelloInfo) (*tls.Config, error) {
	cert, _ := s.credentials()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*cert},
		// VerifyConnection verifies against the authority, and names the certificate
		// in its error.
		ClientAuth:             tls.RequireAnyClientCert,
		VerifyConnection:       s.verify(x509.ExtKeyUsageClientAuth),
		SessionTicketsDisabled: true,
	}, nil
}

// clientConfig returns the configuration with the credentials in force.
func (s *Service) clientConfig() *tls.Config {
	cert, _ := s.credentials()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*cert},
		// Nodes connect by address, so the standard check of a host name does not
		// apply. VerifyConnection checks the chain and the name against the register.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verify(x509.ExtKeyUsageServerAuth),
	}
}

// secureListener sets up TLS before it hands a connection to the server.
type secureListener struct {
	net.Listener
	s      *Service
	ctx    context.Context
	ready  *ring.Ring[net.Conn]
	active *ring.Ring[struct{}]
}

func (s *Service) listenTLS(ctx context.Context, lis net.Listener) net.Listener {
	l := &secureListener{Listener: lis, s: s, ctx: ctx, ready: ring.New[net.Conn](readyRingSize),
		active: ring.New[struct{}](maxHandshakes)}
	go l.accept()
	return l
}

// accept is the duty that accepts connections and starts their handshakes.
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
		// The item that accept put is there.
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
		l.s.Log.Debug("Connection closed.", "err", err)
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

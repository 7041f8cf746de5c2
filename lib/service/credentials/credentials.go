// Package credentials implements the service that holds the fleet keys, the
// certificate and the certificate authorities of a node, and reloads them without
// a restart.
package credentials

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"cassiarack.example/lib/input/settings"
	"cassiarack.example/lib/kernel"
	"cassiarack.example/lib/ring"
	"cassiarack.example/lib/service"
	"cassiarack.example/lib/service/peers"
)

const (
	// checkInterval is the time between two checks of the modification times of
	// the PEM files.
	checkInterval = 2 * time.Second
	// commandRingSize is the maximum number of pending reload commands.
	commandRingSize = 4
)

// Credentials are the keys and certificates of a node at one time. They are
// immutable once Current returns them.
type Credentials struct {
	// Keys authenticate datagrams: the first key signs, and every key verifies. A
	// fleet without keys uses one empty key, which detects corruption but not
	// forgery.
	Keys [][]byte
	// Certificate is the certificate of this node, and Authority holds the
	// certificate authorities that it trusts. Both are nil when the nodes do not
	// use TLS.
	Certificate *tls.Certificate
	Authority   *x509.CertPool
}

// Service loads the credentials of a node and reloads them on a signal or when
// their files change.
type Service struct {
	// ReadSettings reads the current settings.
	ReadSettings func() (*settings.Settings, error)
	// Reload delivers the signals on which the settings and the credentials are
	// read again.
	Reload <-chan os.Signal
	// Log receives reloads and their errors.
	Log *log.Logger

	commands *ring.Ring[struct{}]
	current  atomic.Pointer[Credentials]
	settings *settings.Settings
	// modified holds the modification times of the PEM files that were loaded.
	modified [3]time.Time
}

// Bind implements kernel.Service. It loads the credentials, and switches on TLS
// between nodes if the settings name a certificate.
func (s *Service) Bind(dir *kernel.Directory) error {
	p, err := kernel.Find[*peers.Service](dir, service.Peers)
	if err != nil {
		return err
	}
	s.commands = ring.New[struct{}](commandRingSize)
	if err := s.load(); err != nil {
		return err
	}
	if s.Current().Certificate != nil {
		p.UseTLS(func() (*tls.Certificate, *x509.CertPool) {
			c := s.Current()
			return c.Certificate, c.Authority
		})
	}
	return nil
}

// Current returns the current credentials. It returns nil before Bind.
func (s *Service) Current() *Credentials { return s.current.Load() }

// Run implements kernel.Service.
func (s *Service) Run(ctx context.Context) error {
	go s.forward(ctx)
	d := ring.Duty[struct{}]{
		Ring: s.commands, Interval: checkInterval,
		Handle: func(time.Time, struct{}) { s.reload("signal") },
		Tick: func(time.Time) {
			if modified(s.settings) != s.modified {
				s.reload("changed files")
			}
		},
	}
	return d.Run(ctx)
}

// forward turns signals into reload commands until ctx is done.
func (s *Service) forward(ctx context.Context) {
	for {
		select {
		case <-s.Reload:
			// If the ring is full, a pending command reloads everything anyway.
			_ = s.commands.Offer(struct{}{})
		case <-ctx.Done():
			return
		}
	}
}

// reload loads the credentials again. If that fails, for example because a file
// is half written, the current credentials stay in use.
func (s *Service) reload(cause string) {
	if err := s.load(); err != nil {
		s.Log.Error("Credentials not replaced.", "cause", cause, "err", err)
		return
	}
	s.Log.Info("Replaced credentials.", "cause", cause, "keys", len(s.Current().Keys))
}

// load reads the settings and the files that they name, and makes the result the
// current credentials.
func (s *Service) load() error {
	st, err := s.ReadSettings()
	if err != nil {
		return err
	}
	times := modified(st)
	c := &Credentials{}
	for _, k := range st.FleetKeys {
		c.Keys = append(c.Keys, []byte(k))
	}
	if len(c.Keys) == 0 {
		c.Keys = [][]byte{nil}
	}
	if st.CertificateFile != "" {
		if err := c.loadFiles(st); err != nil {
			return err
		}
	}
	if old := s.Current(); old != nil && (old.Certificate == nil) != (c.Certificate == nil) {
		return errors.New("switching TLS between nodes on or off needs a restart")
	}
	s.settings, s.modified = st, times
	s.current.Store(c)
	return nil
}

// loadFiles reads the certificate, its key and the certificate authorities.
func (c *Credentials) loadFiles(st *settings.Settings) error {
	cert, err := tls.LoadX509KeyPair(st.CertificateFile, st.KeyFile)
	if err != nil {
		return fmt.Errorf("read certificate: %w", err)
	}
	pem, err := os.ReadFile(st.AuthorityFile)
	if err != nil {
		return fmt.Errorf("read certificate authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return fmt.Errorf("read certificate authorities: %s holds no certificate", st.AuthorityFile)
	}
	c.Certificate, c.Authority = &cert, pool
	return nil
}

// modified returns the modification times of the certificate, its key and the
// certificate authorities. A file that cannot be read has the zero time.
func modified(st *settings.Settings) (out [3]time.Time) {
	if st.CertificateFile == "" {
		return out
	}
	for i, path := range []string{st.CertificateFile, st.KeyFile, st.AuthorityFile} {
		if info, err := os.Stat(path); err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}

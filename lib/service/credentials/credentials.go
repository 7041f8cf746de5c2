// Package credentials is the service that holds the fleet keys, the certificate
// and the authority of a node, and replaces them without a restart.
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
	// checkInterval is how often the modification times of the PEM files are
	// compared.
	checkInterval   = 2 * time.Second
	commandRingSize = 4
)

// Credentials are the keys and certificates in force. They are not changed
// after they were published.
type Credentials struct {
	// Keys authenticate datagrams: the first signs, all verify. A fleet without
	// keys uses one empty key, which protects against damage only.
	Keys [][]byte
	// Certificate and Authority are nil when the nodes do not use TLS.
	Certificate *tls.Certificate
	Authority   *x509.CertPool
}

// Service holds credentials.
type Service struct {
	// ReadSettings returns the settings as they are now.
	ReadSettings func() (*settings.Settings, error)
	// Reload receives a value when the settings shall be read again.
	Reload <-chan os.Signal
	// Log receives replacements and faults.
	Log *log.Logger

	commands *ring.Ring[struct{}]
	current  atomic.Pointer[Credentials]
	settings *settings.Settings
	modified [3]time.Time
}

// Bind implements kernel.Service. It reads the credentials for the first time.
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

// Current returns the credentials in force. It may be called after Bind.
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

// forward turns signals into commands.
func (s *Service) forward(ctx context.Context) {
	for {
		select {
		case <-s.Reload:
			// A full ring already holds a command that reads everything.
			_ = s.commands.Offer(struct{}{})
		case <-ctx.Done():
			return
		}
	}
}

// reload reads the credentials again. Those in force stay when they have a
// fault, such as a file that is half written.
func (s *Service) reload(cause string) {
	if err := s.load(); err != nil {
		s.Log.Error("Credentials not replaced.", "cause", cause, "err", err)
		return
	}
	s.Log.Info("Replaced credentials.", "cause", cause, "keys", len(s.Current().Keys))
}

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
		return errors.New("TLS between nodes is switched on or off by a restart only")
	}
	s.settings, s.modified = st, times
	s.current.Store(c)
	return nil
}

func (c *Credentials) loadFiles(st *settings.Settings) error {
	cert, err := tls.LoadX509KeyPair(st.CertificateFile, st.KeyFile)
	if err != nil {
		return fmt.Errorf("read certificate: %w", err)
	}
	pem, err := os.ReadFile(st.AuthorityFile)
	if err != nil {
		return fmt.Errorf("read authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return fmt.Errorf("read authority: %s holds no certificate", st.AuthorityFile)
	}
	c.Certificate, c.Authority = &cert, pool
	return nil
}

// modified returns the modification times of the PEM files. A file that cannot
// be read has the zero time.
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

// Package admin is the service that answers the platform's readiness check and
// serves metrics to operators.
package admin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gorilla/mux"

	"cassiarack.example/lib/kernel"
	"cassiarack.example/lib/service/metrics"
	"cassiarack.example/platform"
	"cassiarack.example/sidecar/authentication"
	"cassiarack.example/sidecar/ingress"
	"cassiarack.example/sidecar/journal"
	"cassiarack.example/sidecar/names"
)

// headerTimeout bounds the time to read the header of a request.
const headerTimeout = 5 * time.Second

// Service runs the HTTP servers for the readiness check and the metrics.
type Service struct {
	// Ready and Metrics are the listeners of the two servers.
	Ready, Metrics net.Listener
	Log            *log.Logger

	ingress        *ingress.Service
	authentication *authentication.Service
	metrics        *metrics.Service
	journal        *journal.Service
}

// Bind implements kernel.Service.
func (s *Service) Bind(dir *kernel.Directory) error {
	var err error
	if s.ingress, err = kernel.Find[*ingress.Service](dir, names.Ingress); err != nil {
		return err
	}
	if s.authentication, err = kernel.Find[*authentication.Service](dir, names.Authentication); err != nil {
		return err
	}
	if s.journal, err = kernel.Find[*journal.Service](dir, names.Journal); err != nil {
		return err
	}
	s.metrics, err = kernel.Find[*metrics.Service](dir, names.Metrics)
	return err
}

// Run implements kernel.Service.
func (s *Service) Run(ctx context.Context) error {
	readyRouter := mux.NewRouter()
	readyRouter.HandleFunc(platform.ReadyPath, s.serveReady).Methods(http.MethodGet)
	metricsRouter := mux.NewRouter()
	metricsRouter.HandleFunc("/metrics", s.serveMetrics).Methods(http.MethodGet)
	servers := []*http.Server{{Handler: readyRouter, ReadHeaderTimeout: headerTimeout},
		{Handler: metricsRouter, ReadHeaderTimeout: headerTimeout}}
	exits := make(chan error, len(servers))
	for i, l := range []net.Listener{s.Ready, s.Metrics} {
		go func() { exits <- servers[i].Serve(l) }()
	}
	select {
	case err := <-exits:
		return fmt.Errorf("admin: serve: %w", err)
	case <-ctx.Done():
	}
	for _, server := range servers {
		if err := server.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			s.Log.Warn("A listener could not be closed.", "err", err)
		}
	}
	return nil
}

// serveReady answers 200 if the sidecar accepts new work and 503 otherwise.
func (s *Service) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.ingress.Ready() || !s.authentication.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveMetrics serves the metrics page, after updating the metrics that are
// only sampled then.
func (s *Service) serveMetrics(w http.ResponseWriter, r *http.Request) {
	s.metrics.Scope().Gauge("log_lines_dropped").Update(float64(s.journal.Dropped()))
	s.metrics.Handler().ServeHTTP(w, r)
}

// Package metrics implements the service that collects the metrics of a node and
// serves them in the Prometheus text format.
package metrics

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"

	"cassiarack.example/lib/kernel"
	"cassiarack.example/lib/ring"
)

// reportInterval is the time between two transfers of tally's values to the
// Prometheus registry.
const reportInterval = time.Second

// Service collects metrics. New creates it, and Scope may be used from then on.
type Service struct {
	scope    tally.Scope
	close    func() error
	reporter promreporter.Reporter
}

// New returns a service whose metrics carry the VM and the data centre as labels.
func New(vm, dataCentre string) *Service {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "cassiarack",
		Tags:           map[string]string{"vm": vm, "data_centre": dataCentre},
		CachedReporter: reporter,
		Separator:      promreporter.DefaultSeparator,
	}, reportInterval)
	return &Service{scope: scope, close: closer.Close, reporter: reporter}
}

// Scope returns the root scope, in which other services create their metrics.
func (s *Service) Scope() tally.Scope { return s.scope }

// Handler returns the HTTP handler that serves the metrics.
func (s *Service) Handler() http.Handler { return s.reporter.HTTPHandler() }

// PublishRing updates the gauges of a ring from its statistics. Callers call it
// periodically. The name is the value of the label "ring".
func (s *Service) PublishRing(name string, st ring.Stats) {
	sub := s.scope.Tagged(map[string]string{"ring": name})
	sub.Gauge("ring_depth").Update(float64(st.Depth))
	sub.Gauge("ring_taken").Update(float64(st.Taken))
	sub.Gauge("ring_refused").Update(float64(st.Refused))
	sub.Gauge("ring_waited_seconds").Update(st.Waited.Seconds())
}

// Bind implements kernel.Service.
func (s *Service) Bind(*kernel.Directory) error { return nil }

// Run implements kernel.Service.
func (s *Service) Run(ctx context.Context) error {
	<-ctx.Done()
	if err := s.close(); err != nil {
		return fmt.Errorf("close metrics: %w", err)
	}
	return nil
}

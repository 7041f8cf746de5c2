// Package metrics is the service that collects the metrics of a node and
// renders them as a Prometheus page.
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

// reportInterval is how often tally hands its counters to the page.
const reportInterval = time.Second

// Service collects metrics. Its scope may be used after New.
type Service struct {
	scope    tally.Scope
	close    func() error
	reporter promreporter.Reporter
}

// New returns a service whose metrics carry the VM and data centre as tags.
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

// Scope returns the root scope.
func (s *Service) Scope() tally.Scope { return s.scope }

// Handler serves the Prometheus page.
func (s *Service) Handler() http.Handler { return s.reporter.HTTPHandler() }

// PublishRing publishes the use of a ring under a name, each time it is called.
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

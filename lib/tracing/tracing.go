// Package tracing sends spans to a collector and carries their identity from
// process to process.
package tracing

import (
	"context"
	"fmt"
	"time"

	"github.com/charmbracelet/log"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
)

// Header names the parent of a span in requests, as of the W3C recommendation
// Trace Context.
const Header = "Traceparent"

const (
	// flushTimeout bounds the sending of the last spans.
	flushTimeout = 2 * time.Second
	parentKey    = "traceparent"
)

// Exporter sends the spans of a process.
type Exporter struct {
	// Endpoint is the URL that receives spans as OTLP over HTTP; empty sends none.
	Endpoint string
	// Program and VM name the sender.
	Program, VM string
	// Log receives failures of the sending.
	Log *log.Logger
}

// Start installs the exporter for the process. The returned function sends the
// last spans.
func (e *Exporter) Start(ctx context.Context) (func(), error) {
	if e.Endpoint == "" {
		return func() {}, nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(e.Endpoint))
	if err != nil {
		return nil, fmt.Errorf("start tracing: %w", err)
	}
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) { e.Log.Warn("Spans could not be sent.", "err", err) }))
	provider := trace.NewTracerProvider(trace.WithBatcher(exporter), trace.WithResource(resource.NewSchemaless(
		attribute.String("service.name", e.Program), attribute.String("host.name", e.VM))))
	otel.SetTracerProvider(provider)
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
		defer cancel()
		if err := provider.Shutdown(ctx); err != nil {
			e.Log.Warn("The last spans could not be sent.", "err", err)
		}
	}, nil
}

// TraceParent returns the identity of the span in ctx as text, empty if there is
// none.
func TraceParent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[parentKey]
}

// WithTraceParent returns a context in which new spans are children of parent, a text
// of Parent or of a caller.
func WithTraceParent(ctx context.Context, parent string) context.Context {
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{parentKey: parent})
}

// Package tracing exports spans to an OpenTelemetry collector and propagates the
// trace context between processes.
package tracing

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
)

// Header is the HTTP header that carries the parent of a span, as defined by the
// W3C recommendation Trace Context.
const Header = "Traceparent"

const (
	// flushTimeout is the longest time for which the end of the process waits until
	// the last spans are sent.
	flushTimeout = 2 * time.Second
	// parentKey is the key of propagation.TraceContext for the parent.
	parentKey = "traceparent"
)

// Exporter exports the spans of a process.
type Exporter struct {
	// Endpoint is the URL that receives spans as OTLP over HTTP. If it is empty, no
	// spans are sent.
	Endpoint string
	// Program and VM are the service name and the host name in the spans.
	Program, VM string
	// Log receives the errors that occur while spans are sent.
	Log *log.Logger
}

// Start installs the exporter for the whole process. The returned function sends
// the remaining spans and stops the exporter.
func (e *Exporter) Start(ctx context.Context) (func(), error) {
	if e.Endpoint == "" {
		return func() {}, nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(e.Endpoint))
	if err != nil {
		return nil, fmt.Errorf("start tracing: %w", err)
	}
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) { e.Log.Warn("Spans could not be exported.", "err", err) }))
	provider := trace.NewTracerProvider(trace.WithBatcher(exporter), trace.WithResource(resource.NewSchemaless(
		attribute.String("service.name", e.Program), attribute.String("host.name", e.VM))))
	otel.SetTracerProvider(provider)
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
		defer cancel()
		if err := provider.Shutdown(ctx); err != nil {
			e.Log.Warn("The last spans could not be exported.", "err", err)
		}
	}, nil
}

// String returns an attribute for a text that may come from outside. Spans with
// attributes that are no UTF-8 could not be exported.
func String(key, value string) attribute.KeyValue {
	return attribute.String(key, strings.ToValidUTF8(value, "\uFFFD"))
}

// TraceParent returns the traceparent of the span in ctx, or the empty string if
// there is none.
func TraceParent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[parentKey]
}

// WithTraceParent returns a context in which new spans are children of the span
// that parent identifies. The parent is a traceparent from TraceParent or from a
// caller; if it is invalid or empty, the context is the same as ctx.
func WithTraceParent(ctx context.Context, parent string) context.Context {
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{parentKey: parent})
}

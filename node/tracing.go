package main

import (
	"context"
	"fmt"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"

	"cassiarack.example/lib/input/settings"
)

// traceFlush bounds the sending of the last spans.
const traceFlush = 2 * time.Second

// startTracing installs the exporter of spans if the settings name one.
func startTracing(ctx context.Context, s *settings.Settings) (func(), error) {
	if s.TraceEndpoint == "" {
		return func() {}, nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(s.TraceEndpoint))
	if err != nil {
		return nil, fmt.Errorf("start tracing: %w", err)
	}
	provider := trace.NewTracerProvider(trace.WithBatcher(exporter), trace.WithResource(resource.NewSchemaless(
		attribute.String("service.name", "cassiarack-node"), attribute.String("host.name", s.Name))))
	otel.SetTracerProvider(provider)
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), traceFlush)
		defer cancel()
		// The process ends whether or not the last spans were delivered.
		_ = provider.Shutdown(ctx)
	}, nil
}

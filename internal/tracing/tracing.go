// Package tracing sets up OpenTelemetry. Each hop has a span and propagates the W3C trace
// context.
package tracing

import (
	"context"
	"net/http"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

const (
	tracerName = "github.com/marbleroad/marbleroad"
	filePrefix = "file:"
	// None is the target that disables tracing.
	None = "none"
)

// Tracer starts spans. It is safe for use by several goroutines.
type Tracer struct {
	inner      trace.Tracer
	propagator propagation.TraceContext
	stop       func(context.Context) error
}

// New returns a tracer that exports to the target: none, file:PATH or an OTLP/HTTP base
// URL. It keeps the fraction sample of the traces that start here; for a trace of
// the caller, the caller's sampling decision applies.
func New(ctx context.Context, target, program, node string, sample float64) (*Tracer, error) {
	if target == None || target == "" {
		return Off(), nil
	}
	exporter, err := newExporter(ctx, target)
	if err != nil {
		return nil, err
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(sample))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", program),
			attribute.String("service.instance.id", node),
		)),
	)
	return &Tracer{inner: provider.Tracer(tracerName), stop: provider.Shutdown}, nil
}

// Off returns a tracer that records nothing and still propagates the trace context.
func Off() *Tracer {
	return &Tracer{
		inner: noop.NewTracerProvider().Tracer(tracerName),
		stop:  func(context.Context) error { return nil },
	}
}

func newExporter(ctx context.Context, target string) (sdktrace.SpanExporter, error) {
	if path, ok := strings.CutPrefix(target, filePrefix); ok {
		file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, errors.Wrap(err, "open trace file")
		}
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
		return exporter, errors.Wrap(err, "trace to file")
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(strings.TrimRight(target, "/")+"/v1/traces"))
	return exporter, errors.Wrap(err, "trace to OTLP")
}

// Extract returns the context with the caller's trace context from the header.
func (t *Tracer) Extract(ctx context.Context, h http.Header) context.Context {
	return t.propagator.Extract(ctx, propagation.HeaderCarrier(h))
}

// Inject writes the trace context into the header.
func (t *Tracer) Inject(ctx context.Context, h http.Header) {
	t.propagator.Inject(ctx, propagation.HeaderCarrier(h))
}

// Start starts a span, which the caller must end.
func (t *Tracer) Start(ctx context.Context, name string, kind trace.SpanKind, attrs ...attribute.KeyValue) (context.Context, trace.Span) {
	return t.inner.Start(ctx, name, trace.WithSpanKind(kind), trace.WithAttributes(attrs...))
}

// Stop exports the remaining spans and stops the tracer.
func (t *Tracer) Stop(ctx context.Context) error {
	return errors.Wrap(t.stop(ctx), "export spans")
}

// Transport wraps a transport so that each call has a client span.
func (t *Tracer) Transport(name string, next http.RoundTripper) http.RoundTripper {
	return tracedTransport{tracer: t, name: name, next: next}
}

type tracedTransport struct {
	tracer *Tracer
	name   string
	next   http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t tracedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx, span := t.tracer.Start(r.Context(), t.name, trace.SpanKindClient,
		attribute.String("http.request.method", r.Method), attribute.String("url.path", r.URL.Path))
	defer span.End()
	outgoing := r.Clone(ctx)
	t.tracer.Inject(ctx, outgoing.Header)
	resp, err := t.next.RoundTrip(outgoing)
	if err != nil {
		span.RecordError(err)
		return nil, err
	}
	span.SetAttributes(attribute.Int("http.response.status_code", resp.StatusCode))
	return resp, nil
}

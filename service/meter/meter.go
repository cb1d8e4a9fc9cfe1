// Package meter exposes the metrics of a process: OpenTelemetry instruments, served in the text format of Prometheus.
package meter

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// Metric is a counter or gauge whose value is read at each scrape.
type Metric struct {
	// Name is an OpenTelemetry name, such as pistachiovane.requests.answered.
	Name string
	Help string
	// Monotonic selects a counter, whose value never decreases, instead of a gauge.
	Monotonic bool
	// Value returns the current value. Scrapes may call it at the same time.
	Value func() float64
}

// Meter serves metrics over HTTP.
type Meter struct {
	handler  http.Handler
	provider *sdk.MeterProvider
	// otelMeter creates instruments.
	otelMeter metric.Meter
}

// durationBucketBounds are the upper bounds of the buckets of duration histograms, in seconds.
var durationBucketBounds = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.9, 1.5, 3, 6, 12}

// New returns a meter that serves the metrics. It fails if a name is invalid or occurs twice.
func New(metrics []Metric) (*Meter, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry), otelprometheus.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Wrap(err, "create Prometheus exporter")
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	otelMeter := provider.Meter("pistachiovane")
	for _, r := range metrics {
		if err := register(otelMeter, r); err != nil {
			return nil, err
		}
	}
	return &Meter{
		handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), provider: provider, otelMeter: otelMeter,
	}, nil
}

// AddDurationHistogram adds a histogram of durations in seconds. It returns a function that records one duration and is
// safe for concurrent use. It fails if the name is invalid.
func (m *Meter) AddDurationHistogram(name, help string) (record func(time.Duration), err error) {
	h, err := m.otelMeter.Float64Histogram(name, metric.WithDescription(help), metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(durationBucketBounds...))
	if err != nil {
		return nil, errors.Wrapf(err, "register metric %s", name)
	}
	return func(d time.Duration) { h.Record(context.Background(), d.Seconds()) }, nil
}

// ServeHTTP responds with the current values of all metrics.
func (m *Meter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.handler.ServeHTTP(w, r)
}

// register adds an instrument that reads r.Value at each scrape.
func register(m metric.Meter, r Metric) error {
	observe := func(_ context.Context, o metric.Float64Observer) error {
		o.Observe(r.Value())
		return nil
	}
	var err error
	if r.Monotonic {
		_, err = m.Float64ObservableCounter(r.Name, metric.WithDescription(r.Help), metric.WithFloat64Callback(observe))
	} else {
		_, err = m.Float64ObservableGauge(r.Name, metric.WithDescription(r.Help), metric.WithFloat64Callback(observe))
	}
	return errors.Wrapf(err, "register metric %s", r.Name)
}

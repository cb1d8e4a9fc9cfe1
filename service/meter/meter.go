// Package meter exposes the counts of a process as OpenTelemetry metrics in the usual text form.
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

// Metric is one value of a process.
type Metric struct {
	// Name is in the OpenTelemetry form, such as pistachiovane.requests.answered.
	Name string
	Help string
	// Monotonic is set for counts that only rise; the others are states.
	Monotonic bool
	Value     func() float64
}

// Meter serves readings.
type Meter struct {
	handler   http.Handler
	provider  *sdk.MeterProvider
	otelMeter metric.Meter
}

// durationBucketBounds are the bounds of the buckets of a timing, in seconds.
var durationBucketBounds = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.9, 1.5, 3, 6, 12}

// New returns a meter of the readings. It fails on names that are not allowed or stand twice.
func New(metrics []Metric) (*Meter, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry), otelprometheus.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Wrap(err, "make exporter")
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	otelMeter := provider.Meter("pistachiovane")
	for _, r := range metrics {
		if err := register(otelMeter, r); err != nil {
			return nil, err
		}
	}
	return &Meter{handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), provider: provider, otelMeter: otelMeter}, nil
}

// AddDurationHistogram adds a histogram of times in seconds and returns how to record one.
func (m *Meter) AddDurationHistogram(name, help string) (record func(time.Duration), err error) {
	h, err := m.otelMeter.Float64Histogram(name, metric.WithDescription(help), metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(durationBucketBounds...))
	if err != nil {
		return nil, errors.Wrapf(err, "register %s", name)
	}
	return func(d time.Duration) { h.Record(context.Background(), d.Seconds()) }, nil
}

// ServeHTTP answers with all readings.
func (m *Meter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.handler.ServeHTTP(w, r)
}

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
	return errors.Wrapf(err, "register %s", r.Name)
}

package telemetry

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// registry holds the instruments of one instance, so that the metrics of several instances in one process do not mix.
type registry struct {
	provider *sdkmetric.MeterProvider
	gatherer *prometheus.Registry
	meter    metric.Meter
}

func newRegistry() (*registry, error) {
	gatherer := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(gatherer), otelprometheus.WithoutScopeInfo(), otelprometheus.WithoutTargetInfo())
	if err != nil {
		return nil, errors.Wrap(err, "create the Prometheus metrics exporter")
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	return &registry{provider, gatherer, provider.Meter("github.com/lentiltide/lentiltide")}, nil
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (r *registry) Handler() http.Handler {
	return promhttp.HandlerFor(r.gatherer, promhttp.HandlerOpts{})
}

// Close stops the recording of metrics.
func (r *registry) Close() {
	// The error is ignored: a shutdown exports nothing, since the registry is read only on request.
	_ = r.provider.Shutdown(context.Background())
}

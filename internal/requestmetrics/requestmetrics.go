// Package requestmetrics provides the Prometheus metrics of the request path.
package requestmetrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/yuccadrift/yuccadrift/internal/backend"
	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/outcome"
	"github.com/yuccadrift/yuccadrift/internal/routing"
)

// Metrics holds the metrics of requests, retries and shed requests.
type Metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	inFlight prometheus.Gauge
	retries  *prometheus.CounterVec
	sheds    *prometheus.CounterVec
}

// New returns Metrics registered with reg.
func New(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccadrift_requests_total",
			Help: "Requests of callers by service, class, outcome and reason.",
		}, []string{"service", "class", "outcome", "reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "yuccadrift_request_seconds",
			Help:    "Time from a request's header to the end of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 18), // 0.5 ms to 65 s
		}, []string{"service", "class"}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "yuccadrift_requests_in_flight",
			Help: "Requests of callers in progress.",
		}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccadrift_retries_total",
			Help: "Further tries at a backend server by the failure that led to them.",
		}, []string{"service", "failure"}),
		sheds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccadrift_sheds_total",
			Help: "Requests that no backend server could take, by the refusal.",
		}, []string{"service", "class", "refusal"}),
	}
	reg.MustRegister(m.requests, m.latency, m.inFlight, m.retries, m.sheds)
	return m
}

// RequestStarted implements caller.Observer.
func (m *Metrics) RequestStarted() { m.inFlight.Inc() }

// RequestEnded implements caller.Observer.
func (m *Metrics) RequestEnded(service string, class document.Class, o outcome.Outcome, reason outcome.Reason, took time.Duration) {
	m.inFlight.Dec()
	m.requests.WithLabelValues(service, string(class), string(o), string(reason)).Inc()
	m.latency.WithLabelValues(service, string(class)).Observe(took.Seconds())
}

// Retried implements dispatch.Observer.
func (m *Metrics) Retried(service string, failure backend.Failure) {
	m.retries.WithLabelValues(service, string(failure)).Inc()
}

// Shed implements dispatch.Observer.
func (m *Metrics) Shed(service string, class document.Class, refusal routing.Refusal) {
	m.sheds.WithLabelValues(service, string(class), string(refusal)).Inc()
}

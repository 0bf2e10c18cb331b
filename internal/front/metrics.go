package front

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the metrics of callers' requests.
type Metrics struct {
	requests *prometheus.HistogramVec
	verdicts *prometheus.CounterVec
}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{requests: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "yuccadrift_front_request_seconds",
		Help:    "Time from a caller's request to its answer, in seconds, by method and status.",
		Buckets: []float64{0.003, 0.01, 0.03, 0.1, 0.3, 1, 3},
	}, []string{"method", "status"})}
	m.verdicts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "yuccadrift_front_verdicts_total",
		Help: "What was known of jobs whose record was not stored when their owners were asked, by verdict.",
	}, []string{"verdict"})
	r.MustRegister(m.requests, m.verdicts)
	return m
}

func (m *Metrics) observe(method string, status int, took time.Duration) {
	switch method {
	case "GET", "POST", "DELETE":
	default:
		method = "other" // bounds the number of series
	}
	m.requests.WithLabelValues(method, strconv.Itoa(status)).Observe(took.Seconds())
}

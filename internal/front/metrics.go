package front

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/yuccadrift/yuccadrift/internal/returntime"
)

// Metrics are the metrics of callers' requests.
type Metrics struct {
	requests *prometheus.HistogramVec
	hopeless *prometheus.CounterVec
	returns  *prometheus.HistogramVec
	verdicts *prometheus.CounterVec
	doubts   *prometheus.CounterVec
	aborted  prometheus.Counter
}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{requests: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "yuccadrift_front_request_seconds",
		Help:    "Time from a caller's request to its answer, in seconds, by method and status.",
		Buckets: []float64{0.003, 0.01, 0.03, 0.1, 0.3, 1, 3},
	}, []string{"method", "status"})}
	m.hopeless = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "yuccadrift_front_hopeless_jobs_total",
		Help: "Submitted jobs that can't be done in time for their caller, by what became of them: rejected, accepted before, or admitted because an earlier attempt may be stored.",
	}, []string{"outcome"})
	m.returns = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "yuccadrift_front_return_seconds",
		Help:    "After how long refused callers were told to return, in seconds, by the cause of the refusal.",
		Buckets: []float64{1, 2, 3, 4},
	}, []string{"cause"})
	m.verdicts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "yuccadrift_front_verdicts_total",
		Help: "What was known of jobs whose record was not stored when their owners were asked, by verdict.",
	}, []string{"verdict"})
	m.doubts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "yuccadrift_front_doubts_total",
		Help: "Uncertain verdicts on jobs whose record was not stored, by what left the doubt.",
	}, []string{"doubt"})
	m.aborted = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "yuccadrift_front_aborted_requests_total",
		Help: "Requests whose connection was closed for others before they had arrived.",
	})
	r.MustRegister(m.requests, m.hopeless, m.returns, m.verdicts, m.doubts, m.aborted)
	return m
}

func (m *Metrics) observeReturn(cause returntime.Cause, delay time.Duration) {
	m.returns.WithLabelValues(cause.String()).Observe(delay.Seconds())
}

// holdMetrics are the metrics of held requests.
type holdMetrics struct{ held *prometheus.HistogramVec }

func newHoldMetrics(r prometheus.Registerer, h *Holder) *holdMetrics {
	m := &holdMetrics{held: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "yuccadrift_front_held_seconds",
		Help:    "How long requests were held until they were stored or their callers were refused, in seconds, by result.",
		Buckets: []float64{0.1, 0.3, 1, 3},
	}, []string{"result"})}
	r.MustRegister(m.held, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "yuccadrift_front_held_requests",
		Help: "Requests that are held until they can be stored.",
	}, func() float64 { return float64(h.count()) }))
	return m
}

func (m *holdMetrics) observe(result holdResult, took time.Duration) {
	m.held.WithLabelValues(string(result)).Observe(took.Seconds())
}

func (m *Metrics) observe(method string, status int, took time.Duration) {
	switch method {
	case "GET", "POST", "DELETE":
	default:
		method = "other" // bounds the number of series
	}
	m.requests.WithLabelValues(method, strconv.Itoa(status)).Observe(took.Seconds())
}

package owner

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Metrics of all owners of a node.
type Metrics struct {
	orders *prometheus.HistogramVec
	events *prometheus.CounterVec
}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		orders: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "yuccadrift_worker_order_seconds",
			Help:    "Time from an order to a worker to its answer, in seconds, by kind and outcome.",
			Buckets: []float64{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.3, 1, 3},
		}, []string{"order", "outcome"}),
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccadrift_job_events_total",
			Help: "What happened to jobs and runs, by kind.",
		}, []string{"event"}),
	}
	r.MustRegister(m.orders, m.events)
	return m
}

func (m *Metrics) order(kind string, a workload.WorkerAnswer, sent time.Time) {
	m.orders.WithLabelValues(kind, a.Status.String()).Observe(time.Since(sent).Seconds())
}

// observe adds what was counted since the last call.
func (m *Metrics) observe(now scheduler.Counts, before *scheduler.Counts) {
	if now == *before {
		return
	}
	add := func(event string, n, was int) {
		if n > was {
			m.events.WithLabelValues(event).Add(float64(n - was))
		}
	}
	add("run_started", now.Started, before.Started)
	add("run_done", now.Done, before.Done)
	add("run_failed", now.FailedRuns, before.FailedRuns)
	add("run_lapsed", now.Lapsed, before.Lapsed)
	add("start_refused", now.Refused, before.Refused)
	add("start_uncertain", now.Uncertain, before.Uncertain)
	add("job_completed", now.Completed, before.Completed)
	add("job_failed", now.Failed, before.Failed)
	add("job_cancelled", now.Cancelled, before.Cancelled)
	*before = now
}

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
	plans  *prometheus.CounterVec
	delay  prometheus.Histogram
	step   prometheus.Histogram
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
		plans: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccadrift_plan_work_total",
			Help: "What deciding on starts took: plans, those cut short by starts without an answer, jobs ranked, workers and runs looked at.",
		}, []string{"work"}),
		delay: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "yuccadrift_owner_delay_seconds",
			Help:    "The longest time in a second that something waited for its owner's decision, in seconds.",
			Buckets: []float64{0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 3, 10},
		}),
		step: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "yuccadrift_owner_step_seconds",
			Help:    "The longest decision of an owner in a second, in seconds.",
			Buckets: []float64{0.0002, 0.0005, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1},
		}),
	}
	r.MustRegister(m.orders, m.events, m.plans, m.delay, m.step)
	return m
}

func (m *Metrics) order(kind string, a workload.WorkerAnswer, sent time.Time) {
	m.orders.WithLabelValues(kind, a.Status.String()).Observe(time.Since(sent).Seconds())
}

func (m *Metrics) lagging(l lag) {
	m.delay.Observe(l.delay.Seconds())
	m.step.Observe(l.step.Seconds())
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
	add("run_started", now.StartedRuns, before.StartedRuns)
	add("run_done", now.DoneTasks, before.DoneTasks)
	add("run_failed", now.FailedRuns, before.FailedRuns)
	add("run_lapsed", now.ExpiredRuns, before.ExpiredRuns)
	add("start_refused", now.RefusedStarts, before.RefusedStarts)
	add("start_uncertain", now.UnansweredStarts, before.UnansweredStarts)
	add("looked_again", now.ExtraPolls, before.ExtraPolls)
	add("worker_crashed", now.WorkerCrashes, before.WorkerCrashes)
	add("run_lost", now.LostRuns, before.LostRuns)
	add("run_found_beside_another", now.DuplicateRuns, before.DuplicateRuns)
	add("suspect_started", now.IsolatedRuns, before.IsolatedRuns)
	add("suspect_cleared", now.ClearedSuspects, before.ClearedSuspects)
	add("job_given_up", now.CrashingJobs, before.CrashingJobs)
	add("job_completed", now.CompletedJobs, before.CompletedJobs)
	add("job_failed", now.FailedJobs, before.FailedJobs)
	add("job_cancelled", now.CancelledJobs, before.CancelledJobs)
	m.plans.WithLabelValues("ranked").Add(float64(now.RankedJobs - before.RankedJobs))
	m.plans.WithLabelValues("looked_at").Add(float64(now.PlacementChecks - before.PlacementChecks))
	m.plans.WithLabelValues("plans").Add(float64(now.Plans - before.Plans))
	m.plans.WithLabelValues("cut_short").Add(float64(now.TruncatedPlans - before.TruncatedPlans))
	*before = now
}

package owner

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Metrics are the metrics of all owners of a node.
type Metrics struct {
	orders        *prometheus.HistogramVec
	events        *prometheus.CounterVec
	planWork      *prometheus.CounterVec
	maxEventDelay prometheus.Histogram
	maxStepTime   prometheus.Histogram
	heldBack      *prometheus.GaugeVec
	rejected      *prometheus.CounterVec
	keptWorkers   *prometheus.GaugeVec
	unplaceable   *prometheus.GaugeVec
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
		planWork: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccadrift_plan_work_total",
			Help: "What deciding on starts took: plans, those cut short by starts without an answer, steps that wait for their workspace's cap, jobs ranked, those of them that wait for their workspace's turn, workers and runs looked at.",
		}, []string{"work"}),
		maxEventDelay: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "yuccadrift_owner_delay_seconds",
			Help:    "The longest time in a second that something waited for its owner's decision, in seconds.",
			Buckets: []float64{0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 3, 10},
		}),
		maxStepTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "yuccadrift_owner_step_seconds",
			Help:    "The longest decision of an owner in a second, in seconds.",
			Buckets: []float64{0.0002, 0.0005, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1},
		}),
		heldBack: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "yuccadrift_jobs_waiting_for_workers",
			Help: "Jobs that don't start because a worker that has not answered since the takeover may run them, by partition.",
		}, []string{"partition"}),
	}
	m.rejected = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "yuccadrift_owner_records_rejected_total",
		Help: "Records of owners that are larger than the store accepts (too_large), and writes that the store rejects as invalid, by partition.",
	}, []string{"partition", "reason"})
	m.keptWorkers = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "yuccadrift_kept_workers",
		Help: "Workers that are kept from other tasks, by partition and by what they are kept for.",
	}, []string{"partition", "kept_for"})
	m.unplaceable = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "yuccadrift_unplaceable_steps",
		Help: "Long-running and starved steps that can't be placed on the workers of their service, by partition.",
	}, []string{"partition"})
	r.MustRegister(m.orders, m.events, m.planWork, m.maxEventDelay, m.maxStepTime, m.heldBack, m.rejected, m.keptWorkers, m.unplaceable)
	return m
}

func (m *Metrics) observeOrder(kind string, answer workload.WorkerAnswer, sentAt time.Time) {
	m.orders.WithLabelValues(kind, answer.Status.String()).Observe(time.Since(sentAt).Seconds())
}

func (m *Metrics) observeLoad(l loadStats) {
	m.maxEventDelay.Observe(l.maxEventDelay.Seconds())
	m.maxStepTime.Observe(l.maxStepTime.Seconds())
}

func (m *Metrics) observeRejected(partition int, reason string) {
	m.rejected.WithLabelValues(strconv.Itoa(partition), reason).Inc()
}

// observeHeldBack sets how many jobs of a partition wait for workers; 0 removes the partition.
func (m *Metrics) observeHeldBack(partition, jobs int) {
	setOrDelete(m.heldBack, jobs, strconv.Itoa(partition))
}

// observeHolds sets which workers of a partition's services are kept from other tasks.
func (m *Metrics) observeHolds(partition int, holds scheduler.Holds) {
	label := strconv.Itoa(partition)
	setOrDelete(m.keptWorkers, holds.LongRunning, label, "long_running")
	setOrDelete(m.keptWorkers, holds.Starved, label, "starved")
	setOrDelete(m.keptWorkers, holds.Suspects, label, "suspects")
	setOrDelete(m.unplaceable, holds.UnplaceableSteps, label)
}

// setOrDelete sets a gauge, and removes it at 0.
func setOrDelete(gauge *prometheus.GaugeVec, n int, labels ...string) {
	if n == 0 {
		gauge.DeleteLabelValues(labels...)
		return
	}
	gauge.WithLabelValues(labels...).Set(float64(n))
}

// observeCounts adds the increase of counts over previous, and sets previous to counts.
func (m *Metrics) observeCounts(counts scheduler.Counts, previous *scheduler.Counts) {
	if counts == *previous {
		return
	}
	add := func(event string, n, was int) {
		if n > was {
			m.events.WithLabelValues(event).Add(float64(n - was))
		}
	}
	add("run_started", counts.StartedRuns, previous.StartedRuns)
	add("run_done", counts.DoneTasks, previous.DoneTasks)
	add("run_failed", counts.FailedRuns, previous.FailedRuns)
	add("run_lapsed", counts.ExpiredRuns, previous.ExpiredRuns)
	add("start_refused", counts.RefusedStarts, previous.RefusedStarts)
	add("start_uncertain", counts.UnansweredStarts, previous.UnansweredStarts)
	add("looked_again", counts.ExtraPolls, previous.ExtraPolls)
	add("worker_crashed", counts.WorkerCrashes, previous.WorkerCrashes)
	add("run_lost", counts.LostRuns, previous.LostRuns)
	add("run_found_beside_another", counts.DuplicateRuns, previous.DuplicateRuns)
	add("rack_suspect", counts.SuspectRacks, previous.SuspectRacks)
	add("suspect_started", counts.IsolatedRuns, previous.IsolatedRuns)
	add("suspect_cleared", counts.ClearedSuspects, previous.ClearedSuspects)
	add("job_given_up", counts.CrashingJobs, previous.CrashingJobs)
	add("job_completed", counts.CompletedJobs, previous.CompletedJobs)
	add("job_failed", counts.FailedJobs, previous.FailedJobs)
	add("job_cancelled", counts.CancelledJobs, previous.CancelledJobs)
	add("run_started_early", counts.EarlyStarts, previous.EarlyStarts)
	add("job_held_by_unknown_workers", counts.JobsHeldByUnknownWorkers, previous.JobsHeldByUnknownWorkers)
	add("loan_granted", counts.LoansGranted, previous.LoansGranted)
	add("loan_received", counts.LoansReceived, previous.LoansReceived)
	m.planWork.WithLabelValues("cap_blocked").Add(float64(counts.CapBlockedSteps - previous.CapBlockedSteps))
	m.planWork.WithLabelValues("held_back").Add(float64(counts.HeldBackJobs - previous.HeldBackJobs))
	m.planWork.WithLabelValues("ranked").Add(float64(counts.RankedJobs - previous.RankedJobs))
	m.planWork.WithLabelValues("looked_at").Add(float64(counts.PlacementChecks - previous.PlacementChecks))
	m.planWork.WithLabelValues("plans").Add(float64(counts.Plans - previous.Plans))
	m.planWork.WithLabelValues("cut_short").Add(float64(counts.TruncatedPlans - previous.TruncatedPlans))
	*previous = counts
}

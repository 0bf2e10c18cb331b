package jobrunner

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the Prometheus metrics of a Runner. A nil Metrics records
// nothing.
type Metrics struct {
	startWait *prometheus.HistogramVec
	events    *prometheus.CounterVec
	reported  Stats
}

// startBuckets are in seconds; 6.7 s is the bound for urgent jobs.
var startBuckets = []float64{0.05, 0.1, 0.25, 0.5, 1, 2, 4, 6.7, 15, 60, 300, 1800}

// NewMetrics registers the metrics.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		startWait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "yuccadrift_job_start_seconds",
			Help:    "Time from a job's submission to the platform's word that its task was started.",
			Buckets: startBuckets,
		}, []string{"urgent"}),
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccadrift_job_events_total",
			Help: "Events of jobs that this steward drove.",
		}, []string{"event"}),
	}
	reg.MustRegister(m.startWait, m.events)
	return m
}

// observe exports the changes since the last call and clears the start waits.
func (m *Metrics) observe(s *Stats) {
	waits := s.StartWaits
	s.StartWaits = nil
	if m == nil {
		return
	}
	for _, w := range waits {
		m.startWait.WithLabelValues(strconv.FormatBool(w.Urgent)).Observe(w.Wait.Seconds())
	}
	m.count("started", s.Started-m.reported.Started)
	m.count("start_refused", s.Refused-m.reported.Refused)
	m.count("lapsed", s.Lapsed-m.reported.Lapsed)
	m.count("unplaceable", s.Unplaceable-m.reported.Unplaceable)
	m.count("preempted", s.Preempted-m.reported.Preempted)
	m.count("worker_set_aside", s.Quarantined-m.reported.Quarantined)
	m.reported = *s
}

func (m *Metrics) count(event string, n int) { m.events.WithLabelValues(event).Add(float64(n)) }

package steward

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/maintenance"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// metrics holds the metrics of the steward itself. Metrics of the fleet are in
// package burnmetrics.
type metrics struct {
	proposals    *prometheus.CounterVec
	actions      *prometheus.CounterVec
	roundSeconds prometheus.Histogram
	heldBack     prometheus.Counter
	spare        *prometheus.GaugeVec
}

func newMetrics(to prometheus.Registerer) *metrics {
	m := &metrics{
		proposals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccadrift_steward_proposals_total",
			Help: "Records proposed by this steward, by kind and outcome.",
		}, []string{"kind", "outcome"}),
		actions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccadrift_steward_actions_total",
			Help: "Actions sent to the platform, repeats included, by action and what the reply proved.",
		}, []string{"action", "result"}),
		roundSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "yuccadrift_steward_planning_round_seconds",
			Help:    "Time that one planning round takes, the appends left out.",
			Buckets: prometheus.ExponentialBuckets(0.0001, 2, 12),
		}),
		heldBack: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "yuccadrift_steward_failures_held_back_total",
			Help: "Failed health checks not recorded because the fault may lie in this node's network.",
		}),
		spare: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "yuccadrift_spare_vms_needed",
			Help: "Spare VMs that failures call for: as one reserve, or as the sum of each pool's own.",
		}, []string{"kept"}),
	}
	if to != nil {
		to.MustRegister(m.proposals, m.actions, m.roundSeconds, m.heldBack, m.spare)
	}
	return m
}

func (m *metrics) observeProposal(kind record.Kind, outcome ledger.Status) {
	m.proposals.WithLabelValues(string(kind), string(outcome)).Inc()
}

// outcomeUnknown labels proposals whose outcome did not arrive in time.
const outcomeUnknown ledger.Status = "unknown"

func (m *metrics) observeAction(verb maintenance.Verb, r maintenance.Result) {
	m.actions.WithLabelValues(string(verb), r.String()).Inc()
}

func (m *metrics) observeRound(took time.Duration) { m.roundSeconds.Observe(took.Seconds()) }

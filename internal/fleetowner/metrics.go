package fleetowner

import (
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/yuccadrift/yuccadrift/internal/fleet"
)

// Metrics are the metrics of the fleet's owner. Without a registerer they are counted and shown nowhere.
type Metrics struct {
	inside, limit, oldest prometheus.Gauge
	overdue               prometheus.Gauge
	orders                *prometheus.CounterVec
}

// NewMetrics registers the metrics; r may be nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		inside: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "yuccadrift_fleet_pipeline_vms",
			Help: "VMs that are being drained or ordered.",
		}),
		limit: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "yuccadrift_fleet_pipeline_limit",
			Help: "VMs that may be drained or ordered at once, by what the pipeline has finished in time.",
		}),
		oldest: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "yuccadrift_fleet_pipeline_oldest_seconds",
			Help: "How long the VM has been drained or ordered that has been so for the longest, in seconds.",
		}),
		overdue: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "yuccadrift_fleet_wave_overdue_vms",
			Help: "VMs of maintenance waves that have waited for their order for longer than a drain takes.",
		}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "yuccadrift_fleet_orders_total",
			Help: "Orders for VMs by result: accepted, lapsed before they were sent, or turned away by the platform.",
		}, []string{"result"}),
	}
	if r != nil {
		r.MustRegister(m.inside, m.limit, m.oldest, m.overdue, m.orders)
	}
	return m
}

// pipelineLogInterval is the time between two log lines on the pipeline while VMs are in it.
const pipelineLogInterval = time.Second

// pipelineReport is what was last reported of the pipeline.
type pipelineReport struct {
	state    fleet.PipelineState
	loggedAt time.Time
	logged   fleet.PipelineState
}

// reportPipeline updates the metrics, and logs what the pipeline has done since the last line.
func (o *Owner) reportPipeline(s fleet.PipelineState, now time.Time) {
	r, m := &o.pipelineReport, o.deps.Metrics
	if m != nil {
		m.inside.Set(float64(s.Inside))
		m.limit.Set(float64(s.Limit))
		m.oldest.Set(s.Oldest.Seconds())
		m.orders.WithLabelValues("accepted").Add(float64(s.Ordered - r.state.Ordered))
		m.orders.WithLabelValues("lapsed").Add(float64(s.Lapsed - r.state.Lapsed))
		m.orders.WithLabelValues("turned_away").Add(float64(s.TurnedAway - r.state.TurnedAway))
	}
	r.state = s
	if now.Sub(r.loggedAt) < pipelineLogInterval || s.Inside == 0 && s.Ordered == r.logged.Ordered && s.Lapsed == r.logged.Lapsed {
		return
	}
	o.logger.Info("VM orders", "inside", s.Inside, "limit", s.Limit, "oldest_ms", s.Oldest.Milliseconds(),
		"ordered", s.Ordered-r.logged.Ordered, "lapsed", s.Lapsed-r.logged.Lapsed, "turned_away", s.TurnedAway-r.logged.TurnedAway)
	r.loggedAt, r.logged = now, s
}

// maxOverdueVMsLogged bounds the lines on overdue VMs in one step.
const maxOverdueVMsLogged = 20

// overdueReasons are the reasons that were logged, by overdue VM.
type overdueReasons map[string][]fleet.HoldReason

// reportOverdue updates the metric, and logs each overdue VM once for each reason that holds its order back.
func (o *Owner) reportOverdue(overdue []fleet.OverdueVM) {
	if m := o.deps.Metrics; m != nil {
		m.overdue.Set(float64(len(overdue)))
	}
	reasons := make(overdueReasons, len(overdue))
	logged := 0
	for _, vm := range overdue {
		reasons[vm.VM] = o.overdueReasons[vm.VM]
		if slices.Contains(reasons[vm.VM], vm.Reason) || logged >= maxOverdueVMsLogged {
			continue
		}
		reasons[vm.VM] = append(reasons[vm.VM], vm.Reason)
		logged++
		o.logger.Warn("VM of a wave waits for its order", "vm", vm.VM, "worker", vm.Worker, "wave", vm.Wave, "wait_ms", vm.Wait.Milliseconds(), "reason", string(vm.Reason))
	}
	o.overdueReasons = reasons
}

package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/yuccadrift/yuccadrift/internal/fleetowner"
	"github.com/yuccadrift/yuccadrift/internal/logging"
)

// registerMetrics registers the metrics of the process that belong to none of its parts.
func (n *Node) registerMetrics(metrics *prometheus.Registry, async *logging.Async) {
	metrics.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "yuccadrift_log_lines_dropped_total",
		Help: "Log lines that were dropped because nobody read them fast enough.",
	}, func() float64 { return float64(async.Dropped()) }))
	n.slowdown = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "yuccadrift_vm_slowdown_factor",
		Help: "How many times slower than usual the VM computes, 1 if it is not slowed or owns nothing.",
	})
	n.slowdown.Set(1)
	metrics.MustRegister(n.slowdown)
	n.storeCalls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "yuccadrift_store_calls_total",
		Help: "Calls to the platform's store by kind, and whether the store served them.",
	}, []string{"kind", "served"})
	metrics.MustRegister(n.storeCalls)
	n.fleetMetrics = fleetowner.NewMetrics(metrics)
}

// Package burnmetrics exports the figures of package measure as Prometheus metrics.
// Every steward exports them. The values are equal on nodes at the same offset, so
// a dashboard should use the maximum over nodes.
package burnmetrics

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/measure"
)

// reportTTL is how long a report is reused, so that several scrapers cause only one
// pass over the state.
const reportTTL = time.Second

// State gives read access to the folded state. follower.Follower implements it.
type State interface {
	View(func(*ledger.State))
}

// Collector implements prometheus.Collector.
type Collector struct {
	state State
	now   func() time.Time

	mu         sync.Mutex
	report     measure.Report
	reportTime time.Time
}

// New returns a Collector over the state.
func New(state State, now func() time.Time) *Collector {
	return &Collector{state: state, now: now}
}

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("yuccadrift_"+name, help, labels, nil)
}

// Metrics, named as in examples/alerts.yml.
var (
	burnRate          = desc("budget_burn_rate", "Budget use over the window relative to even use; 1 spends the budget in its own window.", "service", "window")
	left              = desc("budget_left_vm_seconds", "VM-seconds left in the budget's window; negative once it is broken.", "service")
	allowed           = desc("budget_allowed_vm_seconds", "VM-seconds of the budget per window.", "service")
	spent             = desc("budget_spent_vm_seconds", "VM-seconds spent in the budget's window by cause.", "service", "cause")
	serving           = desc("pool_serving_vms", "VMs of the pool that serve.", "service")
	size              = desc("pool_size_vms", "VMs that the pool's document asks for.", "service")
	spare             = desc("pool_spare_vms", "VMs that serve beyond the declared size.", "service")
	moves             = desc("pool_moves_total", "VMs that came from other pools.", "service")
	reboots           = desc("pool_reboots_total", "VMs of the pool that were rebooted.", "service")
	free              = desc("free_vms", "VMs in no pool, the common reserve.")
	buffer            = desc("buffer_ratio", "Share of all VMs that are spare or free.")
	waveSeconds       = desc("wave_seconds", "Time since the wave's start, until its end once it is over.", "wave", "status")
	waveFinishedRatio = desc("wave_finished_ratio", "Share of the wave's VMs that are back or skipped.", "wave", "status")
	foldOffset        = desc("ledger_offset", "Highest folded offset of the log.")
)

var descs = []*prometheus.Desc{burnRate, left, allowed, spent, serving, size, spare, moves, reboots, free, buffer, waveSeconds, waveFinishedRatio, foldOffset}

// Describe implements prometheus.Collector.
func (c *Collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range descs {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c *Collector) Collect(ch chan<- prometheus.Metric) {
	r := c.current()
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	counter := func(d *prometheus.Desc, value int, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(value), labels...)
	}
	for _, m := range r.Services {
		for _, b := range m.Burns {
			gauge(burnRate, b.Rate, m.Name, WindowName(b.Window))
		}
		for _, cause := range m.Causes {
			gauge(spent, cause.VMSeconds, m.Name, cause.Name)
		}
		gauge(left, m.Left, m.Name)
		gauge(allowed, m.Allowed, m.Name)
		gauge(serving, float64(m.Serving), m.Name)
		gauge(size, float64(m.Size), m.Name)
		gauge(spare, float64(m.Spare), m.Name)
		counter(moves, m.Moves, m.Name)
		counter(reboots, m.Reboots, m.Name)
	}
	for _, w := range r.Waves {
		gauge(waveSeconds, w.Took.Seconds(), w.Name, string(w.Status))
		gauge(waveFinishedRatio, float64(w.Finished+w.Skipped)/float64(max(1, w.VMs)), w.Name, string(w.Status))
	}
	gauge(free, float64(r.Fleet.Free))
	gauge(buffer, r.Fleet.Buffer)
	gauge(foldOffset, float64(r.Offset))
}

// current returns the report, which it renews if it is older than reportTTL.
func (c *Collector) current() measure.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if c.reportTime.IsZero() || now.Sub(c.reportTime) >= reportTTL {
		c.state.View(func(s *ledger.State) { c.report = measure.Of(s, now) })
		c.reportTime = now
	}
	return c.report
}

// WindowName returns the window in the form of alert rules, such as 5m or 1h.
func WindowName(d time.Duration) string {
	if d%time.Hour == 0 {
		return trimZero(d.String(), "0m0s")
	}
	return trimZero(d.String(), "0s")
}

func trimZero(text, zero string) string { return text[:len(text)-len(zero)] }

package follower

import (
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/yuccadrift/yuccadrift/internal/platform"
)

// metrics holds the follower's metrics. Gauges are computed when scraped.
type metrics struct {
	records    *prometheus.CounterVec // by outcome
	appends    *prometheus.CounterVec // by result
	readErrors prometheus.Counter
	snapshots  prometheus.Counter
	gauges     []prometheus.Collector
}

func newMetrics(f *Follower) *metrics {
	counter := func(name, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{Namespace: "yuccadrift", Subsystem: "log", Name: name, Help: help}
	}
	gauge := func(name, help string, read func() float64) prometheus.Collector {
		opts := prometheus.GaugeOpts{Namespace: "yuccadrift", Subsystem: "log", Name: name, Help: help}
		return prometheus.NewGaugeFunc(opts, read)
	}
	return &metrics{
		records:    prometheus.NewCounterVec(counter("records_total", "Records folded, by outcome."), []string{"outcome"}),
		appends:    prometheus.NewCounterVec(counter("appends_total", "Appends of proposals, by result."), []string{"result"}),
		readErrors: prometheus.NewCounter(counter("read_errors_total", "Reads of the log that failed.")),
		snapshots:  prometheus.NewCounter(counter("snapshots_total", "Snapshots published by this process.")),
		gauges: []prometheus.Collector{
			gauge("offset", "Offset up to which the log is folded.", f.offsetGauge),
			gauge("age_seconds", "Time since the latest read of the log's end was sent; -1 before the first.", f.ageGauge),
			gauge("following", "1 while the log is read and folded.", f.followingGauge),
		},
	}
}

// checkpointDesc describes the latest checkpoint. Offset and digest are labels
// because a digest does not fit a sample value.
var checkpointDesc = prometheus.NewDesc("yuccadrift_log_checkpoint_info",
	"1, with the offset and digest of the state at its latest checkpoint. Equal offsets have equal digests.",
	[]string{"offset", "digest"}, nil)

// Describe implements prometheus.Collector.
func (f *Follower) Describe(ch chan<- *prometheus.Desc) {
	for _, c := range f.metrics.all() {
		c.Describe(ch)
	}
	ch <- checkpointDesc
}

// Collect implements prometheus.Collector.
func (f *Follower) Collect(ch chan<- prometheus.Metric) {
	for _, c := range f.metrics.all() {
		c.Collect(ch)
	}
	if p := f.Checkpoint(); p.Offset > 0 {
		ch <- prometheus.MustNewConstMetric(checkpointDesc, prometheus.GaugeValue, 1,
			strconv.FormatUint(p.Offset, 10), fmt.Sprintf("%016x", p.Digest))
	}
}

func (m *metrics) all() []prometheus.Collector {
	return append([]prometheus.Collector{m.records, m.appends, m.readErrors, m.snapshots}, m.gauges...)
}

func (m *metrics) countAppend(err error) {
	result := "unknown"
	switch {
	case err == nil:
		result = "ok"
	case errors.Is(err, platform.ErrThrottled):
		result = "throttled"
	case errors.Is(err, platform.ErrUnavailable):
		result = "unavailable"
	case errors.Is(err, platform.ErrRejected):
		result = "rejected"
	}
	m.appends.WithLabelValues(result).Inc()
}

func (f *Follower) offsetGauge() float64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return float64(f.state.Offset)
}

func (f *Follower) ageGauge() float64 {
	fresh := f.Fresh()
	if fresh.IsZero() {
		return -1
	}
	return time.Since(fresh).Seconds()
}

func (f *Follower) followingGauge() float64 {
	if c, _ := f.Condition(); c == Following {
		return 1
	}
	return 0
}

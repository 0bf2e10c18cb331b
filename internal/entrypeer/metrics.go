package entrypeer

import "github.com/prometheus/client_golang/prometheus"

// collector reads the figures of a Node at each scrape.
type collector struct {
	node       *Node
	records    *prometheus.Desc
	inProgress *prometheus.Desc
	handovers  *prometheus.Desc
	floors     *prometheus.Desc
	suspects   *prometheus.Desc
	granting   *prometheus.Desc
	dropped    *prometheus.Desc
}

// NewCollector returns the metrics of a Node.
func NewCollector(node *Node) prometheus.Collector {
	desc := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc("yuccadrift_claims_"+name, help, nil, nil)
	}
	return &collector{
		node:       node,
		records:    desc("records", "Keys of requests that must not be repeated of which this member has a record."),
		inProgress: desc("in_progress", "Claims granted by this member that a running attempt holds."),
		handovers:  desc("handovers_awaited", "Handovers from earlier owners that this member awaits."),
		floors:     desc("floors", "Ranges of keys whose records are lost; their keys up to a certain age are answered with unknown."),
		suspects:   desc("suspects", "Peers that this member does not trust."),
		granting:   desc("granting", "1 if this process may grant claims, 0 otherwise."),
		dropped:    desc("reports_dropped_total", "Reports of the end of an attempt that could not be delivered to the owner of the key."),
	}
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(ch chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(c, ch)
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v int) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(v))
	}
	s := c.node.Stats()
	gauge(c.records, s.Records)
	gauge(c.inProgress, s.InProgress)
	gauge(c.handovers, s.PendingHandovers)
	gauge(c.floors, s.Floors)
	gauge(c.suspects, s.Suspects)
	granting := 0
	if c.node.Ready() == "" {
		granting = 1
	}
	gauge(c.granting, granting)
	ch <- prometheus.MustNewConstMetric(c.dropped, prometheus.CounterValue, float64(c.node.DroppedReports()))
}

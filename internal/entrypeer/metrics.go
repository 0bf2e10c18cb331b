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
		records:    desc("records", "Keys of not-repeatable requests that this member owns and remembers."),
		inProgress: desc("in_progress", "Claims of this owner that are held by a running attempt."),
		handovers:  desc("handovers_awaited", "Handovers from earlier owners that have not arrived yet."),
		floors:     desc("floors", "Lost members whose keys of a certain age are answered with unknown."),
		suspects:   desc("suspects", "Peers that this member does not trust at present."),
		granting:   desc("granting", "1 while this process may grant claims."),
		dropped:    desc("reports_dropped_total", "Ends of attempts that could not be reported to the owner of their key."),
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
	if c.node.NotReadyReason() == "" {
		granting = 1
	}
	gauge(c.granting, granting)
	ch <- prometheus.MustNewConstMetric(c.dropped, prometheus.CounterValue, float64(c.node.DroppedReports()))
}

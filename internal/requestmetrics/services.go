package requestmetrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/yuccadrift/yuccadrift/internal/dispatch"
)

// Descriptions of the gauges with a service label.
var (
	backendsDesc = prometheus.NewDesc("yuccadrift_backends",
		"Backend servers that this process may use.", []string{"service"}, nil)
	ejectedDesc = prometheus.NewDesc("yuccadrift_backends_ejected",
		"Backend servers that are out by the evidence of requests.", []string{"service"}, nil)
	unhealthyDesc = prometheus.NewDesc("yuccadrift_backends_unhealthy",
		"Backend servers that are a last resort, by health checks or the log.", []string{"service"}, nil)
	inFlightDesc = prometheus.NewDesc("yuccadrift_attempts_in_flight",
		"Attempts under way at backend servers.", []string{"service"}, nil)
	waitingDesc = prometheus.NewDesc("yuccadrift_requests_waiting",
		"Quick requests that wait for a slot.", []string{"service"}, nil)
)

// Services returns a collector that reads each service's status at each scrape.
func Services(status func() []dispatch.Status) prometheus.Collector { return services(status) }

type services func() []dispatch.Status

// Describe implements prometheus.Collector.
func (services) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{backendsDesc, ejectedDesc, unhealthyDesc, inFlightDesc, waitingDesc} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (s services) Collect(out chan<- prometheus.Metric) {
	for _, st := range s() {
		gauge := func(d *prometheus.Desc, n int) {
			out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(n), st.Service)
		}
		gauge(backendsDesc, st.Pool.Backends)
		gauge(ejectedDesc, st.Pool.Ejected)
		gauge(unhealthyDesc, st.Pool.Unhealthy)
		gauge(inFlightDesc, st.Pool.InFlight)
		gauge(waitingDesc, st.Waiting)
	}
}

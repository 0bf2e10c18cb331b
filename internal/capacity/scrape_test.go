package capacity

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/bench/fleet"
	"github.com/yuccadrift/yuccadrift/internal/burnmetrics"
	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/outcome"
	"github.com/yuccadrift/yuccadrift/internal/requestmetrics"
)

// BenchmarkScrape is one scrape of the metrics that have a line for each
// service: the budgets of a steward, and the requests of an entry process that
// has seen every class and the common outcomes of every service.
func BenchmarkScrape(b *testing.B) {
	h := fleet.AtRest(fleet.VMs(4000))
	budgets := prometheus.NewRegistry()
	later := 0
	budgets.MustRegister(burnmetrics.New(h, func() time.Time { // never the report kept from the last scrape
		later++
		return fleet.Epoch.Add(time.Hour + time.Duration(later)*time.Minute)
	}))
	b.Run("steward", func(b *testing.B) { scrape(b, budgets) })
	requests := prometheus.NewRegistry()
	m := requestmetrics.New(requests)
	for i := range fleet.Pools {
		for _, class := range []document.Class{document.ClassQuick, document.ClassLong} {
			for _, o := range []outcome.Outcome{outcome.Ran, outcome.NotRun, outcome.Unknown} {
				m.Began()
				m.Ended(fleet.Service(i), class, o, "", time.Millisecond)
			}
		}
	}
	b.Run("entry", func(b *testing.B) { scrape(b, requests) })
}

func scrape(b *testing.B, registry *prometheus.Registry) {
	handler := promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
	size := map[string]int{}
	for b.Loop() {
		for _, encoding := range []string{"identity", "gzip"} {
			request := httptest.NewRequest(http.MethodGet, "/metrics", nil)
			request.Header.Set("Accept-Encoding", encoding)
			answer := httptest.NewRecorder()
			handler.ServeHTTP(answer, request)
			require.Equal(b, http.StatusOK, answer.Code)
			size[encoding] = answer.Body.Len()
		}
	}
	b.ReportMetric(float64(size["identity"]), "B")
	b.ReportMetric(float64(size["gzip"]), "gzip-B")
}

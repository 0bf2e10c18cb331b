package requests

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/yuccadrift/yuccadrift/internal/bench/figure"
	"github.com/yuccadrift/yuccadrift/internal/bench/fleet"
	"github.com/yuccadrift/yuccadrift/internal/burnmetrics"
	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/outcome"
	"github.com/yuccadrift/yuccadrift/internal/requestmetrics"
)

const (
	scrapedVMs = 4000
	// scrapes is how many scrapes one result averages.
	scrapes = 20
)

// Scrape measures a scrape of the metrics with series for each service: the budgets
// of a steward, and the requests of an entry process after requests of every
// class and common outcome to every service.
func Scrape(runs int) ([]figure.Table, error) {
	table := figure.Table{
		Title:      "one scrape of the metrics with a line for each service",
		Labels:     []string{"role"},
		Quantities: []string{"plain and in gzip, ms", "kB plain", "kB in gzip"},
	}
	for _, role := range []struct {
		name     string
		registry *prometheus.Registry
	}{{"steward", budgetRegistry()}, {"entry", requestRegistry()}} {
		samples, err := figure.Collect(runs, func(uint64) ([]float64, error) { return scrape(role.registry) })
		if err != nil {
			return nil, err
		}
		table.Add(samples, role.name)
	}
	return []figure.Table{table}, nil
}

func budgetRegistry() *prometheus.Registry {
	registry, elapsed := prometheus.NewRegistry(), time.Duration(0)
	history := fleet.NewSteadyStateHistory(fleet.VMs(scrapedVMs))
	registry.MustRegister(burnmetrics.New(history, func() time.Time { // the clock moves on, so that no report is reused
		elapsed += time.Minute
		return fleet.Epoch.Add(time.Hour + elapsed)
	}))
	return registry
}

func requestRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	m := requestmetrics.New(registry)
	for i := range fleet.Pools {
		for _, class := range []document.Class{document.ClassQuick, document.ClassLong} {
			for _, o := range []outcome.Outcome{outcome.Ran, outcome.NotRun, outcome.Unknown} {
				m.RequestStarted()
				m.RequestEnded(fleet.Service(i), class, o, "", time.Millisecond)
			}
		}
	}
	return registry
}

// countingWriter is an http.ResponseWriter that counts the bytes of the body.
type countingWriter struct {
	header http.Header
	status int
	bytes  int
}

// Header implements http.ResponseWriter.
func (a *countingWriter) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *countingWriter) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *countingWriter) Write(data []byte) (int, error) {
	a.bytes += len(data)
	return len(data), nil
}

func scrape(registry *prometheus.Registry) ([]float64, error) {
	handler := promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
	kilobytes := map[string]float64{}
	began := time.Now()
	for range scrapes {
		for _, encoding := range []string{"identity", "gzip"} {
			request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "/metrics", nil)
			if err != nil {
				return nil, err
			}
			request.Header.Set("Accept-Encoding", encoding)
			writer := &countingWriter{header: http.Header{}, status: http.StatusOK}
			handler.ServeHTTP(writer, request)
			if writer.status != http.StatusOK {
				return nil, errors.Errorf("scrape returned status %d", writer.status)
			}
			kilobytes[encoding] = float64(writer.bytes) / 1e3
		}
	}
	took := time.Since(began).Seconds() * 1e3 / scrapes
	return []float64{took, kilobytes["identity"], kilobytes["gzip"]}, nil
}

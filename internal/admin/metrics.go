package admin

import (
	"runtime"
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// NewRegistry returns the registry of one daemon, with the metrics of the Go
// runtime, of the process and of the build.
func NewRegistry(binary string) *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		buildInfo(binary),
	)
	return registry
}

// buildInfo returns a gauge of constant 1 with the build in its labels, so that
// a roll-out shows as a change of labels.
func buildInfo(binary string) prometheus.Collector {
	version, revision := buildVersion()
	gauge := prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "yuccadrift_build_info",
		Help: "Constant 1, labelled with the build of this process.",
		ConstLabels: prometheus.Labels{
			"binary":     binary,
			"version":    version,
			"revision":   revision,
			"go_version": runtime.Version(),
		},
	})
	gauge.Set(1)
	return gauge
}

// buildVersion returns the module version and the commit, or "unknown" for what
// the binary does not contain.
func buildVersion() (version, revision string) {
	version, revision = "unknown", "unknown"
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return version, revision
	}
	if info.Main.Version != "" {
		version = info.Main.Version
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			revision = setting.Value
		}
	}
	return version, revision
}

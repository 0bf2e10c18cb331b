package follower_test

import (
	"os"
	"regexp"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/standin"
)

func TestMetrics(t *testing.T) {
	run(t, func(t *testing.T) {
		n := start(t, standin.New(standin.Options{}), "n", nil)
		registry := prometheus.NewPedanticRegistry()
		require.NoError(t, registry.Register(n))
		advance(time.Second)
		n.writeRecords(3)
		got := values(t, registry)
		require.Equal(t, 3.0, got["yuccadrift_log_records_total"])
		require.Equal(t, 3.0, got["yuccadrift_log_appends_total"])
		require.Equal(t, 3.0, got["yuccadrift_log_offset"])
		require.Equal(t, 1.0, got["yuccadrift_log_following"])
		require.NotContains(t, got, "yuccadrift_log_checkpoint_info")
		for range 9 {
			_, err := n.logLink.Append(t.Context(), stream, slices.Repeat([][]byte{{}}, 1000))
			require.NoError(t, err)
		}
		advance(time.Second)
		got = values(t, registry)
		require.Equal(t, 1.0, got["yuccadrift_log_checkpoint_info"])
		rules, err := os.ReadFile("../../examples/alerts-log.yml")
		require.NoError(t, err)
		for _, name := range regexp.MustCompile(`yuccadrift_[a-z_]+`).FindAllString(string(rules), -1) {
			require.Contains(t, got, name, "an alert on a metric that is not exported never fires")
		}
	})
}

// values returns the first value of each metric.
func values(t *testing.T, registry *prometheus.Registry) map[string]float64 {
	families, err := registry.Gather()
	require.NoError(t, err)
	out := map[string]float64{}
	for _, f := range families {
		m := f.GetMetric()[0]
		out[f.GetName()] = m.GetCounter().GetValue() + m.GetGauge().GetValue()
	}
	return out
}

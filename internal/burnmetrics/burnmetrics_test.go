package burnmetrics

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/measure"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

type fixedState struct{ state *ledger.State }

func (f fixedState) View(fn func(*ledger.State)) { fn(f.state) }

// exported returns the number of metrics by name for a state with one service and
// one wave. It uses a registry that refuses inconsistent metrics.
func exported(t *testing.T) map[string]int {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "examples", "ramcharan", "booking.toml"))
	require.NoError(t, err)
	state := ledger.New()
	for i, r := range []record.Record{
		{ID: "1", Subject: record.Subject{Kind: record.SubjectService, Name: "booking"}, Body: record.DocumentPublish{Text: string(text)}},
		{ID: "2", Subject: record.Subject{Kind: record.SubjectVM, Name: "vm"}, Body: record.VMRegister{Zone: "a", Rack: "r", Address: "127.0.0.1:1", Cores: 32, MemoryMB: 65536}},
		{ID: "3", Subject: record.Subject{Kind: record.SubjectVM, Name: "vm"}, Base: 2, Body: record.VMJoin{Pool: "booking"}},
		{ID: "4", Subject: record.Subject{Kind: record.SubjectWave, Name: "w"}, Body: record.WaveStart{Pools: []string{"booking"}, Deadline: time.Now().Add(time.Hour)}},
	} {
		r.Author, r.Time = "test", time.Now().UTC()
		out := state.Apply(uint64(i+1), r)
		require.Equal(t, ledger.Effective, out.Status, out.Reason)
	}
	registry := prometheus.NewPedanticRegistry()
	require.NoError(t, registry.Register(New(fixedState{state}, time.Now)))
	families, err := registry.Gather()
	require.NoError(t, err)
	names := map[string]int{}
	for _, f := range families {
		names[f.GetName()] = len(f.GetMetric())
	}
	return names
}

func TestMetricsOfAState(t *testing.T) {
	names := exported(t)
	require.Len(t, names, len(descs))
	require.Equal(t, len(measure.Windows()), names["yuccadrift_budget_burn_rate"])
	require.Equal(t, len(ledger.Causes()), names["yuccadrift_budget_spent_vm_seconds"])
}

// An alert on a metric that is not exported never fires, without any error.
func TestAlertRulesNameExportedMetrics(t *testing.T) {
	rules, err := os.ReadFile(filepath.Join("..", "..", "examples", "alerts.yml"))
	require.NoError(t, err)
	names := exported(t)
	used := regexp.MustCompile(`yuccadrift_[a-z_]+`).FindAllString(string(rules), -1)
	require.NotEmpty(t, used)
	for _, name := range used {
		require.Contains(t, names, name)
	}
	windows := map[string]bool{}
	for _, w := range measure.Windows() {
		windows[WindowName(w)] = true
	}
	for _, m := range regexp.MustCompile(`window="([^"]+)"`).FindAllStringSubmatch(string(rules), -1) {
		require.True(t, windows[m[1]], m[1])
	}
}

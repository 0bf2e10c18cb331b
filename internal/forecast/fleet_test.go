package forecast_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/forecast"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/pool"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

var epoch = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

// usual is how long a drain takes where a test does not say otherwise.
var usual = forecast.Times{Drain: 10 * time.Second, Reboot: 100 * time.Second, Return: 10 * time.Second}

// deployment is the documents of one deployment and its zones.
type deployment struct {
	name  string
	texts []string
	pools []string
	zones int
	size  int
}

func readDeployment(t testing.TB, name string, zones int) deployment {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", "..", "examples", name, "*.toml"))
	require.NoError(t, err)
	d := deployment{name: name, zones: zones}
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		doc, problems := document.Parse(file, text)
		if len(problems) > 0 || doc.Service == "" {
			continue // settings and other files lie beside the documents
		}
		d.texts = append(d.texts, string(text))
		d.pools = append(d.pools, doc.Service)
		d.size += doc.Pool.Size
	}
	return d
}

// start returns a run in which all pools have their VMs and spare ones are free.
func (d deployment) start(t testing.TB, spare int, policy pool.Policy) *forecast.Run {
	t.Helper()
	r := forecast.New(ledger.New(), epoch, policy, usual)
	for i, text := range d.texts {
		publish(t, r, d.pools[i], text)
	}
	for v := range d.size + spare {
		zone := fmt.Sprintf("z%d", v%d.zones)
		out := r.OnVM(fmt.Sprintf("vm-%03d", v), record.VMRegister{
			Zone: zone, Rack: fmt.Sprintf("%s-r%d", zone, v/d.zones/4), Address: "10.0.0.1:80",
			Cores: 64, MemoryMB: 256 << 10, Accelerators: 1,
		})
		require.Equal(t, ledger.Effective, out.Status, out.Reason)
	}
	r.To(r.Now.Add(time.Hour))
	return r
}

// publish and wave are acts of an operator.
func publish(t testing.TB, r *forecast.Run, service, text string) {
	t.Helper()
	out := r.Append(record.Subject{Kind: record.SubjectService, Name: service}, record.DocumentPublish{Text: text})
	require.Equal(t, ledger.Effective, out.Status, out.Reason)
}

// resize publishes a service's document again with another size.
func resize(t testing.TB, r *forecast.Run, service string, size int) {
	t.Helper()
	svc := r.State.Services[service]
	was := fmt.Sprintf("size = %d", svc.Doc.Pool.Size)
	require.Contains(t, svc.Text, was)
	publish(t, r, service, strings.Replace(svc.Text, was, fmt.Sprintf("size = %d", size), 1))
}

func startWave(t testing.TB, r *forecast.Run, deadline time.Duration, pools ...string) {
	t.Helper()
	out := r.Append(record.Subject{Kind: record.SubjectWave, Name: "w"}, record.WaveStart{Pools: pools, Deadline: r.Now.Add(deadline)})
	require.Equal(t, ledger.Effective, out.Status, out.Reason)
}

// disturbed counts the drains of all VMs, moves those that changed pools.
func disturbed(r *forecast.Run) (drains, moves int) {
	for _, vm := range r.State.VMs {
		drains += vm.Drains
		moves += vm.Moves
	}
	return drains, moves
}

func free(r *forecast.Run) int {
	n := 0
	for _, vm := range r.State.VMs {
		if vm.Phase == record.PhaseFree {
			n++
		}
	}
	return n
}

package maintenance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/maintenance"
	"github.com/yuccadrift/yuccadrift/internal/pool"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// fleet builds a folded state record by record.
type fleet struct {
	state *ledger.State
	now   time.Time
}

func newFleet() *fleet {
	return &fleet{state: ledger.New(), now: time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)}
}

// apply folds a record decided on the present state.
func (f *fleet) apply(sub record.Subject, body record.Body) ledger.Outcome {
	offset := f.state.Offset + 1
	return f.state.Apply(offset, record.Record{
		ID:      fmt.Sprintf("f%d", offset),
		Subject: sub,
		Base:    f.state.Revision(sub),
		Seen:    f.state.Offset,
		Author:  "fleet",
		Time:    f.now,
		Body:    body,
	})
}

const fleetDocument = `
service = %q
team = "test"
weigh = "moves"
[pool]
size = %d
min_zones = 3
min_racks = 3
[budget]
window = "168h"
allowed = 0.02
max_unavailable = %d
[limits]
slots = 8
connections = 64
retry_share = 0.1
drain = "30s"
[[route]]
prefix = "/"
class = "quick"
repeatable = true
deadline = "1s"
`

func poolName(i int) string { return fmt.Sprintf("pool-%03d", i) }

// populate registers vms VMs in racks of four over six zones, for pools that
// leave a few of them free.
func (f *fleet) populate(vms, pools int) {
	size := vms * 99 / 100 / pools
	for p := range pools {
		text := fmt.Sprintf(fleetDocument, poolName(p), size, max(1, size/10))
		f.apply(record.Subject{Kind: record.SubjectService, Name: poolName(p)}, record.DocumentPublish{Text: text})
	}
	for v := range vms {
		zone := fmt.Sprintf("z%d", v%6)
		f.apply(subjectVM(fmt.Sprintf("vm-%05d", v)), record.VMRegister{
			Zone: zone, Rack: fmt.Sprintf("%s-r%d", zone, v/24), Address: "10.0.0.1:80", Cores: 32, MemoryMB: 1 << 16,
		})
	}
}

// join puts all but the last VMs into the pools.
func (f *fleet) join(vms, pools int) {
	size := vms * 99 / 100 / pools
	for v := range size * pools {
		id := fmt.Sprintf("vm-%05d", v)
		f.apply(subjectVM(id), record.VMJoin{Pool: poolName(v % pools)})
		f.apply(subjectVM(id), record.VMUp{})
	}
}

func (f *fleet) wave(pools int) {
	var names []string
	for p := range pools {
		names = append(names, poolName(p))
	}
	f.apply(record.Subject{Kind: record.SubjectWave, Name: "w"}, record.WaveStart{Pools: names, Deadline: f.now.Add(49 * 24 * time.Hour)})
}

// BenchmarkPlanningRound measures one round, the copy of the state included, at
// the size to design for and at a quarter and four times of it: with nothing to
// do, at the beginning of a wave over all pools, with a rack lost, and when no
// VM is in a pool yet.
func BenchmarkPlanningRound(b *testing.B) {
	for _, size := range []struct{ vms, pools int }{{1000, 24}, {4000, 94}, {16000, 376}} {
		cases := map[string]func(*fleet){
			"steady": func(f *fleet) { f.join(size.vms, size.pools) },
			"wave": func(f *fleet) {
				f.join(size.vms, size.pools)
				f.wave(size.pools)
			},
			"rack-lost": func(f *fleet) {
				f.join(size.vms, size.pools)
				for v := 0; v < 24; v += 6 {
					f.apply(subjectVM(fmt.Sprintf("vm-%05d", v)), record.VMDown{Cause: "lost"})
				}
				f.now = f.now.Add(time.Hour)
			},
			"empty": func(*fleet) {},
		}
		for _, name := range []string{"steady", "wave", "rack-lost", "empty"} {
			b.Run(fmt.Sprintf("vms=%d/pools=%d/%s", size.vms, size.pools, name), func(b *testing.B) {
				f := newFleet()
				f.populate(size.vms, size.pools)
				cases[name](f)
				b.ReportAllocs()
				proposals := 0
				for b.Loop() {
					proposals = len(maintenance.Plan(pool.NewView(f.state, f.now), pool.DefaultPolicy()))
				}
				b.ReportMetric(float64(proposals), "proposals")
			})
		}
	}
}

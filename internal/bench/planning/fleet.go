package planning

import (
	"fmt"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/invariant"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

const (
	zones   = 6
	perRack = 4
	// waveDeadline is the deadline of the wave. Each VM is maintained once in 7
	// weeks.
	waveDeadline = 49 * 24 * time.Hour
)

const documentFormat = `
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

func poolName(p int) string { return fmt.Sprintf("pool-%03d", p) }
func vmName(v int) string   { return fmt.Sprintf("vm-%05d", v) }

// fleet builds a folded state by applying records.
type fleet struct {
	state   *ledger.State
	now     time.Time
	pools   int
	perPool int
}

// newFleet returns a fleet of registered VMs in six zones, four to a rack. No VM
// is in a pool yet. The pools together ask for at most 99 % of the VMs.
func newFleet(vms, pools int) *fleet {
	f := &fleet{
		state: ledger.New(), now: time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC),
		pools: pools, perPool: vms * 99 / 100 / pools,
	}
	for p := range pools {
		text := fmt.Sprintf(documentFormat, poolName(p), f.perPool, max(1, f.perPool/10))
		f.apply(record.SubjectService, poolName(p), record.DocumentPublish{Text: text})
	}
	for v := range vms {
		zone := fmt.Sprintf("z%d", v%zones)
		f.apply(record.SubjectVM, vmName(v), record.VMRegister{
			Zone: zone, Rack: fmt.Sprintf("%s-r%d", zone, v/zones/perRack), Address: "10.0.0.1:80", Cores: 32, MemoryMB: 1 << 16,
		})
	}
	return f
}

// apply folds a record that is based on the current state and must be effective.
func (f *fleet) apply(kind record.SubjectKind, name string, body record.Body) {
	offset := f.state.Offset + 1
	sub := record.Subject{Kind: kind, Name: name}
	out := f.state.Apply(offset, record.Record{
		ID:      fmt.Sprintf("f%d", offset),
		Subject: sub,
		Base:    f.state.Revision(sub),
		Seen:    f.state.Offset,
		Author:  "fleet",
		Time:    f.now,
		Body:    body,
	})
	invariant.Check(out.Status == ledger.Effective, "record about %s in the benchmark fleet has no effect: %s", name, out.Reason)
}

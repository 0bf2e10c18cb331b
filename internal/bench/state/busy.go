package state

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/bench/fleet"
	"github.com/yuccadrift/yuccadrift/internal/invariant"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// historySize is the size of a fleet whose history is folded.
type historySize struct{ vms, pools, teams, jobs int }

// historySizes are a quarter of the design size, the design size and four times
// of it.
var historySizes = []historySize{
	{vms: 1000, pools: 24, teams: 160, jobs: 1000},
	{vms: 4000, pools: 94, teams: 640, jobs: 4000},
	{vms: 16000, pools: 376, teams: 2560, jobs: 16000},
}

func (s historySize) String() string {
	return fmt.Sprintf("%d / %d / %d / %d", s.vms, s.pools, s.teams, s.jobs)
}

func (s historySize) teamsPerPool() int { return max(1, s.teams/s.pools) }

// busyFleet is the folded state of a fleet and a generator of its further history.
type busyFleet struct {
	size  historySize
	state *ledger.State
	now   time.Time
	ids   int
	log   [][]byte // entries that extendLog has added
	rand  *rand.Rand
}

// newBusyFleet returns a fleet whose VMs are all in pools and up, and whose jobs
// are all queued.
func newBusyFleet(size historySize, seed uint64) *busyFleet {
	f := &busyFleet{size: size, state: ledger.New(), now: fleet.Epoch, rand: rand.New(rand.NewPCG(seed, 2))}
	perPool := size.vms / size.pools
	for p := range size.pools {
		f.mustApply(record.SubjectService, poolName(p), record.DocumentPublish{Text: f.document(p, perPool)})
	}
	for v := range size.vms {
		id := vmName(v)
		f.mustApply(record.SubjectVM, id, record.VMRegister{
			Zone: fmt.Sprintf("region-%d-zone-%d", v%3, v%6), Rack: fmt.Sprintf("rack-%04d", v/4),
			Address: fmt.Sprintf("10.%d.%d.%d:8080", v>>16, v>>8&255, v&255), Cores: 32, MemoryMB: 65536,
		})
		f.mustApply(record.SubjectVM, id, record.VMJoin{Pool: poolName(min(v/perPool, size.pools-1))})
		f.mustApply(record.SubjectVM, id, record.VMUp{})
	}
	for j := range size.jobs {
		p := j % size.pools
		f.mustApply(record.SubjectJob, jobName(j), record.JobSubmit{
			Service: poolName(p), Team: teamName(p, j%size.teamsPerPool()),
			MilliCores: 2000, MemoryMB: 2048, RunTime: time.Hour, Repeatable: true,
		})
	}
	return f
}

func poolName(p int) string    { return fmt.Sprintf("service-%03d", p) }
func teamName(p, n int) string { return fmt.Sprintf("team-%03d-%d", p, n) }
func vmName(v int) string      { return fmt.Sprintf("vm-%05d", v) }
func jobName(j int) string     { return fmt.Sprintf("job-%06d", j) }

func (f *busyFleet) document(p, n int) string {
	var text strings.Builder
	fmt.Fprintf(&text, `service = %q
team = "owner"
[pool]
size = %d
[budget]
window = "168h"
allowed = 0.5
max_unavailable = %d
one_domain = false
`, poolName(p), n, n-1)
	for q := range f.size.teamsPerPool() {
		fmt.Fprintf(&text, "[[quota]]\nteam = %q\ncores = 100000\nmemory_mb = 100000000\n", teamName(p, q))
	}
	return text.String()
}

func (f *busyFleet) draft(kind record.SubjectKind, name string, body record.Body) record.Record {
	f.ids++
	sub := record.Subject{Kind: kind, Name: name}
	return record.Record{
		ID: fmt.Sprintf("01JQZX%020d", f.ids), Subject: sub, Base: f.state.Revision(sub), Seen: f.state.Offset,
		Author: fmt.Sprintf("entry-%d", f.ids%8), Time: f.now, Body: body,
	}
}

func (f *busyFleet) mustApply(kind record.SubjectKind, name string, body record.Body) {
	out := f.state.Apply(f.state.Offset+1, f.draft(kind, name, body))
	invariant.Check(out.Status == ledger.Effective, "record about %s in the benchmark fleet has no effect: %s", name, out.Reason)
}

// extendLog adds and folds entries until there are n: failures and recoveries of
// VMs, drains with reboots, and placements and ends of jobs. Some of the entries
// are not effective.
func (f *busyFleet) extendLog(n int) {
	for len(f.log) < n {
		id := vmName(f.rand.IntN(f.size.vms))
		f.now = f.now.Add(3 * time.Second)
		if f.rand.IntN(2) == 0 {
			f.appendJobRecord()
			continue
		}
		f.appendRecord(f.draft(record.SubjectVM, id, f.nextVMRecord(f.state.VMs[id])))
	}
}

// nextVMRecord returns a record that the phase of the VM allows.
func (f *busyFleet) nextVMRecord(vm *ledger.VM) record.Body {
	switch {
	case vm.Down || vm.Phase == record.PhaseReturning:
		return record.VMUp{}
	case vm.Phase == record.PhaseDraining:
		return record.VMAdvance{To: record.PhaseDrained}
	case vm.Phase == record.PhaseDrained:
		return record.VMAdvance{To: record.PhaseRebooting}
	case vm.Phase == record.PhaseRebooting:
		return record.VMAdvance{To: record.PhaseReturning}
	case f.rand.IntN(3) == 0:
		return record.VMDown{Cause: downCause}
	}
	return record.VMDrain{Reason: record.DrainMaintenance, Estimate: 3 * time.Minute}
}

func (f *busyFleet) appendJobRecord() {
	name := jobName(f.rand.IntN(f.size.jobs))
	j := f.state.Jobs[name]
	if j == nil || j.Ended() {
		return
	}
	if j.Status == ledger.JobPlaced {
		f.appendRecord(f.draft(record.SubjectJob, name, record.JobEnd{Result: record.JobNotStarted}))
		return
	}
	if vms := slices.Sorted(maps.Keys(f.state.PoolVMs(j.Spec.Service))); len(vms) > 0 {
		f.appendRecord(f.draft(record.SubjectJob, name, record.JobPlace{Worker: vms[0], MilliCores: 100, MemoryMB: 100}))
	}
}

func (f *busyFleet) appendRecord(rec record.Record) {
	data, err := record.Encode(rec)
	invariant.Check(err == nil, "encode a record: %v", err)
	f.log = append(f.log, data)
	f.state.ApplyData(f.state.Offset+1, data)
}

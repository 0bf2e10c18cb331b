package jobs

import (
	"fmt"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/invariant"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

const (
	steadyLease = 30 * time.Second
	// runningJobs is the number of running jobs on each worker.
	runningJobs = 2
	// manySlots and manyCores exceed what the jobs need.
	manySlots = 8
	manyCores = 1 << 30
)

// runningFleet returns the state of a fleet in which each worker has runningJobs
// running jobs, and queued more jobs wait for each worker. It also returns the
// time of the state.
func runningFleet(workers, pools, queued int) (*ledger.State, time.Time) {
	st, now := ledger.New(), Begin
	for i := range pools {
		st.Services[poolName(i)] = &ledger.Service{Doc: document.Document{
			Service: poolName(i),
			Pool:    document.Pool{Size: workers / pools},
			Quotas:  []document.Quota{{Team: "a", MilliCores: manyCores, MemoryMB: manyCores}},
			Limits:  document.Limits{Slots: manySlots},
			Jobs:    document.Jobs{Lease: steadyLease},
		}}
	}
	apply := func(kind record.SubjectKind, name string, body record.Body) {
		offset := st.Offset + 1
		sub := record.Subject{Kind: kind, Name: name}
		outcome := st.Apply(offset, record.Record{
			ID: fmt.Sprint(offset), Subject: sub, Base: st.Revision(sub), Seen: st.Offset, Time: now, Body: body,
		})
		invariant.Check(outcome.Status == ledger.Effective, "record about %s in the benchmark fleet has no effect: %s", name, outcome.Reason)
	}
	for i := range workers {
		vm, pool := fmt.Sprintf("vm-%d", i), poolName(i%pools)
		apply(record.SubjectVM, vm, record.VMRegister{Zone: "a", Rack: "r", Address: "10.0.0.1:80", Cores: 32, MemoryMB: 65536})
		apply(record.SubjectVM, vm, record.VMJoin{Pool: pool})
		apply(record.SubjectVM, vm, record.VMUp{})
		for k := range runningJobs + queued {
			id := fmt.Sprintf("job-%d-%d", i, k)
			apply(record.SubjectJob, id, record.JobSubmit{Service: pool, Team: "a", MilliCores: 4000, MemoryMB: 4096, RunTime: time.Hour})
			if k < runningJobs {
				apply(record.SubjectJob, id, record.JobPlace{Worker: vm, MilliCores: 4000, MemoryMB: 4096})
			}
		}
	}
	return st, now
}

func poolName(i int) string { return fmt.Sprintf("pool-%d", i) }

package jobrunner_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/bench/jobs"
	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/jobrunner"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// BenchmarkStep measures one steward of eight in steady state: 94 pools, two
// running jobs on each worker with a lease of 30 s and a run time of an hour,
// a step every 200 ms of a virtual clock. It reports the share of a core and
// the calls to the platform for each second of that clock.
func BenchmarkStep(b *testing.B) {
	for _, workers := range []int{1000, 4000, 16000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			const tick = 200 * time.Millisecond
			st, now := steadyState(workers)
			steps, calls := 0, 0
			core := jobrunner.NewCore(jobrunner.CoreConfig{
				Node:  "node-0",
				NewID: func() string { steps++; return fmt.Sprint("id-", steps) },
				Rank:  rankOfEight,
			}, now)
			step := func() {
				now = now.Add(tick)
				for _, a := range core.Step(st, now, now) {
					calls++
					core.Done(answer(st, a), now)
				}
			}
			for range 600 { // two minutes, until every task is known
				step()
			}
			calls = 0
			n := 0
			for b.Loop() {
				step()
				n++
			}
			seconds := float64(n) * tick.Seconds()
			b.ReportMetric(100*b.Elapsed().Seconds()/seconds, "%-of-core")
			b.ReportMetric(float64(calls)/seconds, "calls/s")
		})
	}
}

// rankOfEight gives each of eight stewards an eighth of the pools.
func rankOfEight(pool string) int {
	n, err := strconv.Atoi(strings.TrimPrefix(pool, "pool-"))
	if err != nil {
		panic(err)
	}
	return n % 8
}

// answer is the reply of a platform on which every task runs.
func answer(st *ledger.State, a jobrunner.Action) jobrunner.Result {
	res := jobrunner.Result{Action: a}
	if a.Verb == jobrunner.VerbStatus {
		for _, j := range st.WorkerJobs(a.Worker) {
			res.Statuses = append(res.Statuses, platform.TaskStatus{ID: jobrunner.TaskID(j.ID, j.Attempt), Worker: a.Worker, Phase: platform.TaskRunning})
		}
	}
	return res
}

// steadyState folds a fleet with two running jobs on each worker.
func steadyState(workers int) (*ledger.State, time.Time) {
	const pools = 94
	st := ledger.New()
	for i := range pools {
		name := fmt.Sprintf("pool-%d", i)
		st.Services[name] = &ledger.Service{Doc: document.Document{
			Service: name,
			Quotas:  []document.Quota{{Team: "a", MilliCores: 1 << 30, MemoryMB: 1 << 30}},
			Jobs:    document.Jobs{Lease: 30 * time.Second},
		}}
	}
	offset, now := uint64(0), jobs.Begin
	apply := func(sub record.Subject, body record.Body) {
		offset++
		out := st.Apply(offset, record.Record{ID: fmt.Sprint(offset), Subject: sub, Base: st.Revision(sub), Seen: offset - 1, Time: now, Body: body})
		if out.Status != ledger.Effective {
			panic(out.Reason)
		}
	}
	for i := range workers {
		vm, pool := fmt.Sprintf("vm-%d", i), fmt.Sprintf("pool-%d", i%pools)
		apply(vmSubject(vm), record.VMRegister{Zone: "a", Rack: "r", Address: "10.0.0.1:80", Cores: 32, MemoryMB: 65536})
		apply(vmSubject(vm), record.VMJoin{Pool: pool})
		apply(vmSubject(vm), record.VMUp{})
		for k := range 2 {
			id := fmt.Sprintf("job-%d-%d", i, k)
			apply(jobSubject(id), record.JobSubmit{Service: pool, Team: "a", MilliCores: 4000, MemoryMB: 4096, RunTime: time.Hour})
			apply(jobSubject(id), record.JobPlace{Worker: vm, MilliCores: 4000, MemoryMB: 4096})
		}
	}
	return st, now
}

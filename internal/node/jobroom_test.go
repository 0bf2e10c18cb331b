package node

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// keptBytes returns the memory that an owner keeps of a job with a spec, in bytes. It decodes the job as it is read from
// the store.
func keptBytes(t *testing.T, spec workload.Spec, now time.Time) int {
	const jobs = 4
	key, value, err := workload.Record{Job: "00000000000000a1", Submission: &workload.Submission{Queue: "quick", Service: "service", Spec: spec}}.Encode()
	assert.NoError(t, err)
	core := scheduler.New(scheduler.Settings{Epoch: 1, LeaseDuration: time.Second}, now, nil, false)
	heap := func() int {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int(m.HeapAlloc)
	}
	before := heap()
	for i := range jobs {
		record, _, err := workload.DecodeRecord(key, value)
		assert.NoError(t, err)
		core.AddJob(workload.JobID(fmt.Sprintf("%016x", i)), record.Submission)
	}
	core.Step(now)
	core.HandleWriteResult()
	core.Step(now.Add(time.Second))
	core.ServiceLoads(now.Add(time.Second))
	kept := heap() - before
	runtime.KeepAlive(core)
	return kept / jobs
}

// Guards against a node whose memory ends because it accepts jobs, all at once, that cost more than it reckons.
func TestJobsCostNoMoreMemoryThanReckoned(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	steps := func(n, count int) []workload.Step {
		list := make([]workload.Step, n)
		for i := range list {
			list[i] = workload.Step{Count: count, Resources: workload.Resources{CPU: 1000, MemoryMB: 100}, EstimateMS: 500}
		}
		return list
	}
	repeated := func(first time.Duration, occurrences, n, count int) workload.Spec {
		return workload.Spec{Steps: steps(n, count), Repeat: occurrences, StartAtMS: now.Add(first).UnixMilli(), IntervalMS: 60_000}
	}
	for name, spec := range map[string]workload.Spec{
		"many steps":                      {Steps: steps(20_000, 1)},
		"many tasks in one step":          {Steps: steps(1, 100_000)},
		"many tasks in many steps":        {Steps: steps(201, 398)},
		"a schedule of tomorrow":          repeated(24*time.Hour, 10_000, 4, 1),
		"a schedule of the past":          repeated(-30*24*time.Hour, 10_000, 4, 1),
		"a schedule of many tasks":        repeated(-time.Hour, 100, 2, 500),
		"a schedule of many steps, later": repeated(time.Hour, 100, 1000, 1),
	} {
		t.Run(name, func(t *testing.T) {
			const perJob = 4 << 10 // beside its steps
			assert.Less(t, keptBytes(t, spec, now), jobBytes(&spec, now)+perJob)
		})
	}
}

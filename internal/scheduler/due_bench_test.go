package scheduler_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// BenchmarkDueOccurrences measures a step of the core and a look at the loads beside a schedule of three steps whose
// occurrences are all due, by their number. No worker is free.
func BenchmarkDueOccurrences(b *testing.B) {
	for _, due := range []int{86, 864, 8640} {
		b.Run(strconv.Itoa(due), func(b *testing.B) {
			r := newRig(b)
			spec := workload.Spec{Payload: "work", Steps: []workload.Step{batchStep(1, 9000), batchStep(1, 9000), batchStep(1, 9000)}}
			spec.Steps[1].DependsOn, spec.Steps[2].DependsOn = []int{0}, []int{1}
			spec.Repeat, spec.IntervalMS = due, 1
			spec.StartAtMS = historyStart.Add(-time.Hour).UnixMilli()
			r.core.AddJob("0000000000000001", &workload.Submission{Queue: "quick", Service: "service", Spec: spec})
			r.syncWorkers("w-1")
			for b.Loop() {
				r.step(400 * time.Millisecond)
				r.core.ServiceLoads(r.now)
			}
		})
	}
}

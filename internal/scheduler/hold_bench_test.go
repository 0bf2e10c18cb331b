package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// BenchmarkPlanBesideUnplaceableGangs measures a plan of a service of 100 workers with 16 runs each, beside long-running
// gangs that can't be placed.
func BenchmarkPlanBesideUnplaceableGangs(b *testing.B) {
	for _, gangs := range []int{0, 8, 64} {
		b.Run(fmt.Sprintf("%d_gangs", gangs), func(b *testing.B) {
			r := newRig(b)
			var workers []string
			for i := range 100 {
				workers = append(workers, fmt.Sprintf("w-%03d", i))
			}
			r.syncWorkers(workers...)
			long := batchStep(64, 500)
			long.EstimateMS = 3_600_000
			for n := range 25 {
				r.submit(fmt.Sprintf("00000000000001%02d", n), long)
				for range 3 {
					for _, s := range r.step(time.Millisecond).Starts {
						r.answerStart(s, workload.WorkerOK)
					}
				}
			}
			wide := longRunningStep(101, 6000)
			wide.Gang = true
			for n := range gangs {
				r.submit(fmt.Sprintf("00000000000002%02d", n), wide)
			}
			r.step(time.Millisecond)
			b.ResetTimer()
			for range b.N {
				r.step(100 * time.Millisecond)
			}
		})
	}
}

package scheduler_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// BenchmarkStepWithRacks measures a step of an owner of 100 workers with two runs each, without racks that are
// watched and with five. The racks are checked in each step, 25 ms apart.
func BenchmarkStepWithRacks(b *testing.B) {
	for name, racks := range map[string]int{"one rack": 1, "five racks": 5} {
		b.Run(name, func(b *testing.B) {
			r := newRig(b)
			var rackOf []int
			for i := range 100 {
				rackOf = append(rackOf, i%racks)
			}
			r.registerOnRacks(rackOf)
			running := map[string][]workload.ListedRun{} // by worker
			answerPolls := func() {
				for id := range r.latestPolls {
					delete(r.latestPolls, id)
					r.answerPoll(id, r.now, workload.PollReport{Running: running[id]})
				}
			}
			for i := range 25 {
				for _, s := range r.startJob("00000000000000"+strconv.Itoa(10+i), batchStep(8, 4000)) {
					running[s.Worker.ID] = append(running[s.Worker.ID], workload.ListedRun{Task: s.Start.Task, Run: s.Start.Run, SpeedPercent: 100})
				}
				answerPolls()
			}
			b.ResetTimer()
			for range b.N {
				r.step(25 * time.Millisecond)
				b.StopTimer()
				answerPolls()
				b.StartTimer()
			}
			if r.core.Counts.SuspectRacks > 0 {
				b.Fatal("a rack became suspect")
			}
		})
	}
}

package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Guards against a large task that waits forever behind a task that no worker can run: the first one holds no worker,
// and none was held for the second one.
func TestStepThatNoWorkerCanRunKeepsNoOtherFromHoldingOne(t *testing.T) {
	newStep := func(cpu int) *step {
		return &step{job: &job{}, spec: &workload.Step{Count: 1, Resources: workload.Resources{CPU: cpu}}, liveRunsByWorker: map[string]int{}}
	}
	heldWorkers := func(p *placementPool) (n int) {
		for _, w := range p.workers {
			if w.isHeld() {
				n++
			}
		}
		return n
	}
	now := time.UnixMilli(1)
	p := &placementPool{wideHold: &wideHold{}}
	for range 2 {
		p.workers = append(p.workers, &worker{info: workload.Worker{Capacity: workload.Resources{CPU: 8000, MemoryMB: 16000}}})
	}
	assert.False(t, p.holdWorkersFor(newStep(9000), now))
	assert.Zero(t, heldWorkers(p))
	assert.Zero(t, p.heldCount())
	assert.True(t, p.holdWorkersFor(newStep(8000), now))
	assert.Equal(t, 1, heldWorkers(p))
	assert.Equal(t, 1, p.heldCount())
}

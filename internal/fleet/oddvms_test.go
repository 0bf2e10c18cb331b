package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/fleet"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Guards against a wave that is reported as completed, or exceeds its limit, because the list lacks a VM whose entry
// can't be used.
func TestVMsThatTheListLacksBelongToTheirWave(t *testing.T) {
	wave := workload.Wave{Number: 1, VMs: []string{"vm-1", "vm-2", "vm-3"}, Window: time.Second, MaxConcurrent: 2}
	list := []workload.VM{upVM("vm-1", "booking", "w-1"), upVM("vm-2", "booking", "w-2")}
	for lacksVMs, drains := range map[bool]int{true: 1, false: 2} {
		c := newCore()
		c.SetWaves([]workload.Wave{wave}, startTime)
		c.SetVMs(list, startTime)
		c.SetListLacksVMs(lacksVMs)
		actions := c.Step(startTime.Add(100 * time.Millisecond))
		assert.Len(t, actionsWithVerb(actions, fleet.DrainWorker), drains, "lacks VMs: %v", lacksVMs)
	}
	c := newCore()
	c.SetWaves([]workload.Wave{wave}, startTime)
	c.RestoreWave(1, []string{"vm-1", "vm-2"}, startTime, startTime)
	c.SetVMs(list, startTime.Add(time.Second))
	c.SetListLacksVMs(true)
	assert.NotEqual(t, workload.WaveCompleted, storedState(c.Step(startTime.Add(2*time.Second))))
	c.SetVMs(list, startTime.Add(3*time.Second))
	c.SetListLacksVMs(false)
	assert.Equal(t, workload.WaveCompleted, storedState(c.Step(startTime.Add(4*time.Second))))
}

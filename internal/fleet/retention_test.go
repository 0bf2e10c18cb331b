package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// peak lets a pool need n VMs for a while, of which it has its share.
func (f *fakeFleet) peak(pool int, n int, duration time.Duration) (missing int) {
	for end := f.now.Add(duration); f.now.Before(end); {
		size := f.poolSize(f.loads[pool].Service)
		missing = max(missing, n-size)
		f.loads[pool].Reserved = workload.Resources{CPU: min(n, size) * vmSize.CPU}
		f.loads[pool].PendingDemand = workload.Resources{CPU: max(0, n-size) * vmSize.CPU / 10}
		f.runWithKnownWorkers(fakeStep)
	}
	f.loads[pool].Reserved, f.loads[pool].PendingDemand = workload.Resources{}, workload.Resources{}
	return missing
}

// runWithKnownWorkers runs the fleet while the owners know the workers that are up.
func (f *fakeFleet) runWithKnownWorkers(duration time.Duration) {
	for end := f.now.Add(duration); f.now.Before(end); {
		for i := range f.loads {
			f.loads[i].Workers = f.usableWorkers(f.loads[i].Service)
		}
		f.run(fakeStep)
	}
}

// Peaks that come back after a gap, in a fleet that holds all of them: guards against VMs that are returned in each
// gap and missing at the begin of each next peak, and against pools that keep what they have never needed.
func TestPeaksThatComeBackFindTheirVMs(t *testing.T) {
	f := newFakeFleet(2000, 300, "booking", "returns")
	f.peak(0, 120, 4*time.Second)
	f.runWithKnownWorkers(12 * time.Second)
	assert.Zero(t, f.peak(0, 120, 4*time.Second), "VMs missing at the second peak")
	f.runWithKnownWorkers(30 * time.Second)
	assert.Less(t, f.poolSize("booking"), 200, "VMs that were never needed")
	f.runWithKnownWorkers(20 * time.Second)
	assert.LessOrEqual(t, f.poolSize("booking"), 10, "VMs long after the last peak")
}

// The first peak of a pool comes seconds after the fleet's owner has begun. Guards against pools that are emptied
// before anybody knows what they need.
func TestAFirstPeakFindsVMs(t *testing.T) {
	for _, after := range []time.Duration{5 * time.Second, 15 * time.Second} {
		f := newFakeFleet(2000, 300, "booking", "returns")
		f.runWithKnownWorkers(after)
		assert.Zero(t, f.peak(0, 300, 2*time.Second), "VMs missing at a first peak after %s", after)
	}
}

// A few large jobs come at once to a pool of an ample fleet, which holds more VMs than they need. Guards against moves
// for a rise that is forecast from a handful of jobs.
func TestAFewLargeJobsMoveNoVMsToAPoolThatHoldsEnough(t *testing.T) {
	f := newFakeFleet(2000, 300, "booking", "returns")
	f.runWithKnownWorkers(10 * time.Second)
	size, before := f.poolSize("booking"), f.orderedToPool["booking"]
	for i := range 12 {
		f.loads[0].ArrivedWork.Jobs += int64(i % 4)
		f.loads[0].ArrivedWork.CoreMS += int64(i%4) * 20 * int64(vmSize.CPU)
		f.runWithKnownWorkers(2 * fakeStep)
	}
	assert.Greater(t, size, 300)
	assert.Zero(t, f.orderedToPool["booking"]-before)
}

// Peaks by turns, each of more VMs than a pool holds, in a fleet that can't hold them all: guards against VMs that
// are kept although the next peak, elsewhere, takes them.
func TestAScarceFleetKeepsNoVMsForLater(t *testing.T) {
	f := newFakeFleet(48, 300, "booking", "fitting", "returns", "dispatch")
	for pool := range 4 {
		f.peak(pool, 24, 4*time.Second)
	}
	f.runWithKnownWorkers(8 * time.Second)
	inPools := 0
	for _, l := range f.loads {
		inPools += f.poolSize(l.Service)
	}
	assert.LessOrEqual(t, inPools, 12, "VMs in pools without demand")
}

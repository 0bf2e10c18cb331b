package slowdown

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const usual = 20 * time.Microsecond

// addAll adds n samples and returns the numbers, from 0, of those after which the state changed.
func addAll(d *Detector, n int, sample func(i int) time.Duration) (changes []int) {
	for i := range n {
		if d.Add(sample(i)) {
			changes = append(changes, i)
		}
	}
	return changes
}

func steady(d time.Duration) func(int) time.Duration { return func(int) time.Duration { return d } }

// Guards against an owner that stays on a VM with a fifth of its processor time during a peak.
func TestASlowedVMIsDetectedWithinHalfASecond(t *testing.T) {
	var d Detector
	assert.Empty(t, addAll(&d, 100, steady(usual)))
	assert.Equal(t, []int{enterSamples - 1}, addAll(&d, 50, steady(5*usual)))
	assert.InDelta(t, 5, d.Factor(), 0.01)
	assert.Less(t, enterSamples*SampleInterval, 500*time.Millisecond)
}

// Guards against partitions that are reassigned because of pauses of a process, such as garbage collections.
func TestShortPausesAreNoSlowdown(t *testing.T) {
	var d Detector
	assert.Empty(t, addAll(&d, 10_000, func(i int) time.Duration {
		if i%enterSamples != 0 {
			return 50 * usual
		}
		return usual
	}))
	assert.EqualValues(t, 1, d.Factor())
}

// Guards against a VM that owns again, and hands over again, each time its speed varies.
func TestAVMOfVaryingSpeedStaysSlowed(t *testing.T) {
	var d Detector
	addAll(&d, 100, steady(usual))
	addAll(&d, enterSamples, steady(4*usual))
	assert.Empty(t, addAll(&d, 1000, func(i int) time.Duration {
		if i%(leaveSamples-1) == 0 {
			return 2 * usual
		}
		return usual
	}))
	assert.Len(t, addAll(&d, leaveSamples, steady(usual)), 1)
}

// Guards against a long slowdown that becomes the usual speed.
func TestALongSlowdownStaysDetected(t *testing.T) {
	var d Detector
	addAll(&d, 100, steady(usual))
	assert.Len(t, addAll(&d, 3*usualWindow, steady(4*usual)), 1)
}

// Guards against a process that starts on a slowed VM and takes the end of the slowdown for nothing new.
func TestTheEndOfASlowdownAtTheStartSetsTheUsualSpeed(t *testing.T) {
	var d Detector
	addAll(&d, 50, steady(5*usual))
	addAll(&d, 10, steady(usual))
	assert.Len(t, addAll(&d, 10, steady(5*usual)), 1)
}

// Guards against a slowdown that is seen because the clock stood still during a few samples.
func TestSamplesOfNoDurationAreNotTheUsualSpeed(t *testing.T) {
	var d Detector
	assert.Empty(t, addAll(&d, 10_000, func(i int) time.Duration {
		if i%30 == 0 {
			return 0
		}
		return usual
	}))
}

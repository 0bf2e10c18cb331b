package prospect

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var (
	onTime = Rank{Class: 2}
	beyond = Rank{Class: 4}
)

func TestWaitFollowsRankAndWeight(t *testing.T) {
	s := &Service{Cores: 100}
	assert.Zero(t, s.Wait(onTime, "a", 1))
	s.Add(onTime, "a", 1, 300, 300)
	s.Add(onTime, "b", 3, 1000, 1000)
	s.Add(beyond, "a", 1, 500, 500)
	s.Prepare()
	assert.Equal(t, 12*time.Second, s.Wait(onTime, "a", 1), "300 of its own, thrice as much of the other meanwhile")
	assert.Equal(t, 13*time.Second, s.Wait(onTime, "b", 3), "1,000 of its own, all of the other's")
	assert.Zero(t, s.Wait(onTime, "c", 1), "the first job of a workspace that has had nothing")
	assert.Equal(t, 13*time.Second, s.Wait(beyond, "c", 1), "behind all that is within weight")
	assert.Equal(t, 18*time.Second, s.Wait(beyond, "a", 1))
	assert.Equal(t, 13*time.Second, s.Wait(onTime, "", 0), "without a weight behind all of the rank")
	assert.Zero(t, s.Wait(Rank{Class: 2, Priority: -1}, "a", 1), "before all")
	assert.Equal(t, 18*time.Second, s.LongestWait())
	assert.False(t, s.HasRoom())
	s.Free = 600
	assert.Equal(t, 6*time.Second, s.Wait(onTime, "a", 1), "tasks of a second on the free cores start at once")
	s.Free = 3000
	assert.Zero(t, s.Wait(onTime, "a", 1), "free cores take all")
	assert.True(t, s.HasRoom())
	s.Cores, s.Free = 0, 0
	assert.Equal(t, time.Hour, s.Wait(onTime, "a", 1), "no capacity, no prospect")
	s.Reset()
	s.Prepare()
	assert.Zero(t, s.Wait(onTime, "a", 1))
}

// Predictions that are wrong by a factor of 3 either way, or spread as callers' estimates are, are learnt.
func TestCalibrationLearnsTheError(t *testing.T) {
	for _, factor := range []float64{1.0 / 3, 1, 3} {
		var c Calibration
		assert.Equal(t, []float64{MaxLow, priorMedian}, []float64{c.Low(), c.Median()})
		for range 50 {
			c.RecordStart(3*time.Second, time.Duration(3*factor*float64(time.Second)))
		}
		assert.InEpsilon(t, factor, c.Median(), 0.1)
		assert.InEpsilon(t, min(MaxLow, factor), c.Low(), 0.1)
	}
	var c Calibration
	rng := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		c.RecordStart(2*time.Second, time.Duration(2*math.Exp(rng.NormFloat64()*0.9)*float64(time.Second)))
		c.RecordStart(time.Millisecond, time.Hour) // too short to be measured
	}
	assert.InDelta(t, 1, c.Median(), 0.25)
	assert.InDelta(t, math.Exp(-0.9*1.64), c.Low(), 0.1)
	assert.Equal(t, calibrationMemory, c.Count())
	for range 4 * calibrationMemory {
		c.RecordExpiry(2 * time.Second)
	}
	assert.Equal(t, MaxLow, c.Low())
	assert.Greater(t, c.Median(), 15.0, "jobs that never start have no end of their wait")
}

func BenchmarkUpdate640Workspaces(b *testing.B) {
	names := make([]string, 640)
	for i := range names {
		names[i] = "workspace-" + strconv.Itoa(i)
	}
	s := &Service{}
	for b.Loop() {
		s.Reset()
		s.Cores = 4000
		for _, name := range names {
			s.Add(onTime, name, 1, 100, 50)
		}
		s.Prepare()
	}
}

func BenchmarkWaitBeside640Workspaces(b *testing.B) {
	s := &Service{Cores: 4000}
	for i := range 640 {
		s.Add(onTime, "workspace-"+strconv.Itoa(i), 1, 100, 50)
	}
	s.Prepare()
	for b.Loop() {
		s.Wait(onTime, "workspace-7", 1)
	}
}

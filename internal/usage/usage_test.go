package usage_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/usage"
)

func shape() usage.Shape {
	return usage.Shape{Service: "export", Team: "t", MilliCores: 4000, MemoryMB: 8000, Accelerators: 1}
}

func TestDeclaredSizeIsUsedWithoutSamples(t *testing.T) {
	e := usage.NewEstimator()
	assert.Equal(t, ledger.Resources{MilliCores: 4000, MemoryMB: 8000, Accelerators: 1}, e.Size(shape()))
	assert.Equal(t, time.Hour, e.RunTime(shape(), time.Hour))
	e.ObserveSucceeded(shape(), usage.Sample{})
	assert.Equal(t, ledger.Resources{MilliCores: 4000, MemoryMB: 8000, Accelerators: 1}, e.Size(shape()), "a job without usage reports must not change the estimate")
}

func TestPeakWithinTheDeclaredSizeConfirmsIt(t *testing.T) {
	e := usage.NewEstimator()
	for range 10 {
		e.ObserveSucceeded(shape(), usage.Sample{MilliCores: 4000, MemoryMB: 7900})
	}
	assert.Equal(t, ledger.Resources{MilliCores: 4000, MemoryMB: 8000, Accelerators: 1}, e.Size(shape()))
}

func TestEstimateRisesAtOnceAndFallsSlowly(t *testing.T) {
	e := usage.NewEstimator()
	e.ObserveRunning(shape(), usage.Sample{MilliCores: 9000, MemoryMB: 1000})
	assert.Equal(t, 9900, e.Size(shape()).MilliCores, "one report of a running job must raise the estimate")
	assert.Equal(t, 8000, e.Size(shape()).MemoryMB, "a running job may use more later and must not lower the estimate")

	previous := e.Size(shape()).MilliCores
	for i := range 40 {
		e.ObserveSucceeded(shape(), usage.Sample{MilliCores: 1000, MemoryMB: 1000, Ran: 10 * time.Minute, Declared: time.Hour})
		size := e.Size(shape()).MilliCores
		assert.LessOrEqual(t, size, previous)
		assert.GreaterOrEqual(t, size, previous-(previous-1100)/4-1, "job %d lowered the estimate by more than a quarter", i)
		previous = size
	}
	assert.InDelta(t, 1100, previous, 5)
	assert.InDelta(t, 1100, e.Size(shape()).MemoryMB, 5)
	assert.InDelta(t, 20*time.Minute, e.RunTime(shape(), 2*time.Hour), float64(time.Second))
}

func TestLeastRecentlyUsedShapeIsEvicted(t *testing.T) {
	e := usage.NewEstimator()
	e.ObserveRunning(shape(), usage.Sample{MilliCores: 8000})
	for i := range 20_000 {
		s := shape()
		s.Team = fmt.Sprint(i)
		e.ObserveRunning(s, usage.Sample{MilliCores: 1})
	}
	assert.Equal(t, 4000, e.Size(shape()).MilliCores)
}

// Package usage corrects the declared size and run time of jobs by what earlier
// jobs of the same shape were seen to use. It is pure.
//
// Reports come late and declared values are often far from the truth: too small
// ones overload a worker, too large ones leave it idle. An estimate follows an
// excess at once and sinks slowly, because too small a reservation harms the
// neighbours on the worker and too large a one only wastes room.
package usage

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Parameters of the estimates.
const (
	// margin is reserved beyond the highest use seen.
	margin = 0.10
	// lowerStep is the part of the way that one ended job lowers an estimate.
	lowerStep = 0.25
	// minEnded is how many jobs of a shape must have ended before its estimate
	// sinks below the declared size.
	minEnded = 3
	// runTimeStep weighs the latest run time against the earlier ones.
	runTimeStep = 0.3
	// maxShapes bounds the memory; beyond it the shape unused for longest goes.
	maxShapes = 20_000
)

// Shape names jobs that are expected to use alike: those of one team in one
// pool that declare the same size. Their run times may differ, as one program
// takes inputs of all lengths.
type Shape struct {
	Service      string
	Team         string
	MilliCores   int
	MemoryMB     int
	Accelerators int
}

// ShapeOf returns the shape of a job.
func ShapeOf(spec record.JobSubmit) Shape {
	return Shape{
		Service:      spec.Service,
		Team:         spec.Team,
		MilliCores:   spec.MilliCores,
		MemoryMB:     spec.MemoryMB,
		Accelerators: spec.Accelerators,
	}
}

// Sample is what one job used: the peaks that reports showed, 0 when none came,
// and how long it ran of the run time that it declared, 0 when not known.
type Sample struct {
	MilliCores int
	MemoryMB   int
	Ran        time.Duration
	Declared   time.Duration
}

// Estimator holds the estimates. It is not safe for concurrent use.
type Estimator struct {
	shapes map[Shape]*estimate
	clock  uint64 // counts uses, for forgetting
}

type estimate struct {
	milliCores quantity
	memoryMB   quantity
	runTime    float64 // real run time by declared; 0: none seen
	used       uint64
}

// quantity is the estimate of one resource.
type quantity struct {
	declared float64
	value    float64
	ended    int
}

// NewEstimator returns an Estimator that knows nothing.
func NewEstimator() *Estimator { return &Estimator{shapes: map[Shape]*estimate{}} }

// Running takes a report on a job that still runs. It only raises: the job may
// use more later.
func (e *Estimator) Running(shape Shape, s Sample) {
	est := e.of(shape)
	est.milliCores.raise(s.MilliCores)
	est.memoryMB.raise(s.MemoryMB)
}

// Ended takes the peaks of a job that succeeded.
func (e *Estimator) Ended(shape Shape, s Sample) {
	est := e.of(shape)
	est.milliCores.end(s.MilliCores)
	est.memoryMB.end(s.MemoryMB)
	if s.Ran <= 0 || s.Declared <= 0 {
		return
	}
	ratio := float64(s.Ran) / float64(s.Declared)
	if est.runTime == 0 {
		est.runTime = ratio
		return
	}
	est.runTime += runTimeStep * (ratio - est.runTime)
}

func newQuantity(declared int) quantity {
	return quantity{declared: float64(declared), value: float64(declared)}
}

// target is what one job's peak asks to reserve. A peak within the declared size
// confirms it: a margin on top would take room for nothing.
func (q *quantity) target(seen int) float64 {
	t := float64(seen) * (1 + margin)
	if float64(seen) <= q.declared {
		return min(t, q.declared)
	}
	return t
}

func (q *quantity) raise(seen int) {
	q.value = max(q.value, q.target(seen))
}

func (q *quantity) end(seen int) {
	if seen <= 0 {
		return
	}
	q.ended++
	target := q.target(seen)
	if target >= q.value {
		q.value = target
		return
	}
	if q.ended >= minEnded {
		q.value -= lowerStep * (q.value - target)
	}
}

// Size returns what to reserve for a job of the shape.
func (e *Estimator) Size(shape Shape) ledger.Resources {
	r := ledger.Resources{MilliCores: shape.MilliCores, MemoryMB: shape.MemoryMB, Accelerators: shape.Accelerators}
	est, ok := e.shapes[shape]
	if !ok {
		return r
	}
	r.MilliCores = max(1, int(est.milliCores.value))
	r.MemoryMB = max(min(1, shape.MemoryMB), int(est.memoryMB.value))
	return r
}

// RunTime returns how long a job of the shape is expected to run.
func (e *Estimator) RunTime(shape Shape, declared time.Duration) time.Duration {
	if est, ok := e.shapes[shape]; ok && est.runTime > 0 {
		return time.Duration(est.runTime * float64(declared))
	}
	return declared
}

func (e *Estimator) of(shape Shape) *estimate {
	e.clock++
	est, ok := e.shapes[shape]
	if !ok {
		e.makeRoom()
		est = &estimate{
			milliCores: newQuantity(shape.MilliCores),
			memoryMB:   newQuantity(shape.MemoryMB),
		}
		e.shapes[shape] = est
	}
	est.used = e.clock
	return est
}

func (e *Estimator) makeRoom() {
	if len(e.shapes) < maxShapes {
		return
	}
	var oldest Shape
	first := uint64(0)
	for shape, est := range e.shapes {
		if first == 0 || est.used < first {
			oldest, first = shape, est.used
		}
	}
	delete(e.shapes, oldest)
}

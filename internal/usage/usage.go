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
	// runTimeWeight weighs the latest run time against the earlier ones.
	runTimeWeight = 0.3
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
	shapes   map[Shape]*estimate
	useCount uint64 // counts uses, for forgetting
}

type estimate struct {
	milliCores   quantity
	memoryMB     quantity
	runTimeRatio float64 // real run time by declared; 0: none seen
	lastUsed     uint64
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
	est := e.estimateFor(shape)
	est.milliCores.raise(s.MilliCores)
	est.memoryMB.raise(s.MemoryMB)
}

// Ended takes the peaks of a job that succeeded.
func (e *Estimator) Ended(shape Shape, s Sample) {
	est := e.estimateFor(shape)
	est.milliCores.end(s.MilliCores)
	est.memoryMB.end(s.MemoryMB)
	if s.Ran <= 0 || s.Declared <= 0 {
		return
	}
	ratio := float64(s.Ran) / float64(s.Declared)
	if est.runTimeRatio == 0 {
		est.runTimeRatio = ratio
		return
	}
	est.runTimeRatio += runTimeWeight * (ratio - est.runTimeRatio)
}

func newQuantity(declared int) quantity {
	return quantity{declared: float64(declared), value: float64(declared)}
}

// reservation is what one job's peak asks to reserve. A peak within the declared size
// confirms it: a margin on top would take room for nothing.
func (q *quantity) reservation(peak int) float64 {
	t := float64(peak) * (1 + margin)
	if float64(peak) <= q.declared {
		return min(t, q.declared)
	}
	return t
}

func (q *quantity) raise(peak int) {
	q.value = max(q.value, q.reservation(peak))
}

func (q *quantity) end(peak int) {
	if peak <= 0 {
		return
	}
	q.ended++
	target := q.reservation(peak)
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
	if est, ok := e.shapes[shape]; ok && est.runTimeRatio > 0 {
		return time.Duration(est.runTimeRatio * float64(declared))
	}
	return declared
}

func (e *Estimator) estimateFor(shape Shape) *estimate {
	e.useCount++
	est, ok := e.shapes[shape]
	if !ok {
		e.evictOldest()
		est = &estimate{
			milliCores: newQuantity(shape.MilliCores),
			memoryMB:   newQuantity(shape.MemoryMB),
		}
		e.shapes[shape] = est
	}
	est.lastUsed = e.useCount
	return est
}

func (e *Estimator) evictOldest() {
	if len(e.shapes) < maxShapes {
		return
	}
	var oldest Shape
	first := uint64(0)
	for shape, est := range e.shapes {
		if first == 0 || est.lastUsed < first {
			oldest, first = shape, est.lastUsed
		}
	}
	delete(e.shapes, oldest)
}

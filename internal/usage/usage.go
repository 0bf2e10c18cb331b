// Package usage estimates the size and run time of jobs from their declared values
// and from the measured use of earlier jobs of the same shape. It has no side
// effects outside of an Estimator.
//
// Usage reports arrive with a delay, and declared values are often far off: values
// that are too small overload a worker, values that are too large leave it idle. An
// estimate rises to a higher use at once and falls slowly, because a reservation
// that is too small harms the other jobs on the worker, while one that is too large
// only wastes capacity.
package usage

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Parameters of the estimates.
const (
	// margin is the share reserved on top of a peak above the declared size.
	margin = 0.10
	// lowerStep is the fraction of the difference to its reservation by which an
	// ended job lowers an estimate.
	lowerStep = 0.25
	// minEnded is how many jobs of a shape with a reported peak must have ended
	// before its estimate may fall.
	minEnded = 3
	// runTimeWeight is the weight of the latest run time in the moving average.
	runTimeWeight = 0.3
	// maxShapes limits memory; beyond it the least recently used shape is evicted.
	maxShapes = 20_000
)

// Shape identifies jobs that are expected to use similar resources: jobs of one
// team in one pool that declare the same size. Their run times may differ, because
// a program may process inputs of any length.
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

// Sample is the measured use of one job: the peaks of its usage reports, 0 if there
// were none, and its actual and declared run time, 0 if unknown.
type Sample struct {
	MilliCores int
	MemoryMB   int
	Ran        time.Duration
	Declared   time.Duration
}

// Estimator holds the estimates by shape. It is not safe for concurrent use.
type Estimator struct {
	shapes   map[Shape]*estimate
	useCount uint64 // logical time of the least recently used order
}

type estimate struct {
	milliCores   quantity
	memoryMB     quantity
	runTimeRatio float64 // average of actual to declared run time; 0 if unknown
	lastUsed     uint64
}

// quantity is the estimate for one resource.
type quantity struct {
	declared float64
	value    float64
	ended    int
}

// NewEstimator returns an Estimator without samples.
func NewEstimator() *Estimator { return &Estimator{shapes: map[Shape]*estimate{}} }

// ObserveRunning records a usage report of a running job. It only raises the estimates,
// because the job may use more later.
func (e *Estimator) ObserveRunning(shape Shape, s Sample) {
	est := e.estimateFor(shape)
	est.milliCores.raise(s.MilliCores)
	est.memoryMB.raise(s.MemoryMB)
}

// ObserveSucceeded records the peaks and the run time of a job that succeeded.
func (e *Estimator) ObserveSucceeded(shape Shape, s Sample) {
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

// reservation returns what to reserve for a job with the given peak: the peak plus
// margin, but not more than the declared size if the peak is within it.
func (q *quantity) reservation(peak int) float64 {
	t := float64(peak) * (1 + margin)
	if float64(peak) <= q.declared {
		return min(t, q.declared)
	}
	return t
}

// raise increases the estimate to the reservation for the peak.
func (q *quantity) raise(peak int) {
	q.value = max(q.value, q.reservation(peak))
}

// end updates the estimate with the peak of an ended job; 0 means no report.
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

// Size returns the resources to reserve for a job of the shape.
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

// RunTime returns the expected run time of a job of the shape.
func (e *Estimator) RunTime(shape Shape, declared time.Duration) time.Duration {
	if est, ok := e.shapes[shape]; ok && est.runTimeRatio > 0 {
		return time.Duration(est.runTimeRatio * float64(declared))
	}
	return declared
}

// estimateFor returns the estimate of the shape, which it creates if needed, and
// marks it as used.
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

// evictOldest removes the least recently used shape if there are maxShapes.
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

// Package slowdown detects from the durations of a fixed computation that a VM computes much more
// slowly than usual, for example because other VMs use its host's processor.
package slowdown

import (
	"slices"
	"time"
)

const (
	// SampleInterval is the pause between two samples.
	SampleInterval = 100 * time.Millisecond
	// enterSamples is how many samples in a row must be slow before the VM counts as slowed. A
	// garbage collection or a busy process delays fewer.
	enterSamples = 4
	// enterFactor is the factor by which each of them must exceed the usual duration. The VM then
	// has a third of its usual processor time, so that half of its usual load overloads it.
	enterFactor = 3.0
	// leaveSamples and leaveFactor are the same for the end of a slowdown. Hysteresis keeps the
	// partitions of a VM whose speed varies from being reassigned again and again.
	leaveSamples = 30
	leaveFactor  = 1.5
	// usualWindow is the number of samples, of a minute, from which the usual duration is taken: that
	// which the fastest tenth doesn't exceed. Single samples may be far too short, as a clock may stand
	// still, and a process that starts on a slowed VM has mostly slow ones.
	usualWindow        = int(time.Minute / SampleInterval)
	usualQuantileShare = 10
	// minUsualSamples is how many samples the usual duration needs.
	minUsualSamples = 20
)

// Detector holds the latest samples of one VM. It is not safe for concurrent use.
type Detector struct {
	samples  []time.Duration // the latest usualWindow outside of slowdowns
	run      []time.Duration // the latest enterSamples or leaveSamples
	isSlowed bool
	factor   float64
}

// Add adds the duration of one computation. It reports whether that began or ended a slowdown.
func (d *Detector) Add(sample time.Duration) (changed bool) {
	if !d.isSlowed {
		d.samples = appendBounded(d.samples, sample, usualWindow)
	}
	usual := d.usual()
	needed := enterSamples
	if d.isSlowed {
		needed = leaveSamples
	}
	d.run = appendBounded(d.run, sample, needed)
	if len(d.run) < needed || len(d.samples) < minUsualSamples {
		return false
	}
	wasSlowed := d.isSlowed
	switch fastest, slowest := slices.Min(d.run), slices.Max(d.run); {
	case !d.isSlowed && ratio(fastest, usual) >= enterFactor:
		d.isSlowed = true
		d.factor = ratio(fastest, usual)
	case d.isSlowed && ratio(slowest, usual) <= leaveFactor:
		d.isSlowed = false
	}
	if d.isSlowed == wasSlowed {
		return false
	}
	d.run = d.run[:0]
	return true
}

// usual returns the usual duration.
func (d *Detector) usual() time.Duration {
	sorted := slices.Sorted(slices.Values(d.samples))
	return sorted[len(sorted)/usualQuantileShare]
}

// Factor returns how many times slower than usual the VM was when the slowdown began, 1 if there is none.
func (d *Detector) Factor() float64 {
	if !d.isSlowed {
		return 1
	}
	return d.factor
}

func ratio(a, b time.Duration) float64 { return float64(a) / float64(max(1, b)) }

// appendBounded appends a sample and drops the oldest ones beyond n.
func appendBounded(list []time.Duration, sample time.Duration, n int) []time.Duration {
	list = append(list, sample)
	return slices.Delete(list, 0, max(0, len(list)-n))
}

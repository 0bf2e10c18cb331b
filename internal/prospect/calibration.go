package prospect

import (
	"math"
	"time"
)

// Calibration measures how far predicted waits are off: the ratio of the real to the predicted wait of the
// recent jobs, as a histogram with bins of equal ratio. The zero value has no measurements.
type Calibration struct {
	bins  [calibrationBins]float64
	count float64
}

const (
	// calibrationBins cover ratios from 1/16 to 16, four bins for each factor of two.
	calibrationBins = 33
	binsPerDoubling = 4
	// calibrationMemory is the number of jobs over which ratios are averaged.
	calibrationMemory = 100
	// minMeasurements is the number of jobs from which the measured ratios are used.
	minMeasurements = 30
	// minPredictedWait is the shortest prediction that is measured. Shorter waits depend on single runs.
	minPredictedWait = 300 * time.Millisecond
	// priorMedian applies before.
	priorMedian = 1.0
)

// RecordStart records a job that has started.
func (c *Calibration) RecordStart(predicted, waited time.Duration) {
	if predicted < minPredictedWait {
		return
	}
	position := math.Log2(max(waited, time.Millisecond).Seconds()/predicted.Seconds())*binsPerDoubling + calibrationBins/2
	c.record(int(math.Round(min(max(position, 0), calibrationBins-1))))
}

// RecordExpiry records a job that can't be of use any more and has not started.
func (c *Calibration) RecordExpiry(predicted time.Duration) {
	if predicted >= minPredictedWait {
		c.record(calibrationBins - 1)
	}
}

func (c *Calibration) record(bin int) {
	if c.count >= calibrationMemory {
		for i := range c.bins {
			c.bins[i] *= 1 - 1.0/calibrationMemory
		}
		c.count *= 1 - 1.0/calibrationMemory
	}
	c.bins[bin]++
	c.count++
}

// Quantile returns the ratio of the real to the predicted wait that a part q of the jobs stay under.
func (c *Calibration) Quantile(q float64) float64 {
	sum := 0.0
	for i, n := range c.bins {
		sum += n
		if n > 0 && sum >= q*c.count {
			return math.Exp2((float64(i) - calibrationBins/2) / binsPerDoubling)
		}
	}
	return 1
}

// Low returns the ratio that nineteen of twenty jobs exceed, at most MaxLow.
func (c *Calibration) Low() float64 {
	if !c.IsMeasured() {
		return MaxLow
	}
	return min(c.Quantile(0.05), MaxLow)
}

// Median returns the median ratio.
func (c *Calibration) Median() float64 {
	if !c.IsMeasured() {
		return priorMedian
	}
	return c.Quantile(0.5)
}

// IsMeasured reports whether there are enough measurements.
func (c *Calibration) IsMeasured() bool { return c.count >= minMeasurements }

// Count returns the number of jobs that the ratios are from.
func (c *Calibration) Count() int { return int(c.count) }

// MaxLow is the most that Low returns, and what it returns before there are enough measurements. Estimates of
// run times are off by up to e^0.9, jobs that come later may not come any more, and some of those ahead expire
// before their turn.
const MaxLow = 0.4

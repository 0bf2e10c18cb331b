package fleet

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Parameters for telling a change of demand from random fluctuation.
const (
	// significanceLevel is how improbable a count of arrivals must be at the current rate to show
	// that the rate has changed. At five samples a second, a random fluctuation is mistaken for a
	// change about once a minute.
	significanceLevel = 0.004
	// maxRateWindow is the longest time over which the rate is computed: over a shorter one, random
	// fluctuation of the rate causes needless moves. arrivalRetention is how long samples are kept.
	maxRateWindow    = 3 * time.Second
	arrivalRetention = 4 * time.Second
	// smallSampleJobs is the number of jobs below which a new, higher rate is computed from one job
	// less. A window that is chosen because many jobs arrived in it overestimates the rate.
	smallSampleJobs = 8
	// meanWorkWindowJobs is the number of jobs over which the work of a job is averaged. The largest
	// jobs of a service are several times as large as its smallest.
	meanWorkWindowJobs = 24
)

// changeWindows are the windows whose arrivals are compared with the current rate: short windows
// show a large change at once, long windows a small one.
var changeWindows = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond}

// Parameters for a rise of demand.
const (
	// trendWindow is the window that is compared with the one before it. It is a third of the time
	// in which a peak rises, and spans three samples.
	trendWindow = 600 * time.Millisecond
	// minTrendJobs is how many jobs must have arrived in the window; fewer may be a random
	// fluctuation.
	minTrendJobs = 4
	// minTrendSigmas is by how many standard deviations the window must have more arrivals than the
	// one before. Random fluctuation exceeds it in one sample of fifteen, and the pool then gets VMs
	// that it does not need.
	minTrendSigmas = 1.5
	// maxTrendFactor bounds the forecast, as a multiple of the current rate.
	maxTrendFactor = 6
	// peakRiseTime is the time within which a peak rises to its full rate. Later it is not forecast to
	// rise further.
	peakRiseTime = 2 * time.Second
)

// demand estimates the rate at which jobs arrive at a pool. It models arrivals as a Poisson
// process whose rate is constant for a time and then jumps, because the demand of a service rises
// and falls suddenly. A jump is detected within a few hundred milliseconds.
type demand struct {
	samples   []arrivalSample
	rate      float64   // jobs per second
	rateSince time.Time // the rate is computed from the jobs that have arrived since
	// riseSince is since when the rate has been rising, lastRisingAt when it last was. Random fluctuation
	// at a peak looks like rises again; these count as one with the rise before.
	riseSince, lastRisingAt time.Time
	// meanJobWork is the moving average of the work of a job.
	meanJobWork struct{ coreMS, mbMS, jobs float64 }
}

// arrivalSample is the total of all arrivals at a time.
type arrivalSample struct {
	at    time.Time
	total workload.Work
}

// observe records the total of all arrivals by now. It reports whether the rate has fallen to less
// than half.
func (d *demand) observe(total workload.Work, now time.Time) (hasFallen bool) {
	if n := len(d.samples); n > 0 && total.Jobs < d.samples[n-1].total.Jobs {
		d.samples = nil // a new owner counts from zero; the rate stays
	}
	if len(d.samples) == 0 {
		d.rateSince = now
	} else {
		d.updateMeanJobWork(d.samples[len(d.samples)-1].total, total)
	}
	d.samples = append(d.samples, arrivalSample{at: now, total: total})
	for len(d.samples) > 2 && now.Sub(d.samples[1].at) >= arrivalRetention {
		d.samples = d.samples[1:]
	}
	previousRate := d.rate
	if !d.detectRateChange(now) {
		d.refineRate(now)
	}
	if d.rate >= previousRate/2 {
		return false
	}
	d.lastRisingAt = time.Time{}
	return true
}

// updateMeanJobWork adds the jobs that arrived between two samples to the average.
func (d *demand) updateMeanJobWork(before, after workload.Work) {
	jobs := float64(after.Jobs - before.Jobs)
	if jobs <= 0 {
		return
	}
	weight := max(jobs/meanWorkWindowJobs, jobs/(d.meanJobWork.jobs+jobs))
	weight = min(1, weight)
	d.meanJobWork.coreMS += weight * (float64(after.CoreMS-before.CoreMS)/jobs - d.meanJobWork.coreMS)
	d.meanJobWork.mbMS += weight * (float64(after.MBMS-before.MBMS)/jobs - d.meanJobWork.mbMS)
	d.meanJobWork.jobs += jobs
}

// detectRateChange looks for a window, the shortest first, whose arrivals are improbable at the
// current rate, and sets the rate from it. It reports whether it found one.
func (d *demand) detectRateChange(now time.Time) bool {
	for _, window := range changeWindows {
		jobs, seconds, ok := d.arrivalsSince(now.Add(-window))
		if !ok || !isImprobable(jobs, d.rate*seconds) {
			continue
		}
		if float64(jobs) > d.rate*seconds && jobs < smallSampleJobs {
			jobs--
		}
		d.rate = float64(jobs) / seconds
		d.rateSince = now.Add(-window)
		return true
	}
	return false
}

// refineRate recomputes the rate from all jobs that arrived since it last changed, within
// maxRateWindow.
func (d *demand) refineRate(now time.Time) {
	from := now.Add(-maxRateWindow)
	if d.rateSince.After(from) {
		from = d.rateSince
	}
	if now.Sub(from) < changeWindows[1] {
		return
	}
	if jobs, seconds, ok := d.arrivalsSince(from); ok {
		d.rate = float64(jobs) / seconds
	}
}

// arrivalsSince counts the jobs between the latest sample at or before from and the last sample.
// ok is false if the samples don't reach back that far.
func (d *demand) arrivalsSince(from time.Time) (jobs int64, seconds float64, ok bool) {
	last := d.samples[len(d.samples)-1]
	for i := len(d.samples) - 2; i >= 0; i-- {
		if s := d.samples[i]; !s.at.After(from) {
			return last.total.Jobs - s.total.Jobs, last.at.Sub(s.at).Seconds(), true
		}
	}
	return 0, 0, false
}

// forecastRate returns the rate after horizon if it goes on rising as it does now, for the rest of
// peakRiseTime, and the current rate if it doesn't rise.
func (d *demand) forecastRate(horizon time.Duration) float64 {
	now := d.samples[len(d.samples)-1].at
	recentJobs, recentSeconds, ok := d.arrivalsSince(now.Add(-trendWindow))
	allJobs, allSeconds, okAll := d.arrivalsSince(now.Add(-2 * trendWindow))
	if !ok || !okAll || allSeconds <= recentSeconds {
		return d.rate
	}
	earlierJobs, earlierSeconds := allJobs-recentJobs, allSeconds-recentSeconds
	excessJobs := float64(recentJobs) - float64(earlierJobs)*recentSeconds/earlierSeconds
	if recentJobs < minTrendJobs || excessJobs < minTrendSigmas*math.Sqrt(float64(recentJobs+earlierJobs)) {
		return d.rate
	}
	if now.Sub(d.lastRisingAt) > maxRateWindow {
		d.riseSince = now.Add(-trendWindow)
	}
	d.lastRisingAt = now
	recentRate := float64(recentJobs) / recentSeconds
	slope := (recentRate - float64(earlierJobs)/earlierSeconds) / (allSeconds / 2)
	horizon = max(0, min(horizon, peakRiseTime-now.Sub(d.riseSince)))
	return max(d.rate, min(maxTrendFactor*recentRate, recentRate+slope*(recentSeconds/2+horizon.Seconds())))
}

// vmsForRate returns the number of VMs of the given size that jobs arriving at the given rate keep
// busy.
func (d *demand) vmsForRate(rate float64, size workload.Resources) float64 {
	cores := rate * d.meanJobWork.coreMS / float64(max(1, size.CPU))
	memory := rate * d.meanJobWork.mbMS / 1000 / float64(max(1, size.MemoryMB))
	return max(cores, memory)
}

// isImprobable reports whether a count is improbable for a Poisson variable with the given mean.
func isImprobable(count int64, mean float64) bool {
	arrivals := distuv.Poisson{Lambda: max(mean, minPoissonMean)}
	if float64(count) > mean {
		return count > 1 && arrivals.Survival(float64(count-1)) < significanceLevel
	}
	return arrivals.CDF(float64(count)) < significanceLevel
}

// minPoissonMean replaces a mean of 0, for which the distribution is not defined.
const minPoissonMean = 1e-9 // jobs

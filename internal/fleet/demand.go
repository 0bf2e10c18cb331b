package fleet

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Rules for telling a change of demand from chance.
const (
	// significanceLevel is how improbable a count of arrivals must be at the rate that is
	// taken for the present one to show another rate. At five looks a second it
	// mistakes chance for a change about once a minute.
	significanceLevel = 0.004
	// maxRateWindow is the longest time whose arrivals the rate rests on (1.2 s gave less
	// on four of five days), and longest is how long arrivals are remembered.
	maxRateWindow    = 3 * time.Second
	arrivalRetention = 4 * time.Second
	// smallSampleJobs is the number of jobs below which a rate that was just found is taken
	// as one job lower: the window begins where jobs came closely, so it counts one
	// too many.
	smallSampleJobs = 8
	// meanWorkWindowJobs is over how many jobs the mean work of a job is averaged. Jobs of
	// one service differ several times in size.
	meanWorkWindowJobs = 24
)

// changeWindows are the times over which arrivals are compared with the rate that is
// taken for the present one: short ones show a large change at once, long ones a
// small one.
var changeWindows = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond}

// Rules for a rise of demand.
const (
	// trendWindow is the time that is compared with the one before it: a third of the
	// time in which a peak rises, and three looks at the load.
	trendWindow = 600 * time.Millisecond
	// minTrendJobs is how many jobs must have arrived within it: a few are chance.
	minTrendJobs = 4
	// minTrendSigmas is by how many standard deviations it must have brought more: chance
	// does so in one look of fifteen, which costs a few moves.
	minTrendSigmas = 1.5
	// maxTrendFactor is how many times the present rate a rise may lead to. A peak rises to
	// its full rate within some 2 s, of which trendSpan is seen.
	maxTrendFactor = 6
)

// demand is the rate at which jobs arrive at a pool. It takes arrivals for a
// process whose rate stays as it is for a time and then jumps, as where services
// peak one after the other: a jump shows in a few hundred milliseconds.
type demand struct {
	samples   []arrivalSample
	rate      float64   // jobs a second
	rateSince time.Time // the rate rests on the jobs that arrived from then on
	// meanJobWork is the mean work of a job.
	meanJobWork struct{ coreMS, mbMS, jobs float64 }
}

// arrivalSample is what had arrived at a time.
type arrivalSample struct {
	at    time.Time
	total workload.Work
}

// observe takes what has arrived by now. It tells whether the rate has fallen.
func (d *demand) observe(total workload.Work, now time.Time) (hasFallen bool) {
	if n := len(d.samples); n > 0 && total.Jobs < d.samples[n-1].total.Jobs {
		d.samples = nil // another owner counts anew; the rate is as it was
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
	return d.rate < previousRate/2
}

// updateMeanJobWork averages the work of jobs.
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

// detectRateChange looks for a time whose arrivals contradict the rate, the shortest first.
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

// refineRate sharpens the rate by all jobs since it was found.
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

// arrivalsSince counts the jobs of the time from a mark at or before from until the
// latest. ok is false while arrivals aren't known for so long.
func (d *demand) arrivalsSince(from time.Time) (jobs int64, seconds float64, ok bool) {
	last := d.samples[len(d.samples)-1]
	for i := len(d.samples) - 2; i >= 0; i-- {
		if s := d.samples[i]; !s.at.After(from) {
			return last.total.Jobs - s.total.Jobs, last.at.Sub(s.at).Seconds(), true
		}
	}
	return 0, 0, false
}

// forecastRate is the rate after a time if it goes on rising as it does now, the present
// one where it doesn't rise.
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
	recentRate := float64(recentJobs) / recentSeconds
	slope := (recentRate - float64(earlierJobs)/earlierSeconds) / (allSeconds / 2)
	return max(d.rate, min(maxTrendFactor*recentRate, recentRate+slope*(recentSeconds/2+horizon.Seconds())))
}

// vmsForRate is how many VMs of a size jobs that arrive at a rate would fill.
func (d *demand) vmsForRate(rate float64, size workload.Resources) float64 {
	cores := rate * d.meanJobWork.coreMS / float64(max(1, size.CPU))
	memory := rate * d.meanJobWork.mbMS / 1000 / float64(max(1, size.MemoryMB))
	return max(cores, memory)
}

// isImprobable tells whether a count is improbable for a Poisson variable of a mean.
func isImprobable(count int64, mean float64) bool {
	arrivals := distuv.Poisson{Lambda: max(mean, minPoissonMean)}
	if float64(count) > mean {
		return count > 1 && arrivals.Survival(float64(count-1)) < significanceLevel
	}
	return arrivals.CDF(float64(count)) < significanceLevel
}

// minPoissonMean stands for a mean of 0, for which the distribution is not defined.
const minPoissonMean = 1e-9 // jobs

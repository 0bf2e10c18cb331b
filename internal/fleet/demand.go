package fleet

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Rules for telling a change of demand from chance.
const (
	// chance is how improbable a count of arrivals must be at the rate that is
	// taken for the present one to show another rate. At five looks a second it
	// mistakes chance for a change about once a minute.
	chance = 0.004
	// recentSpan is the longest time whose arrivals the rate rests on (1.2 s gave less
	// on four of five days), and longest is how long arrivals are remembered.
	recentSpan = 3 * time.Second
	longest    = 4 * time.Second
	// fewJobs is the number of jobs below which a rate that was just found is taken
	// as one job lower: the window begins where jobs came closely, so it counts one
	// too many.
	fewJobs = 8
	// workMemory is over how many jobs the mean work of a job is averaged. Jobs of
	// one service differ several times in size.
	workMemory = 24
)

// changeSpans are the times over which arrivals are compared with the rate that is
// taken for the present one: short ones show a large change at once, long ones a
// small one.
var changeSpans = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond}

// Rules for a rise of demand.
const (
	// trendSpan is the time that is compared with the one before it: a third of the
	// time in which a peak rises, and three looks at the load.
	trendSpan = 600 * time.Millisecond
	// trendJobs is how many jobs must have arrived within it: a few are chance.
	trendJobs = 4
	// trendSigma is by how many standard deviations it must have brought more: chance
	// does so in one look of fifteen, which costs a few moves.
	trendSigma = 1.5
	// trendMost is how many times the present rate a rise may lead to. A peak rises to
	// its full rate within some 2 s, of which trendSpan is seen.
	trendMost = 6
)

// demand is the rate at which jobs arrive at a pool. It takes arrivals for a
// process whose rate stays as it is for a time and then jumps, as where services
// peak one after the other: a jump shows in a few hundred milliseconds.
type demand struct {
	marks []mark
	rate  float64   // jobs a second
	since time.Time // the rate rests on the jobs that arrived from then on
	// perJob is the mean work of a job.
	perJob struct{ coreMS, mbMS, jobs float64 }
}

// mark is what had arrived at a time.
type mark struct {
	at   time.Time
	work workload.Work
}

// observe takes what has arrived by now. It tells whether the rate has fallen.
func (d *demand) observe(work workload.Work, now time.Time) (fell bool) {
	if n := len(d.marks); n > 0 && work.Jobs < d.marks[n-1].work.Jobs {
		d.marks = nil // another owner counts anew; the rate is as it was
	}
	if len(d.marks) == 0 {
		d.since = now
	} else {
		d.learn(d.marks[len(d.marks)-1].work, work)
	}
	d.marks = append(d.marks, mark{at: now, work: work})
	for len(d.marks) > 2 && now.Sub(d.marks[1].at) >= longest {
		d.marks = d.marks[1:]
	}
	before := d.rate
	if !d.jumped(now) {
		d.settle(now)
	}
	return d.rate < before/2
}

// learn averages the work of jobs.
func (d *demand) learn(before, after workload.Work) {
	jobs := float64(after.Jobs - before.Jobs)
	if jobs <= 0 {
		return
	}
	weight := max(jobs/workMemory, jobs/(d.perJob.jobs+jobs))
	weight = min(1, weight)
	d.perJob.coreMS += weight * (float64(after.CoreMS-before.CoreMS)/jobs - d.perJob.coreMS)
	d.perJob.mbMS += weight * (float64(after.MBMS-before.MBMS)/jobs - d.perJob.mbMS)
	d.perJob.jobs += jobs
}

// jumped looks for a time whose arrivals contradict the rate, the shortest first.
func (d *demand) jumped(now time.Time) bool {
	for _, span := range changeSpans {
		jobs, seconds, ok := d.arrived(now.Add(-span))
		if !ok || !contradicts(jobs, d.rate*seconds) {
			continue
		}
		if float64(jobs) > d.rate*seconds && jobs < fewJobs {
			jobs--
		}
		d.rate = float64(jobs) / seconds
		d.since = now.Add(-span)
		return true
	}
	return false
}

// settle sharpens the rate by all jobs since it was found.
func (d *demand) settle(now time.Time) {
	from := now.Add(-recentSpan)
	if d.since.After(from) {
		from = d.since
	}
	if now.Sub(from) < changeSpans[1] {
		return
	}
	if jobs, seconds, ok := d.arrived(from); ok {
		d.rate = float64(jobs) / seconds
	}
}

// arrived counts the jobs of the time from a mark at or before from until the
// latest. ok is false while arrivals aren't known for so long.
func (d *demand) arrived(from time.Time) (jobs int64, seconds float64, ok bool) {
	last := d.marks[len(d.marks)-1]
	for i := len(d.marks) - 2; i >= 0; i-- {
		if m := d.marks[i]; !m.at.After(from) {
			return last.work.Jobs - m.work.Jobs, last.at.Sub(m.at).Seconds(), true
		}
	}
	return 0, 0, false
}

// ahead is the rate after a time if it goes on rising as it does now, the present
// one where it doesn't rise.
func (d *demand) ahead(after time.Duration) float64 {
	now := d.marks[len(d.marks)-1].at
	late, lateSeconds, ok := d.arrived(now.Add(-trendSpan))
	both, bothSeconds, known := d.arrived(now.Add(-2 * trendSpan))
	if !ok || !known || bothSeconds <= lateSeconds {
		return d.rate
	}
	early, earlySeconds := both-late, bothSeconds-lateSeconds
	rise := float64(late) - float64(early)*lateSeconds/earlySeconds
	if late < trendJobs || rise < trendSigma*math.Sqrt(float64(late+early)) {
		return d.rate
	}
	rate := float64(late) / lateSeconds
	slope := (rate - float64(early)/earlySeconds) / (bothSeconds / 2)
	return max(d.rate, min(trendMost*rate, rate+slope*(lateSeconds/2+after.Seconds())))
}

// vms is how many VMs of a size jobs that arrive at a rate would fill.
func (d *demand) vms(rate float64, size workload.Resources) float64 {
	cores := rate * d.perJob.coreMS / float64(max(1, size.CPU))
	memory := rate * d.perJob.mbMS / 1000 / float64(max(1, size.MemoryMB))
	return max(cores, memory)
}

// contradicts tells whether a count is improbable for a Poisson variable of a mean.
func contradicts(count int64, mean float64) bool {
	arrivals := distuv.Poisson{Lambda: max(mean, leastMean)}
	if float64(count) > mean {
		return count > 1 && arrivals.Survival(float64(count-1)) < chance
	}
	return arrivals.CDF(float64(count)) < chance
}

// leastMean stands for a mean of 0, for which the distribution is not defined.
const leastMean = 1e-9 // jobs

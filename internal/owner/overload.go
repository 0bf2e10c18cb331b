package owner

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
)

const (
	// overloadDelay is the delay of an event beyond which the owner counts as overloaded: more
	// than the usual pauses of the process, and less than 300 ms, half of the shortest
	// completion objective of a job.
	overloadDelay = 250 * time.Millisecond
	// overloadTruncatedShare is the share of truncated plans beyond which the owner counts as
	// overloaded: a burst that it can handle truncates only some plans.
	overloadTruncatedShare = 0.5
	// loadInterval is the time over which the load is measured, and the shortest time between
	// two log lines.
	loadInterval = time.Second
)

// loadStats measures over an interval whether an owner is overloaded.
type loadStats struct {
	beganAt        time.Time
	maxEventDelay  time.Duration // longest time from an event's occurrence until it is applied
	maxStepTime    time.Duration // of a step of the core
	plans          int
	truncatedPlans int
	wasOverloaded  bool // in the previous interval
}

// recordEventDelay records the delay of an event that the core applies at now.
func (l *loadStats) recordEventDelay(occurredAt, now time.Time) {
	l.maxEventDelay = max(l.maxEventDelay, now.Sub(occurredAt))
}

// recordStepTime records the duration of a step of the core.
func (l *loadStats) recordStepTime(took time.Duration) { l.maxStepTime = max(l.maxStepTime, took) }

// isOverloaded reports whether the owner was overloaded: events were applied late, or most
// plans were truncated because too many starts were unanswered. Jobs then wait although
// workers have free capacity.
func (l *loadStats) isOverloaded() bool {
	return l.maxEventDelay > overloadDelay || float64(l.truncatedPlans) > overloadTruncatedShare*float64(l.plans)
}

// nextInterval returns the empty stats of the interval that begins now.
func (l *loadStats) nextInterval(now time.Time) loadStats {
	return loadStats{beganAt: now, wasOverloaded: l.isOverloaded()}
}

// logOverload logs once an interval while the owner is overloaded, and once when it no
// longer is. The values distinguish an owner that lacks processor time (free capacity, long
// steps) from a service without free capacity.
func (o *Owner) logOverload(core *scheduler.Core) {
	now := time.Now()
	if now.Sub(o.load.beganAt) < loadInterval {
		return
	}
	l := o.load
	l.plans = core.Counts.Plans - o.countsAtLoadStart.Plans
	l.truncatedPlans = core.Counts.TruncatedPlans - o.countsAtLoadStart.TruncatedPlans
	o.countsAtLoadStart = core.Counts
	o.load = l.nextInterval(now)
	o.deps.Metrics.observeLoad(l)
	o.deps.Metrics.observeHeldBack(o.partition, core.JobsWaitingForWorkers(now))
	o.deps.Metrics.observeHolds(o.partition, core.Holds())
	message := "owner is behind"
	switch {
	case l.isOverloaded():
	case l.wasOverloaded:
		message = "owner keeps up again"
	default:
		return
	}
	b := core.Backlog(now)
	o.logger.Warn(message, "delay_ms", l.maxEventDelay.Milliseconds(), "step_us", l.maxStepTime.Microseconds(),
		"plans", l.plans, "cut_short", l.truncatedPlans, "active", b.ActiveJobs, "waiting", b.WaitingJobs,
		"oldest_ms", b.OldestWait.Milliseconds(), "unused_cores", b.FreeMilliCores/milliCoresPerCore, "cores", b.CapacityMilliCores/milliCoresPerCore)
}

// milliCoresPerCore converts the unit of processor requests to cores.
const milliCoresPerCore = 1000

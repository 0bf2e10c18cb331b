package owner

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
)

const (
	// overloadDelay is how long something that happened may wait for its decision until
	// the owner counts as behind: a pause of the process is shorter as a rule, and
	// half of the shortest objective is 300 ms.
	overloadDelay = 250 * time.Millisecond
	// overloadTruncatedShare is the share of plans that may be cut short until the owner counts as
	// behind: a burst that it bears fills the bound of starts for some plans only.
	overloadTruncatedShare = 0.5
	// loadInterval is the time over which both are taken, and so between two lines.
	loadInterval = time.Second
)

// loadStats is how far an owner is behind what happens, over an interval.
type loadStats struct {
	beganAt        time.Time
	maxEventDelay  time.Duration // the longest that an event waited
	maxStepTime    time.Duration // the longest step
	plans          int
	truncatedPlans int
	wasOverloaded  bool // the owner was behind in the interval before
}

// recordEventDelay notes when an event was handed to the machine.
func (l *loadStats) recordEventDelay(occurredAt, now time.Time) {
	l.maxEventDelay = max(l.maxEventDelay, now.Sub(occurredAt))
}

// recordStepTime notes how long a step took.
func (l *loadStats) recordStepTime(took time.Duration) { l.maxStepTime = max(l.maxStepTime, took) }

// isOverloaded tells whether the owner didn't keep up: what happened waited for it, or it had
// more to start than it can get answers for. Callers then wait beside workers with room.
func (l *loadStats) isOverloaded() bool {
	return l.maxEventDelay > overloadDelay || float64(l.truncatedPlans) > overloadTruncatedShare*float64(l.plans)
}

// nextInterval returns the lag of the interval that begins now.
func (l *loadStats) nextInterval(now time.Time) loadStats {
	return loadStats{beganAt: now, wasOverloaded: l.isOverloaded()}
}

// logOverload writes a line while the owner is behind, and one when it keeps up again. It
// tells an owner without processor time (unused room, long steps) from a service that is
// full.
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

// milliCoresPerCore is one core in the unit of processors that jobs ask for.
const milliCoresPerCore = 1000

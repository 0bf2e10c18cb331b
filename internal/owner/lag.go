package owner

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
)

const (
	// behindDelay is how long something that happened may wait for its decision until
	// the owner counts as behind: a pause of the process is shorter as a rule, and
	// half of the shortest objective is 300 ms.
	behindDelay = 250 * time.Millisecond
	// behindShare is the share of plans that may be cut short until the owner counts as
	// behind: a burst that it bears fills the bound of starts for some plans only.
	behindShare = 0.5
	// lagInterval is the time over which both are taken, and so between two lines.
	lagInterval = time.Second
)

// lag is how far an owner is behind what happens, over an interval.
type lag struct {
	began    time.Time
	delay    time.Duration // the longest that an event waited
	step     time.Duration // the longest step
	plans    int
	cutShort int
	wasLate  bool // the owner was behind in the interval before
}

// taken notes when an event was handed to the machine.
func (l *lag) taken(happened, now time.Time) { l.delay = max(l.delay, now.Sub(happened)) }

// stepped notes how long a step took.
func (l *lag) stepped(took time.Duration) { l.step = max(l.step, took) }

// behind tells whether the owner didn't keep up: what happened waited for it, or it had
// more to start than it can get answers for. Callers then wait beside workers with room.
func (l *lag) behind() bool {
	return l.delay > behindDelay || float64(l.cutShort) > behindShare*float64(l.plans)
}

// next returns the lag of the interval that begins now.
func (l *lag) next(now time.Time) lag { return lag{began: now, wasLate: l.behind()} }

// watchLag writes a line while the owner is behind, and one when it keeps up again. It
// tells an owner without processor time (unused room, long steps) from a service that is
// full.
func (o *Owner) watchLag(core *scheduler.Core) {
	now := time.Now()
	if now.Sub(o.lag.began) < lagInterval {
		return
	}
	l := o.lag
	l.plans = core.Counts.Plans - o.planned.Plans
	l.cutShort = core.Counts.TruncatedPlans - o.planned.TruncatedPlans
	o.planned = core.Counts
	o.lag = l.next(now)
	o.deps.Metrics.lagging(l)
	verb := "owner is behind"
	switch {
	case l.behind():
	case l.wasLate:
		verb = "owner keeps up again"
	default:
		return
	}
	b := core.Backlog(now)
	o.logger.Warn(verb, "delay_ms", l.delay.Milliseconds(), "step_us", l.step.Microseconds(),
		"plans", l.plans, "cut_short", l.cutShort, "active", b.ActiveJobs, "waiting", b.WaitingJobs,
		"oldest_ms", b.OldestWait.Milliseconds(), "unused_cores", b.FreeMilliCores/coreUnits, "cores", b.CapacityMilliCores/coreUnits)
}

// coreUnits is one core in the unit of processors that jobs ask for.
const coreUnits = 1000

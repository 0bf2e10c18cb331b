package owner

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
)

const (
	// behindAfter is how long something that happened may wait for its decision until
	// the owner counts as behind: a tenth of the shortest objective is 60 ms, and a
	// pause of the process is no more than that as a rule.
	behindAfter = 250 * time.Millisecond
	// behindPause is the shortest time between two lines about it.
	behindPause = time.Second
)

// lag is how far an owner is behind what happens, since the last line about it.
type lag struct {
	delay  time.Duration // the longest that an event waited
	step   time.Duration // the longest step
	told   time.Time
	behind bool
}

// taken notes when an event was handed to the machine.
func (l *lag) taken(happened, now time.Time) { l.delay = max(l.delay, now.Sub(happened)) }

// stepped notes how long a step took.
func (l *lag) stepped(took time.Duration) { l.step = max(l.step, took) }

// watchLag writes a line while the owner is behind, and one when it keeps up again. It
// tells an owner without processor time (long steps, unused room) from a service
// that is full.
func (o *Owner) watchLag(core *scheduler.Core) {
	now := time.Now()
	if now.Sub(o.lag.told) < behindPause {
		return
	}
	l := o.lag
	o.lag = lag{told: now, behind: l.delay > behindAfter}
	o.deps.Metrics.lagging(l)
	if !l.behind && !o.lag.behind {
		return
	}
	b := core.Backlog(now)
	verb := "owner is behind"
	if !o.lag.behind {
		verb = "owner keeps up again"
	}
	o.logger.Warn(verb, "delay_ms", l.delay.Milliseconds(), "step_us", l.step.Microseconds(), "active", b.Active,
		"waiting", b.Waiting, "oldest_ms", b.Oldest.Milliseconds(), "unused_cores", b.Unused/coreUnits, "cores", b.Capacity/coreUnits)
}

// coreUnits is one core in the unit of processors that jobs ask for.
const coreUnits = 1000

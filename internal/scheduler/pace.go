package scheduler

import "time"

// The control of filling tasks beside serving ones. The tail of a serving task
// must stay under its target: it is brought down at once and up again slowly,
// as an overshoot harms users and a lower pace costs only spare work.
const (
	highRatio    = 0.85 // of tail to target, at which pace is cut
	lowRatio     = 0.6  // below which it is raised
	cutFactor    = 0.5
	raiseStep    = 15                     // percent
	paceInterval = 500 * time.Millisecond // the tail that workers report covers half a second
	minPace      = 5                      // percent; below it a task is halted
)

// balancePace sets the pace of a worker's filling tasks by the tails of its
// serving ones.
func (c *Core) balancePace(w *worker, now time.Time) {
	worst, filling := 0.0, false
	for _, r := range w.runs {
		if r.step.spec.TargetMS > 0 {
			worst = max(worst, r.load/float64(r.step.spec.TargetMS))
		}
		filling = filling || r.step.spec.Fills
	}
	if !filling {
		w.pace = fullPace
		return
	}
	if now.Sub(w.pacedAt) >= paceInterval {
		w.adjustPace(worst, now)
	}
	for _, r := range w.runs {
		if !r.step.spec.Fills || r.state != runRunning || r.pacing || r.paced == w.pace || w.orders >= maxOrders {
			continue
		}
		r.pacing = true
		r.paced = w.pace
		w.orders++
		c.out.Paces = append(c.out.Paces, PaceOrder{Worker: w.info, Task: r.key(), Run: r.number, Percent: w.pace, Token: w.token})
	}
}

func (w *worker) adjustPace(worst float64, now time.Time) {
	before := w.pace
	switch {
	case worst > highRatio:
		w.pace = int(float64(w.pace) * cutFactor)
		if w.pace < minPace {
			w.pace = 0
		}
	case worst < lowRatio:
		w.pace = min(fullPace, w.pace+raiseStep)
	}
	if w.pace != before {
		w.pacedAt = now
	}
}

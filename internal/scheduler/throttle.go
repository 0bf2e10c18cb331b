package scheduler

import "time"

// The control of filling tasks beside serving ones. The tail of a serving task
// must stay under its target: it is brought down at once and up again slowly,
// as an overshoot harms users and a lower pace costs only spare work.
const (
	highTailRatio     = 0.85 // of tail to target, at which pace is cut
	lowTailRatio      = 0.6  // below which it is raised
	speedCutFactor    = 0.5
	speedRaisePercent = 15                     // percent
	throttleInterval  = 500 * time.Millisecond // the tail that workers report covers half a second
	minSpeedPercent   = 5                      // percent; below it a task is halted
)

// throttleBestEffort sets the pace of a worker's filling tasks by the tails of its
// serving ones.
func (c *Core) throttleBestEffort(w *worker, now time.Time) {
	worstTailRatio, hasBestEffort := 0.0, false
	for _, r := range w.runs {
		if r.step.spec.LatencyTargetMS > 0 {
			worstTailRatio = max(worstTailRatio, r.load/float64(r.step.spec.LatencyTargetMS))
		}
		hasBestEffort = hasBestEffort || r.step.spec.BestEffortCPU
	}
	if !hasBestEffort {
		w.bestEffortSpeedPercent = fullSpeedPercent
		return
	}
	if now.Sub(w.speedChangedAt) >= throttleInterval {
		w.adjustSpeed(worstTailRatio, now)
	}
	for _, r := range w.runs {
		if !r.step.spec.BestEffortCPU || r.state != runRunning || r.throttleInFlight || r.orderedSpeedPercent == w.bestEffortSpeedPercent || w.ordersInFlight >= maxOrdersPerWorker {
			continue
		}
		r.throttleInFlight = true
		r.orderedSpeedPercent = w.bestEffortSpeedPercent
		w.ordersInFlight++
		c.orders.Throttles = append(c.orders.Throttles, ThrottleOrder{Worker: w.info, Task: r.taskKey(), Run: r.number, SpeedPercent: w.bestEffortSpeedPercent, Token: w.token})
	}
}

func (w *worker) adjustSpeed(worstTailRatio float64, now time.Time) {
	before := w.bestEffortSpeedPercent
	switch {
	case worstTailRatio > highTailRatio:
		w.bestEffortSpeedPercent = int(float64(w.bestEffortSpeedPercent) * speedCutFactor)
		if w.bestEffortSpeedPercent < minSpeedPercent {
			w.bestEffortSpeedPercent = 0
		}
	case worstTailRatio < lowTailRatio:
		w.bestEffortSpeedPercent = min(fullSpeedPercent, w.bestEffortSpeedPercent+speedRaisePercent)
	}
	if w.bestEffortSpeedPercent != before {
		w.speedChangedAt = now
	}
}

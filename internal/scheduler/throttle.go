package scheduler

import "time"

// Control of the speed of best-effort tasks on workers with serving tasks. The tail latency of a
// serving task must stay under its target. The speed is cut immediately and raised slowly, because a
// speed that is too high harms users, and one that is too low only delays best-effort work.
const (
	highTailRatio     = 0.85 // of tail latency to target; above it the speed is cut
	lowTailRatio      = 0.6  // below it the speed is raised
	speedCutFactor    = 0.5
	speedRaisePercent = 15
	throttleInterval  = 500 * time.Millisecond // workers report the tail latency of the last half second
	minSpeedPercent   = 5                      // below it a task is halted
)

// throttleBestEffort sets the speed of a worker's best-effort tasks by the tail latencies of its
// serving tasks.
func (c *Core) throttleBestEffort(w *worker, now time.Time) {
	worstTailRatio, hasBestEffort := 0.0, false
	for _, r := range w.runs {
		if r.step.spec.LatencyTargetMS > 0 {
			worstTailRatio = max(worstTailRatio, r.latencyOrCPU/float64(r.step.spec.LatencyTargetMS))
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

package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

const (
	// maxPollWait is how long a worker may delay its answer while no run ends. Two such waits
	// and a lost answer fit into a lease.
	maxPollWait = time.Second
	// loadWatchPollWait replaces maxPollWait while the load of serving tasks is watched, or a
	// long-running task is expected to return to full speed.
	loadWatchPollWait = 400 * time.Millisecond
	// startCheckPollWait replaces maxPollWait while it is unknown whether a run has started.
	startCheckPollWait = 50 * time.Millisecond
	// unackedPollInterval is the pause between polls of a worker whose exits can't be
	// acknowledged yet, for example during an outage of the store. Such a worker answers each
	// poll without waiting.
	unackedPollInterval = 400 * time.Millisecond
	// minPollInterval is the shortest pause between two polls. Exits that follow each other
	// closely are read together.
	minPollInterval = 15 * time.Millisecond
	// pollIntervalPerWorker is added to minPollInterval for each worker of the owner. It
	// limits all polls together to about a thousand a second, a fifth of a core.
	pollIntervalPerWorker = 700 * time.Microsecond
	// pollRetryInterval is the pause after a poll without an answer.
	pollRetryInterval = 250 * time.Millisecond
	// firstPollRetryInterval replaces pollRetryInterval after the first such poll. A crashed
	// worker refuses the next poll, and the crash must be stored before this owner may be lost.
	firstPollRetryInterval = 20 * time.Millisecond
	// pollAnswerSlack is how long an answer may take beyond the requested wait before an extra
	// poll is sent: many times the round trip of an order.
	pollAnswerSlack = 100 * time.Millisecond
	// maxExtraPollsPerWorker bounds the extra polls in flight to one worker: three polls in a
	// row are hardly ever all lost. maxExtraPollsTotal bounds them for all workers. If one in
	// seven answers is lost, about ten are in flight. More are a sign of an overloaded node
	// or partitioned workers, not of lost answers.
	maxExtraPollsPerWorker = 2
	maxExtraPollsTotal     = 32
	// exitEstimateSlack is added to the estimated time to a run's exit; estimates are rough.
	exitEstimateSlack = 100 * time.Millisecond
)

// maxStepGap is the pause between two steps above which this process counts as stalled.
const maxStepGap = 400 * time.Millisecond

// stallGracePeriod is how long the process counts as stalled after such a pause. Until then a
// worker's missing answer may be waiting unread in this process.
const stallGracePeriod = 2 * time.Second

// unreachableTimeout is how long a registered worker may leave polls unanswered before its runs are
// dropped. It is longer than the 4.5 s after which a crashed worker is unregistered. So a worker
// that is still registered is most likely partitioned, has completed its short tasks, and reports
// their exits once it is reachable again.
const unreachableTimeout = 10 * time.Second

// detectStall sets stalledUntil after a pause between steps of more than maxStepGap.
func (c *Core) detectStall(now time.Time) {
	if !c.lastStepAt.IsZero() && now.Sub(c.lastStepAt) > maxStepGap {
		c.stalledUntil = now.Add(stallGracePeriod)
	}
	c.lastStepAt = now
}

// expireRuns drops the runs on unreachable workers whose leases have expired.
//
// The runs are kept until a poll that was sent after the expiry has failed: a worker that
// answers that poll may report runs as done, and a task that was started again meanwhile would
// run twice. They are also kept while this process is stalled, as answers may be waiting unread,
// and until unreachableTimeout while the worker is registered, as it will most likely answer.
func (c *Core) expireRuns(now time.Time) {
	for _, w := range c.sortedWorkers {
		if !w.unreachable || now.Before(w.leasesExpireAt) || now.Before(c.stalledUntil) || c.mayOutliveLeases(w, now) {
			continue
		}
		hasAddress := w.info.Address != "" // a worker known only from an earlier owner's records has none
		if hasAddress && (w.lastUnansweredPollSentAt.Before(w.leasesExpireAt) || !w.unregistered && now.Sub(w.lastReportHandledAt) < unreachableTimeout) {
			continue
		}
		c.dropExpiredRuns(w, now)
		if w.synced {
			w.synced = false
			c.recordDecision(Decision{Verb: "worker-lost", Worker: w.info.ID, Reason: "no answer, lease is over", Age: now.Sub(w.lastReportHandledAt), AlwaysLogged: true})
		}
	}
}

// dropExpiredRuns drops the runs on a worker whose leases have expired. It keeps runs of which neither the
// start nor a stop is confirmed while the start may still be carried out, or its lease may last longer than
// it was granted.
func (c *Core) dropExpiredRuns(w *worker, now time.Time) {
	expired := slices.DeleteFunc(slices.Clone(w.runs), func(r *run) bool {
		return c.mayOutliveLease(r, now)
	})
	blamed := c.recordSilentLosses(w, expired, now)
	for _, r := range expired {
		c.Counts.ExpiredRuns++
		c.recordDecision(Decision{Verb: "lapsed", Job: r.step.job.id, Task: r.taskKey().String(), Worker: w.info.ID, Run: r.number, Reason: r.lapseReason(), Age: now.Sub(w.lastReportHandledAt)})
		c.removeRun(r)
	}
	for _, r := range blamed {
		c.failJobIfProvenCause(r.step, r.index, now)
	}
}

// lapseReason returns why a run counts as ended, and what is not known of it.
func (r *run) lapseReason() string {
	reason := "no answer, lease is over"
	if !r.startConfirmed {
		reason += "; its start was not answered"
	}
	if entry := r.worker.info.Incarnation; entry != 0 && r.incarnation != 0 && entry != r.incarnation {
		reason += fmt.Sprintf("; it was ordered to the process of %d, the worker's entry is that of %d", r.incarnation, entry)
	}
	return reason
}

// pollWorkers orders polls of the workers that are due.
func (c *Core) pollWorkers(now time.Time) {
	c.watchRacks(now)
	for _, w := range c.sortedWorkers {
		if w.info.Address == "" || w.replaced || now.Before(w.nextPollAt) {
			continue
		}
		if w.pollInFlight {
			if c.isRackProbed(w, now) && w.extraPollsInFlight == 0 {
				w.pollAnswerDueAt = now // the poll in flight may wait long for an exit
			}
			c.sendExtraPoll(w, now)
			continue
		}
		// An unreachable worker gets no starts until it answers, so it is polled even if it
		// has no runs and no exits.
		mayHaveRuns := len(w.runs) > 0 || now.Before(w.lateStartUntil)
		needed := !w.synced || w.unreachable || mayHaveRuns || w.lastExitSeen > w.ackAllowed || w.hasPendingAck() || w.entryMismatch ||
			w.isDrainingAndIdle(now) && now.Sub(w.lastAnsweredPollSentAt) >= drainedPollInterval || now.Sub(w.clockReadAt) >= maxClockAge || c.isRackProbed(w, now)
		if !needed {
			continue
		}
		if c.needsProbe(w, now) {
			c.sendProbe(w, now)
			continue
		}
		poll := workload.Poll{Token: w.token}
		if c.canAcknowledge(w, now) {
			poll.AckedUpTo = w.ackAllowed
		}
		w.ackSent = poll.AckedUpTo
		w.acks.record(openAck{upTo: poll.AckedUpTo, incarnation: w.incarnation, sentAt: now})
		// A worker that is unreachable or may have restarted gets no renewal. Otherwise its tasks
		// would have to wait until the renewed lease expires before they start elsewhere.
		inSync := w.synced && !w.unreachable && !w.entryMismatch
		if len(w.runs) > 0 && inSync && c.hasAuthority(now) {
			poll.LeaseExpiresAtMS = c.grantLease(w, now)
		}
		if mayHaveRuns && inSync && w.acks.mayDropExitsUpTo == 0 && w.lastExitSeen == w.ackAllowed && (poll.AckedUpTo > 0 || !w.hasPendingAck()) {
			poll.MaxWait = c.pollWait(w, now)
		}
		poll.ShortTimeout = w.unreachable && w.synced
		w.pollInFlight = true
		w.pollAnswerDueAt = now.Add(poll.MaxWait + pollAnswerSlack)
		w.firstPollDueAt = now.Add(poll.MaxWait)
		c.orders.Polls = append(c.orders.Polls, PollOrder{Worker: w.info, Poll: poll})
	}
}

// sendExtraPoll sends another poll if the answer to the latest is overdue. Without it a lost
// answer would block polling until the poll times out, as long as two or three short tasks take:
// the worker's exits would stay unread, nothing would start in their place, and finally the
// worker would count as unreachable.
func (c *Core) sendExtraPoll(w *worker, now time.Time) {
	if w.extraPollsInFlight >= maxExtraPollsPerWorker || now.Before(w.pollAnswerDueAt) || now.Before(c.stalledUntil) || c.extraPollsInFlight >= maxExtraPollsTotal {
		return
	}
	w.extraPollsInFlight++
	c.extraPollsInFlight++
	c.Counts.ExtraPolls++
	w.pollAnswerDueAt = now.Add(2 * pollAnswerSlack)
	order := PollOrder{Worker: w.info, Poll: workload.Poll{Token: w.token, ShortTimeout: true}, Extra: true, Probe: w.acks.probeInFlight}
	if order.Probe {
		order.Poll.Token = probeToken // no other poll may reach the process before a probe
	}
	c.orders.Polls = append(c.orders.Polls, order)
}

// pollWait returns how long a poll may wait for an exit. The wait is shorter if a run is
// expected to end before maxPollWait, so that a lost answer is detected sooner.
func (c *Core) pollWait(w *worker, now time.Time) time.Duration {
	serving, bestEffort, resuming := false, false, false
	wait := maxPollWait
	for _, r := range w.runs {
		if !r.step.spec.LongRunning {
			wait = min(wait, r.estimatedTimeToExit(now)+exitEstimateSlack)
		}
		serving = serving || r.step.spec.LatencyTargetMS > 0
		bestEffort = bestEffort || r.step.spec.BestEffortCPU
		resuming = resuming || r.step.spec.LongRunning && r.speedPercent < fullSpeedPercent && !r.step.spec.BestEffortCPU
		if !r.startConfirmed && r.state != runStarting {
			return startCheckPollWait
		}
		if r.isolated {
			wait = min(wait, max(startCheckPollWait, r.task().requiredRunTime()-now.Sub(r.orderedAt)))
		}
	}
	if serving && bestEffort || resuming {
		return min(wait, loadWatchPollWait)
	}
	return wait
}

// estimatedTimeToExit returns for how much longer the run is expected to take. A run that has
// exceeded its estimate by some time is expected to take that time once more.
func (r *run) estimatedTimeToExit(now time.Time) time.Duration {
	rest := estimate(r.step.spec) - now.Sub(r.orderedAt)
	return max(rest, -rest)
}

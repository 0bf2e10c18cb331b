package scheduler

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Times of polls of workers.
const (
	// maxPollWait is how long a worker may hold back its answer while nothing ends.
	// Twice that and a lost answer are within a lease.
	maxPollWait = time.Second
	// loadWatchPollWait is the same where the load of serving tasks is watched, or a
	// task's return to work is waited for.
	loadWatchPollWait = 400 * time.Millisecond
	// startCheckPollWait is the same where it is to be learned whether a run has begun.
	startCheckPollWait = 50 * time.Millisecond
	// unackedPollInterval is the pause between polls of a worker whose ends can't be
	// acknowledged yet, as while the store is away: it would answer each at once.
	unackedPollInterval = 400 * time.Millisecond
	// minPollInterval is the shortest pause between two polls: ends that come closely
	// one after the other are read together.
	minPollInterval = 15 * time.Millisecond
	// pollIntervalPerWorker is added for each worker of the owner, so that all of them
	// together are polled about a thousand times a second at most, which a
	// fifth of a core bears.
	pollIntervalPerWorker = 700 * time.Microsecond
	// pollRetryInterval is the pause after a poll without an answer.
	pollRetryInterval = 250 * time.Millisecond
	// firstPollRetryInterval is the same after the first such poll: a worker that has crashed refuses
	// the next, and that is to be stored before this owner may be lost.
	firstPollRetryInterval = 20 * time.Millisecond
	// pollAnswerSlack is how long an answer may take beyond the wait that it was asked for
	// before another poll is sent: many times an order and its answer.
	pollAnswerSlack = 100 * time.Millisecond
	// maxExtraPollsPerWorker bounds the polls beside the first that are under way to one worker:
	// of three in a row hardly all are lost. allExtraPolls bounds them for all workers.
	// One in seven answers lost makes some ten at a time; more are no loss, but a node
	// that is behind, or workers that are cut off.
	maxExtraPollsPerWorker = 2
	maxExtraPollsTotal     = 32
	// exitEstimateSlack is added to the estimate of a run's end: estimates are rough.
	exitEstimateSlack = 100 * time.Millisecond
)

// maxStepGap is the longest pause between two steps of a process that gets on.
const maxStepGap = 400 * time.Millisecond

// stallGracePeriod is how long after a longer pause the silence of workers says nothing:
// their answers may lie unread here.
const stallGracePeriod = 2 * time.Second

// silenceTimeout is how long a worker that is registered may be silent before its
// tasks are given up. One that has crashed is no longer registered after 4.5 s;
// one that is cut off has most likely ended its short tasks, and tells when it is
// back.
const silenceTimeout = 10 * time.Second

// detectStall notes how far apart steps are.
func (c *Core) detectStall(now time.Time) {
	if !c.lastStepAt.IsZero() && now.Sub(c.lastStepAt) > maxStepGap {
		c.stalledUntil = now.Add(stallGracePeriod)
	}
	c.lastStepAt = now
}

// expireRuns drops runs whose lease has lapsed on a worker that does not answer.
// The last word is a poll that was sent after that: a worker that answers it may
// list ends as done, and a task that was started again meanwhile would run twice.
// A process that hardly gets on does not take silence for an answer at all, and a
// worker that is still registered lives, and will most likely tell.
// A start that got no answer may be carried out much later, with its lease
// counted from then; it is kept as long as that.
func (c *Core) expireRuns(now time.Time) {
	for _, w := range c.sortedWorkers {
		if !w.unreachable || now.Before(w.leasesExpireAt) || now.Before(c.stalledUntil) || c.mayOutliveLeases(w, now) {
			continue
		}
		hasAddress := w.info.Address != "" // not where only an earlier owner named it
		if hasAddress && (w.lastUnansweredPollSentAt.Before(w.leasesExpireAt) || !w.unregistered && now.Sub(w.lastPollAnsweredAt) < silenceTimeout) {
			continue
		}
		c.dropExpiredRuns(w, now)
		if w.synced {
			w.synced = false
			c.recordDecision(Decision{Verb: "worker-lost", Worker: w.info.ID, Reason: "no answer, lease is over", Age: now.Sub(w.lastPollAnsweredAt), AlwaysLogged: true})
		}
	}
}

// dropExpiredRuns drops the runs of a worker whose leases are over, but for those that may begin
// late.
func (c *Core) dropExpiredRuns(w *worker, now time.Time) {
	expired := slices.DeleteFunc(slices.Clone(w.runs), func(r *run) bool {
		return !r.startConfirmed && !r.stopConfirmed && !w.unregistered && now.Before(r.orderedAt.Add(maxOrderDelay+leaseExpiryDelay(c.settings.LeaseDuration)))
	})
	blamed := c.recordSilentLosses(w, expired, now)
	for _, r := range expired {
		c.Counts.ExpiredRuns++
		c.recordDecision(Decision{Verb: "lapsed", Job: r.step.job.id, Task: r.taskKey().String(), Worker: w.info.ID, Run: r.number, Reason: "no answer, lease is over", Age: now.Sub(w.lastPollAnsweredAt)})
		c.removeRun(r)
	}
	for _, r := range blamed {
		c.giveUpIfProvenCause(r, now)
	}
}

// pollWorkers orders a poll of each worker that has something to tell.
func (c *Core) pollWorkers(now time.Time) {
	for _, w := range c.sortedWorkers {
		if w.info.Address == "" || w.replaced || now.Before(w.nextPollAt) {
			continue
		}
		if w.pollInFlight {
			c.sendExtraPoll(w, now)
			continue
		}
		// One that did not answer gets nothing until it does, so it is asked also
		// when it has nothing to tell.
		mayHaveRuns := len(w.runs) > 0 || now.Before(w.lateStartUntil)
		needed := !w.synced || w.unreachable || mayHaveRuns || w.lastExitSeen > w.ackAllowed || w.hasPendingAck() || w.entryMismatch ||
			w.isDrainingAndIdle(now) && now.Sub(w.lastAnsweredPollSentAt) >= drainedPollInterval || now.Sub(w.clockReadAt) >= maxClockAge
		if !needed {
			continue
		}
		poll := workload.Poll{Token: w.token}
		if c.canAcknowledge(w, now) {
			poll.AckedUpTo = w.ackAllowed
		}
		w.ackSent = poll.AckedUpTo
		// A worker that may be gone gets no longer lease: its tasks would have to
		// wait for that one to lapse, too.
		inSync := w.synced && !w.unreachable && !w.entryMismatch
		if len(w.runs) > 0 && inSync && c.hasAuthority(now) {
			poll.LeaseExpiresAtMS = c.grantLease(w, now)
		}
		if mayHaveRuns && inSync && w.lastExitSeen == w.ackAllowed && (poll.AckedUpTo > 0 || !w.hasPendingAck()) {
			poll.MaxWait = c.pollWait(w, now)
		}
		poll.ShortTimeout = w.unreachable && w.synced
		w.pollInFlight = true
		w.pollAnswerDueAt = now.Add(poll.MaxWait + pollAnswerSlack)
		c.orders.Polls = append(c.orders.Polls, PollOrder{Worker: w.info, Poll: poll})
	}
}

// sendExtraPoll sends another poll where the answer of the latest is late. An answer that
// is lost would else be waited for until its time-out, as long as two or three short
// tasks take; meanwhile the worker's ends are not seen, nothing new is started in their
// place, and then it counts as silent.
func (c *Core) sendExtraPoll(w *worker, now time.Time) {
	if w.extraPollsInFlight >= maxExtraPollsPerWorker || now.Before(w.pollAnswerDueAt) || now.Before(c.stalledUntil) || c.extraPollsInFlight >= maxExtraPollsTotal {
		return
	}
	w.extraPollsInFlight++
	c.extraPollsInFlight++
	c.Counts.ExtraPolls++
	w.pollAnswerDueAt = now.Add(2 * pollAnswerSlack)
	poll := workload.Poll{Token: w.token, ShortTimeout: true}
	c.orders.Polls = append(c.orders.Polls, PollOrder{Worker: w.info, Poll: poll, Extra: true})
}

// pollWait is how long a poll may wait for an end. Where a run is expected to end sooner
// than the longest wait, the answer is expected sooner, too, so that its loss shows.
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

// estimatedTimeToExit is how long a run may go on, by estimate. One that has outlasted it may go on
// as long again.
func (r *run) estimatedTimeToExit(now time.Time) time.Duration {
	rest := estimate(r.step.spec) - now.Sub(r.orderedAt)
	return max(rest, -rest)
}

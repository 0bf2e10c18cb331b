package scheduler

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Times of polls of workers.
const (
	// holdWait is how long a worker may hold back its answer while nothing ends.
	// Twice that and a lost answer are within a lease.
	holdWait = time.Second
	// watchWait is the same where the load of serving tasks is watched, or a
	// task's return to work is waited for.
	watchWait = 400 * time.Millisecond
	// shortWait is the same where it is to be learned whether a run has begun.
	shortWait = 50 * time.Millisecond
	// ackPause is the pause between polls of a worker whose ends can't be
	// acknowledged yet, as while the store is away: it would answer each at once.
	ackPause = 400 * time.Millisecond
	// holdPause is the shortest pause between two polls: ends that come closely
	// one after the other are read together.
	holdPause = 15 * time.Millisecond
	// holdPauseEach is added for each worker of the owner, so that all of them
	// together are polled about a thousand times a second at most, which a
	// fifth of a core bears.
	holdPauseEach = 700 * time.Microsecond
	// holdRetry is the pause after a poll without an answer.
	holdRetry = 250 * time.Millisecond
	// crashRetry is the same after the first such poll: a worker that has crashed refuses
	// the next, and that is to be stored before this owner may be lost.
	crashRetry = 20 * time.Millisecond
	// pollSlack is how long an answer may take beyond the wait that it was asked for
	// before another poll is sent: many times an order and its answer.
	pollSlack = 100 * time.Millisecond
	// maxExtraPolls bounds the polls beside the first that are under way to one worker:
	// of three in a row hardly all are lost. allExtraPolls bounds them for all workers.
	// One in seven answers lost makes some ten at a time; more are no loss, but a node
	// that is behind, or workers that are cut off.
	maxExtraPolls = 2
	allExtraPolls = 32
	// endSlack is added to the estimate of a run's end: estimates are rough.
	endSlack = 100 * time.Millisecond
)

// maxStepGap is the longest pause between two steps of a process that gets on.
const maxStepGap = 400 * time.Millisecond

// stallDoubt is how long after a longer pause the silence of workers says nothing:
// their answers may lie unread here.
const stallDoubt = 2 * time.Second

// longSilence is how long a worker that is registered may be silent before its
// tasks are given up. One that has crashed is no longer registered after 4.5 s;
// one that is cut off has most likely ended its short tasks, and tells when it is
// back.
const longSilence = 10 * time.Second

// noteStall notes how far apart steps are.
func (c *Core) noteStall(now time.Time) {
	if !c.steppedAt.IsZero() && now.Sub(c.steppedAt) > maxStepGap {
		c.stalledUntil = now.Add(stallDoubt)
	}
	c.steppedAt = now
}

// expireRuns drops runs whose lease has lapsed on a worker that does not answer.
// The last word is a poll that was sent after that: a worker that answers it may
// list ends as done, and a task that was started again meanwhile would run twice.
// A process that hardly gets on does not take silence for an answer at all, and a
// worker that is still registered lives, and will most likely tell.
// A start that got no answer may be carried out much later, with its lease
// counted from then; it is kept as long as that.
func (c *Core) expireRuns(now time.Time) {
	for _, w := range c.order {
		if !w.unreachable || now.Before(w.leaseOver) || now.Before(c.stalledUntil) || c.mayRunLonger(w, now) {
			continue
		}
		canAsk := w.info.Address != "" // not where only an earlier owner named it
		if canAsk && (w.unanswered.Before(w.leaseOver) || !w.missing && now.Sub(w.answered) < longSilence) {
			continue
		}
		c.dropLapsed(w, now)
		if w.synced {
			w.synced = false
			c.note(Decision{Verb: "worker-lost", Worker: w.info.ID, Reason: "no answer, lease is over", Age: now.Sub(w.answered), Critical: true})
		}
	}
}

// dropLapsed drops the runs of a worker whose leases are over, but for those that may begin
// late.
func (c *Core) dropLapsed(w *worker, now time.Time) {
	lapsed := slices.DeleteFunc(slices.Clone(w.runs), func(r *run) bool {
		return !r.confirmed && !r.stopped && !w.missing && now.Before(r.orderedAt.Add(lateOrder+lapse(c.cfg.Lease)))
	})
	blamed := c.lostInSilence(w, lapsed, now)
	for _, r := range lapsed {
		c.Counts.Lapsed++
		c.note(Decision{Verb: "lapsed", Job: r.step.job.id, Task: r.key().String(), Worker: w.info.ID, Run: r.number, Reason: "no answer, lease is over", Age: now.Sub(w.answered)})
		c.remove(r)
	}
	for _, r := range blamed {
		c.judge(r, now)
	}
}

// holdWorkers orders a poll of each worker that has something to tell.
func (c *Core) holdWorkers(now time.Time) {
	for _, w := range c.order {
		if w.info.Address == "" || w.ended || now.Before(w.holdAfter) {
			continue
		}
		if w.holding {
			c.pollAgain(w, now)
			continue
		}
		// One that did not answer gets nothing until it does, so it is asked also
		// when it has nothing to tell.
		watched := len(w.runs) > 0 || now.Before(w.lateUntil)
		needed := !w.synced || w.unreachable || watched || w.seen > w.acked || w.ackOwed() || w.inDoubt ||
			w.isVacated(now) && now.Sub(w.toldAt) >= vacantPoll || now.Sub(w.clockAt) >= clockFresh
		if !needed {
			continue
		}
		h := workload.Hold{Token: w.token}
		if c.mayAcknowledge(w, now) {
			h.Acked = w.acked
		}
		w.ackSent = h.Acked
		// A worker that may be gone gets no longer lease: its tasks would have to
		// wait for that one to lapse, too.
		known := w.synced && !w.unreachable && !w.inDoubt
		if len(w.runs) > 0 && known && c.hasAuthority(now) {
			h.LeaseUntil = c.grant(w, now)
		}
		if watched && known && w.seen == w.acked && (h.Acked > 0 || !w.ackOwed()) {
			h.Wait = c.waitFor(w, now)
		}
		h.Brief = w.unreachable && w.synced
		w.holding = true
		w.overdueAt = now.Add(h.Wait + pollSlack)
		c.out.Holds = append(c.out.Holds, HoldOrder{Worker: w.info, Hold: h})
	}
}

// pollAgain sends another poll where the answer of the latest is late. An answer that
// is lost would else be waited for until its time-out, as long as two or three short
// tasks take; meanwhile the worker's ends are not seen, nothing new is started in their
// place, and then it counts as silent.
func (c *Core) pollAgain(w *worker, now time.Time) {
	if w.extraPolls >= maxExtraPolls || now.Before(w.overdueAt) || now.Before(c.stalledUntil) || c.extraPolls >= allExtraPolls {
		return
	}
	w.extraPolls++
	c.extraPolls++
	c.Counts.PolledAgain++
	w.overdueAt = now.Add(2 * pollSlack)
	hold := workload.Hold{Token: w.token, Brief: true}
	c.out.Holds = append(c.out.Holds, HoldOrder{Worker: w.info, Hold: hold, Extra: true})
}

// waitFor is how long a poll may wait for an end. Where a run is expected to end sooner
// than the longest wait, the answer is expected sooner, too, so that its loss shows.
func (c *Core) waitFor(w *worker, now time.Time) time.Duration {
	serving, filling, rising := false, false, false
	wait := holdWait
	for _, r := range w.runs {
		if !r.step.spec.Lasting {
			wait = min(wait, r.untilEnd(now)+endSlack)
		}
		serving = serving || r.step.spec.TargetMS > 0
		filling = filling || r.step.spec.Fills
		rising = rising || r.step.spec.Lasting && r.percent < fullPace && !r.step.spec.Fills
		if !r.confirmed && r.state != runStarting {
			return shortWait
		}
		if r.trial {
			wait = min(wait, max(shortWait, r.task().trialTime()-now.Sub(r.orderedAt)))
		}
	}
	if serving && filling || rising {
		return min(wait, watchWait)
	}
	return wait
}

// untilEnd is how long a run may go on, by estimate. One that has outlasted it may go on
// as long again.
func (r *run) untilEnd(now time.Time) time.Duration {
	rest := estimate(r.step.spec) - now.Sub(r.orderedAt)
	return max(rest, -rest)
}

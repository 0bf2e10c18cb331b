package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// maxListedExits is how many ends one answer lists at most; more follow once
// these are acknowledged.
const maxListedExits = 500

// PollResult is the outcome of a HoldOrder.
type PollResult struct {
	Worker string
	Token  int64
	SentAt time.Time
	Extra  bool // as ordered
	Report workload.PollReport
	Answer workload.WorkerAnswer
}

// HandlePollResult takes the outcome of a poll.
func (c *Core) HandlePollResult(r PollResult, now time.Time) {
	if r.Extra {
		c.extraPollsInFlight--
	}
	w := c.workers[r.Worker]
	if w == nil {
		return
	}
	// An answer that a later one has overtaken says nothing any more: what it lists as
	// running may have ended. Its end, if it lists one, is listed again. Nor does one that
	// was asked for before a restart of the worker was known.
	stale := r.SentAt.Before(w.lastAnsweredPollSentAt) || r.Token < w.token
	if r.Extra {
		w.extraPollsInFlight--
	} else if !stale {
		w.pollInFlight = false
	}
	stale = stale || w.isStaleReport(r)
	if !stale && r.Answer.Status == workload.WorkerOK && w.isOtherIncarnation(r) {
		w.lastAnsweredPollSentAt = r.SentAt
		c.handleRestart(w, r.Report.Incarnation, restartReason(w.incarnation, r.Report.Incarnation), now)
		return
	}
	if r.Token >= w.token {
		w.recordClock(r.Answer.ClockMS, now)
	}
	switch {
	case r.Answer.Status == workload.WorkerFenced:
		c.handleFenced(w, r.Token)
	case r.Answer.Status == workload.WorkerReplaced && r.Token >= w.token:
		c.handleReplaced(w, now)
	case stale:
	case r.Answer.Status == workload.WorkerOK:
		w.lastAnsweredPollSentAt = r.SentAt
		w.lastReportClockMS = r.Answer.ClockMS
		w.pollInFlight = false // the answer of a poll that was sent earlier will be overtaken
		c.handlePollReport(w, r, now)
	default:
		c.handlePollFailure(w, r, now)
	}
}

// isStaleReport tells whether a list was made before the one that was taken last: a poll that
// was sent earlier may have waited longer for its answer.
func (w *worker) isStaleReport(r PollResult) bool {
	return r.Answer.Status == workload.WorkerOK && r.Answer.ClockMS < w.lastReportClockMS && !w.isOtherIncarnation(r)
}

// handlePollFailure takes a poll that got no answer, or none that says anything.
func (c *Core) handlePollFailure(w *worker, r PollResult, now time.Time) {
	w.lastUnansweredPollSentAt = r.SentAt
	w.nextPollAt = now.Add(pollRetryInterval)
	if !w.unreachable {
		if !w.isDrainingAndIdle(now) {
			c.recordDecision(Decision{Verb: "worker-silent", Worker: w.info.ID, Reason: answerReason(r.Answer), Age: now.Sub(w.lastPollAnsweredAt), AlwaysLogged: true})
		}
		w.markUnreachable(now)
		w.nextPollAt = now.Add(firstPollRetryInterval)
	}
	w.connectionRefused = r.Answer.Status == workload.WorkerConnRefused
	if w.connectionRefused {
		c.recordPossibleCrash(w, now)
	}
}

// handleFenced gives up if a later owner has ordered the worker. An order that was
// overtaken by a raise of this owner's own token is simply void.
func (c *Core) handleFenced(w *worker, token int64) {
	if token >= w.token {
		c.StepDown("worker " + w.info.ID + " has seen a higher fencing token")
	}
}

// handleReplaced takes that another incarnation answers at a worker's address: its process
// has ended, and all that it ran. It is not asked again while it is still listed.
func (c *Core) handleReplaced(w *worker, now time.Time) {
	if w.replaced {
		return
	}
	w.replaced = true
	c.handleProcessExit(w, w.runs, now)
}

func (c *Core) handlePollReport(w *worker, r PollResult, now time.Time) {
	c.recordIncarnation(w, r.Report)
	if w.incarnationUnresolved {
		c.resolveIncarnation(w, r.Report, now)
	}
	if !r.Extra {
		w.ackConfirmed = max(w.ackConfirmed, w.ackSent)
	}
	w.lastPollAnsweredAt = now
	w.unreachable = false
	w.connectionRefused = false
	w.entryMismatch = false
	c.retractPossibleCrash(w)
	w.nextPollAt = now.Add(minPollInterval + time.Duration(len(c.sortedWorkers))*pollIntervalPerWorker)
	for _, e := range r.Report.Exited {
		if e.Sequence > w.lastExitSeen {
			w.lastExitSeen = e.Sequence
			c.handleExit(w, e, now)
		}
	}
	switch {
	case w.hasPendingAck() && w.lastExitSeen == w.ackAllowed:
		w.nextPollAt = now
	case len(r.Report.Exited) > 0:
		w.nextPollAt = now.Add(unackedPollInterval)
	}
	for _, listed := range r.Report.Running {
		c.handleListedRun(w, listed, r.SentAt, now)
	}
	if len(r.Report.Exited) < maxListedExits {
		c.handleMissingRuns(w, r, now)
	}
	if !w.synced {
		w.synced = true
		delete(c.unresolvedWorkers, w.info.ID)
		c.withdrawSilentLosses(w)
		c.recordDecision(Decision{Verb: "worker-synced", Worker: w.info.ID, Reason: "answered under the owner's token", Age: now.Sub(w.incarnationFirstSeenAt)})
	}
	c.throttleBestEffort(w, now)
	c.planStale = true
}

// handleListedRun takes a run that a worker lists in answer to a poll sent at a time.
func (c *Core) handleListedRun(w *worker, listed workload.ListedRun, sentAt, now time.Time) {
	r := w.findRun(listed.Task, listed.Run)
	if r == nil {
		r = c.adoptRun(w, listed, now)
		if r == nil {
			return
		}
	}
	if r.state == runStarting || r.state == runUnanswered {
		r.state = runRunning
		r.stateChangedAt = now
	}
	r.startConfirmed = true
	r.confirmedRunning = !sentAt.Before(r.mayBeStoppingUntil)
	r.speedPercent = listed.SpeedPercent
	r.load = listed.Load
	r.checkpoint = listed.Checkpoint
	if listed.Checkpoint != "" {
		r.task().checkpoint = listed.Checkpoint
		r.step.checkpoint = listed.Checkpoint
	}
	c.recordRunProgress(r, sentAt)
	if r.state == runStopping && c.canRetryStop(r, now) {
		c.sendStop(r, now)
	}
}

// adoptRun takes over a run that an earlier owner started. One that is not wanted
// is stopped.
func (c *Core) adoptRun(w *worker, listed workload.ListedRun, now time.Time) *run {
	s, t := c.findTask(listed.Task)
	if s == nil {
		c.orders.Stops = append(c.orders.Stops, StopOrder{Worker: w.info, Task: listed.Task, Run: listed.Run, Token: w.token})
		return nil
	}
	r := &run{step: s, index: listed.Task.Index, number: listed.Run, worker: w, incarnation: w.incarnation, state: runRunning, stateChangedAt: now, orderedAt: now, orderedSpeedPercent: fullSpeedPercent, inherited: true, adopted: true, mayBeStoppingUntil: now.Add(c.settings.MaxStopDuration + stopSlack)}
	if !s.spec.Speculative {
		c.dropEarlierRuns(t, listed.Run)
	}
	others := len(t.runs)
	w.extendLease(now.Add(leaseExpiryDelay(c.settings.LeaseDuration))) // the earlier owner's latest one
	w.addRun(r)
	switch {
	case s.job.finalState.IsTerminal() || t.done:
		c.stopRun(r, "no longer wanted")
	case others > 0 && !s.spec.Speculative:
		c.Counts.DuplicateRuns++
		c.recordDecision(Decision{Verb: "second-run", Job: s.job.id, Task: r.taskKey().String(), Worker: w.info.ID, Run: r.number, Reason: fmt.Sprintf("run %d of the task is on %s", t.runs[0].number, t.runs[0].worker.info.ID), Age: now.Sub(c.tookOverAt), AlwaysLogged: true})
		c.stopRun(r, "runs elsewhere")
	}
	return r
}

// dropEarlierRuns forgets runs of a task that earlier owners left and that nobody has listed, as
// one with a higher number is listed: a task is started anew only once its run before is known
// to be over, though the owner that knew may not have lived to store it.
func (c *Core) dropEarlierRuns(t *task, number int64) {
	for _, r := range slices.Clone(t.runs) {
		if r.number < number && r.state == runUnanswered && (r.inherited || r.restored) {
			c.recordDecision(Decision{Verb: "run-over", Job: r.step.job.id, Task: r.taskKey().String(), Worker: r.worker.info.ID, Run: r.number, Reason: "a later run of the task is listed"})
			c.removeRun(r)
		}
	}
}

// handleMissingRuns looks for runs that the worker no longer lists.
func (c *Core) handleMissingRuns(w *worker, result PollResult, now time.Time) {
	for _, r := range slices.Clone(w.runs) {
		if r.stateChangedAt.After(result.SentAt) || r.state == runStarting || isListed(result.Report.Running, r) {
			continue
		}
		switch {
		case r.state == runUnanswered:
			// The start was not carried out so far. A stop that is answered
			// keeps it from being carried out later.
			c.stopRun(r, "start without an answer")
			c.sendStop(r, now)
		case r.state == runStopping && !r.stopConfirmed:
			c.sendStop(r, now)
		case r.startConfirmed && !r.adopted:
			c.handleUnreadExit(r, now)
		default:
			c.removeRun(r)
		}
	}
}

func isListed(running []workload.ListedRun, r *run) bool {
	return slices.ContainsFunc(running, func(listed workload.ListedRun) bool { return listed.Run == r.number && listed.Task == r.taskKey() })
}

// handleExit takes the end of a run.
func (c *Core) handleExit(w *worker, exit workload.RunExit, now time.Time) {
	runDuration := time.Duration(0)
	if r := w.findRun(exit.Task, exit.Run); r != nil {
		runDuration = now.Sub(r.orderedAt)
		c.removeRun(r)
	}
	s, t := c.findTask(exit.Task)
	if s == nil || s.job.submission == nil {
		return
	}
	if exit.Checkpoint != "" {
		t.checkpoint = exit.Checkpoint
		s.checkpoint = exit.Checkpoint
	}
	w.failures.recordExit(exit.Reason, s, runDuration, now)
	switch {
	case s.job.finalState.IsTerminal() || t.done:
	case exit.Reason == workload.ExitDone && !s.spec.LongRunning:
		c.completeTask(s, t, now)
	case exit.Reason == workload.ExitFailed:
		c.recordFailedRun(w, s, t, exit, now)
	case exit.Reason == workload.ExitLeaseExpired:
		c.Counts.ExpiredRuns++
	}
	c.planStale = true
}

// completeTask marks a task done; of a gang one end stands for all.
func (c *Core) completeTask(s *step, t *task, now time.Time) {
	c.Counts.DoneTasks++
	if s.spec.Gang {
		for i := range s.tasks {
			s.markDone(&s.tasks[i])
		}
	} else {
		s.markDone(t)
	}
	for _, r := range t.runs {
		c.stopRun(r, "another copy is done")
	}
	c.dirtyJobs[s.job.id] = s.job
	if s.doneCount == len(s.tasks) {
		c.requestRerank(s) // the next step's turn has come, and less work is left
	}
	if s.job.remainingTasks == 0 {
		c.completeJob(s.job, workload.Completed, now)
	}
}

// recordFailedRun counts an attempt that failed by its own fault.
func (c *Core) recordFailedRun(w *worker, s *step, t *task, exit workload.RunExit, now time.Time) {
	c.Counts.FailedRuns++
	t.avoidWorker = w.info.ID
	t.avoidUntil = now.Add(avoidWorkerDuration)
	if s.spec.LongRunning {
		return // these have no limit of attempts
	}
	if slices.Contains(t.failedRuns, exit.Run) {
		return
	}
	t.failedRuns = append(t.failedRuns, exit.Run)
	c.dirtyJobs[s.job.id] = s.job
	q := s.job.queue
	maxAttempts := defaultMaxAttempts
	if q != nil && q.MaxAttempts > 0 {
		maxAttempts = q.MaxAttempts
	}
	if s.failedRunCount() >= maxAttempts && s.spec.Gang || len(t.failedRuns) >= maxAttempts {
		c.completeJob(s.job, workload.Failed, now)
	}
}

// avoidWorkerDuration is how long a task that failed on a worker waits for room on others.
// After that it may run there again: its failure may be its own.
const avoidWorkerDuration = time.Second

// defaultMaxAttempts is taken where the queue was removed while its jobs run.
const defaultMaxAttempts = 2

// failedRunCount counts the runs of a gang that failed, each once.
func (s *step) failedRunCount() int {
	seen := map[int64]bool{}
	for i := range s.tasks {
		for _, n := range s.tasks[i].failedRuns {
			seen[n] = true
		}
	}
	return len(seen)
}

package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// maxListedEnds is how many ends one answer lists at most; more follow once
// these are acknowledged.
const maxListedEnds = 500

// HoldResult is the outcome of a HoldOrder.
type HoldResult struct {
	Worker string
	Token  int64
	SentAt time.Time
	Extra  bool // as ordered
	Held   workload.Held
	Answer workload.WorkerAnswer
}

// Held takes the outcome of a poll.
func (c *Core) Held(r HoldResult, now time.Time) {
	if r.Extra {
		c.extraPolls--
	}
	w := c.workers[r.Worker]
	if w == nil {
		return
	}
	// An answer that a later one has overtaken says nothing any more: what it lists as
	// running may have ended. Its end, if it lists one, is listed again. Nor does one that
	// was asked for before a restart of the worker was known.
	overtaken := r.SentAt.Before(w.toldAt) || r.Token < w.token
	if r.Extra {
		w.extraPolls--
	} else if !overtaken {
		w.holding = false
	}
	overtaken = overtaken || w.isOutdated(r)
	if !overtaken && r.Answer.Status == workload.WorkerOK && w.isOther(r) {
		w.toldAt = r.SentAt
		c.restarted(w, r.Held.Born, restartReason(w.born, r.Held.Born), now)
		return
	}
	if r.Token >= w.token {
		w.heard(r.Answer.Clock, now)
	}
	switch {
	case r.Answer.Status == workload.WorkerFenced:
		c.fenced(w, r.Token)
	case r.Answer.Status == workload.WorkerReplaced && r.Token >= w.token:
		c.replaced(w, now)
	case overtaken:
	case r.Answer.Status == workload.WorkerOK:
		w.toldAt = r.SentAt
		w.listedAt = r.Answer.Clock
		w.holding = false // the answer of a poll that was sent earlier will be overtaken
		c.heldOK(w, r, now)
	default:
		c.pollFailed(w, r, now)
	}
}

// isOutdated tells whether a list was made before the one that was taken last: a poll that
// was sent earlier may have waited longer for its answer.
func (w *worker) isOutdated(r HoldResult) bool {
	return r.Answer.Status == workload.WorkerOK && r.Answer.Clock < w.listedAt && !w.isOther(r)
}

// pollFailed takes a poll that got no answer, or none that says anything.
func (c *Core) pollFailed(w *worker, r HoldResult, now time.Time) {
	w.unanswered = r.SentAt
	w.holdAfter = now.Add(holdRetry)
	if !w.unreachable {
		if !w.isVacated(now) {
			c.note(Decision{Verb: "worker-silent", Worker: w.info.ID, Reason: reasonOf(r.Answer), Age: now.Sub(w.answered), Critical: true})
		}
		w.markUnreachable(now)
		w.holdAfter = now.Add(crashRetry)
	}
	w.refuses = r.Answer.Status == workload.WorkerDown
	if w.refuses {
		c.mayHaveCrashed(w, now)
	}
}

// fenced gives up if a later owner has ordered the worker. An order that was
// overtaken by a raise of this owner's own token is simply void.
func (c *Core) fenced(w *worker, token int64) {
	if token >= w.token {
		c.GiveUp("worker " + w.info.ID + " has seen a higher fencing token")
	}
}

// replaced takes that another incarnation answers at a worker's address: its process
// has ended, and all that it ran. It is not asked again while it is still listed.
func (c *Core) replaced(w *worker, now time.Time) {
	if w.ended {
		return
	}
	w.ended = true
	c.processEnded(w, w.runs, now)
}

func (c *Core) heldOK(w *worker, r HoldResult, now time.Time) {
	c.takeBorn(w, r.Held)
	if w.unsettled {
		c.settleIncarnation(w, r.Held, now)
	}
	if !r.Extra {
		w.ackTaken = max(w.ackTaken, w.ackSent)
	}
	w.answered = now
	w.unreachable = false
	w.refuses = false
	w.inDoubt = false
	c.wasCutOff(w)
	w.holdAfter = now.Add(holdPause + time.Duration(len(c.order))*holdPauseEach)
	for _, e := range r.Held.Finished {
		if e.Number > w.seen {
			w.seen = e.Number
			c.ended(w, e, now)
		}
	}
	switch {
	case w.ackOwed() && w.seen == w.acked:
		w.holdAfter = now
	case len(r.Held.Finished) > 0:
		w.holdAfter = now.Add(ackPause)
	}
	for _, row := range r.Held.Running {
		c.listed(w, row, r.SentAt, now)
	}
	if len(r.Held.Finished) < maxListedEnds {
		c.missed(w, r, now)
	}
	if !w.synced {
		w.synced = true
		delete(c.unheld, w.info.ID)
		c.answersAgain(w)
		c.note(Decision{Verb: "worker-synced", Worker: w.info.ID, Reason: "answered under the owner's token", Age: now.Sub(w.since)})
	}
	c.balancePace(w, now)
	c.dirtyPlan = true
}

// listed takes a run that a worker lists in answer to a poll sent at a time.
func (c *Core) listed(w *worker, row workload.RunState, sent, now time.Time) {
	r := w.find(row.Task, row.Run)
	if r == nil {
		r = c.adopt(w, row, now)
		if r == nil {
			return
		}
	}
	if r.state == runStarting || r.state == runUncertain {
		r.state = runRunning
		r.since = now
	}
	r.confirmed = true
	r.sure = !sent.Before(r.doubtUntil)
	r.percent = row.Percent
	r.load = row.Load
	r.checkpoint = row.Checkpoint
	if row.Checkpoint != "" {
		r.task().checkpoint = row.Checkpoint
		r.step.checkpoint = row.Checkpoint
	}
	c.getsOn(r, sent)
	if r.state == runStopping && c.mayStopAgain(r, now) {
		c.sendStop(r, now)
	}
}

// adopt takes over a run that an earlier owner started. One that is not wanted
// is stopped.
func (c *Core) adopt(w *worker, row workload.RunState, now time.Time) *run {
	s, t := c.find(row.Task)
	if s == nil {
		c.out.Stops = append(c.out.Stops, StopOrder{Worker: w.info, Task: row.Task, Run: row.Run, Token: w.token})
		return nil
	}
	r := &run{step: s, index: row.Task.Index, number: row.Run, worker: w, born: w.born, state: runRunning, since: now, orderedAt: now, paced: fullPace, inherited: true, adopted: true, doubtUntil: now.Add(c.cfg.Stop + stopSlack)}
	if !s.spec.Speculative {
		c.dropEarlier(t, row.Run)
	}
	others := len(t.runs)
	w.extendLease(now.Add(lapse(c.cfg.Lease))) // the earlier owner's latest one
	w.add(r)
	switch {
	case s.job.final.Ended() || t.done:
		c.stop(r, "no longer wanted")
	case others > 0 && !s.spec.Speculative:
		c.Counts.SecondRuns++
		c.note(Decision{Verb: "second-run", Job: s.job.id, Task: r.key().String(), Worker: w.info.ID, Run: r.number, Reason: fmt.Sprintf("run %d of the task is on %s", t.runs[0].number, t.runs[0].worker.info.ID), Age: now.Sub(c.startedAt), Critical: true})
		c.stop(r, "runs elsewhere")
	}
	return r
}

// dropEarlier forgets runs of a task that earlier owners left and that nobody has listed, as
// one with a higher number is listed: a task is started anew only once its run before is known
// to be over, though the owner that knew may not have lived to store it.
func (c *Core) dropEarlier(t *task, number int64) {
	for _, r := range slices.Clone(t.runs) {
		if r.number < number && r.state == runUncertain && (r.inherited || r.restored) {
			c.note(Decision{Verb: "run-over", Job: r.step.job.id, Task: r.key().String(), Worker: r.worker.info.ID, Run: r.number, Reason: "a later run of the task is listed"})
			c.remove(r)
		}
	}
}

// missed looks for runs that the worker no longer lists.
func (c *Core) missed(w *worker, res HoldResult, now time.Time) {
	for _, r := range slices.Clone(w.runs) {
		if r.since.After(res.SentAt) || r.state == runStarting || isListed(res.Held.Running, r) {
			continue
		}
		switch {
		case r.state == runUncertain:
			// The start was not carried out so far. A stop that is answered
			// keeps it from being carried out later.
			c.stop(r, "start without an answer")
			c.sendStop(r, now)
		case r.state == runStopping && !r.stopped:
			c.sendStop(r, now)
		case r.confirmed && !r.adopted:
			c.endUnread(r, now)
		default:
			c.remove(r)
		}
	}
}

func isListed(rows []workload.RunState, r *run) bool {
	return slices.ContainsFunc(rows, func(row workload.RunState) bool { return row.Run == r.number && row.Task == r.key() })
}

// ended takes the end of a run.
func (c *Core) ended(w *worker, e workload.RunEnd, now time.Time) {
	took := time.Duration(0)
	if r := w.find(e.Task, e.Run); r != nil {
		took = now.Sub(r.orderedAt)
		c.remove(r)
	}
	s, t := c.find(e.Task)
	if s == nil || s.job.sub == nil {
		return
	}
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
		s.checkpoint = e.Checkpoint
	}
	w.trust.count(e.How, s, took, now)
	switch {
	case s.job.final.Ended() || t.done:
	case e.How == workload.EndDone && !s.spec.Lasting:
		c.done(s, t, now)
	case e.How == workload.EndFailed:
		c.failed(w, s, t, e, now)
	case e.How == workload.EndLapsed:
		c.Counts.Lapsed++
	}
	c.dirtyPlan = true
}

// done marks a task done; of a gang one end stands for all.
func (c *Core) done(s *step, t *task, now time.Time) {
	c.Counts.Done++
	if s.spec.Gang {
		for i := range s.tasks {
			s.finish(&s.tasks[i])
		}
	} else {
		s.finish(t)
	}
	for _, r := range t.runs {
		c.stop(r, "another copy is done")
	}
	c.dirty[s.job.id] = s.job
	if s.done == len(s.tasks) {
		c.rerank(s) // the next step's turn has come, and less work is left
	}
	if s.job.remaining == 0 {
		c.end(s.job, workload.Completed, now)
	}
}

// failed counts an attempt that failed by its own fault.
func (c *Core) failed(w *worker, s *step, t *task, e workload.RunEnd, now time.Time) {
	c.Counts.FailedRuns++
	t.avoid = w.info.ID
	t.avoidUntil = now.Add(avoidFor)
	if s.spec.Lasting {
		return // these have no limit of attempts
	}
	if slices.Contains(t.failed, e.Run) {
		return
	}
	t.failed = append(t.failed, e.Run)
	c.dirty[s.job.id] = s.job
	q := s.job.queue
	attempts := defaultAttempts
	if q != nil && q.MaxAttempts > 0 {
		attempts = q.MaxAttempts
	}
	if s.failures() >= attempts && s.spec.Gang || len(t.failed) >= attempts {
		c.end(s.job, workload.Failed, now)
	}
}

// avoidFor is how long a task that failed on a worker waits for room on others.
// After that it may run there again: its failure may be its own.
const avoidFor = time.Second

// defaultAttempts is taken where the queue was removed while its jobs run.
const defaultAttempts = 2

// failures counts the runs of a gang that failed, each once.
func (s *step) failures() int {
	seen := map[int64]bool{}
	for i := range s.tasks {
		for _, n := range s.tasks[i].failed {
			seen[n] = true
		}
	}
	return len(seen)
}

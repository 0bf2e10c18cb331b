package scheduler

import (
	"fmt"
	"strings"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// HandoverRecords returns the records that the owner must store, all or none, when it stops:
// the submissions and the progress that are not stored yet, and the handover with the remaining runs. It must be
// called after the last Step, as each step may start runs.
//
// The progress is included because a task whose exit this owner has read has no remaining run.
// A next owner that knew only the remaining runs would start the task again immediately.
//
// An owner that does not know all runs of earlier owners yet stores no handover, because the runs
// that it does not know would be missing there.
func (c *Core) HandoverRecords(now time.Time) []workload.Record {
	records := append(c.overwrittenSubmissions(), c.unstoredProgressRecords(now)...)
	records = append(records, c.loanRecords(c.NextWriteSequence())...)
	records = append(records, c.longLeaseRecords()...)
	if c.mayHaveAnyUnknownRuns(now) {
		return records
	}
	h := &workload.Handover{Epoch: c.settings.Epoch}
	for _, w := range c.sortedWorkers {
		if now.Before(w.drainUntil) {
			h.DrainingWorkers = append(h.DrainingWorkers, w.info.ID)
		}
		for _, r := range w.runs {
			h.Runs = append(h.Runs, workload.HandoverRun{
				Worker:         w.info.ID,
				Task:           r.taskKey().String(),
				Run:            r.number,
				Incarnation:    r.incarnation,
				StartConfirmed: r.startConfirmed,
			})
		}
	}
	return append(records, workload.Record{Handover: h})
}

// HandoverRecordsForNextOwner returns the HandoverRecords of an owner that can't store them and
// sends them to the next owner instead. They include the progress of the write in flight, which may
// be missing from the store, too.
func (c *Core) HandoverRecordsForNextOwner(now time.Time) []workload.Record {
	if c.pendingWrite != nil {
		c.longLeases.added = true
		for id := range c.pendingWrite.finalStates {
			if j := c.jobs[id]; j != nil {
				c.dirtyJobs[id] = j
			}
		}
	}
	return c.HandoverRecords(now)
}

// RestoreUnstoredProgress is RestoreProgress for progress that the previous owner could not
// store. This owner stores it, and JobState returns a terminal state only after that.
func (c *Core) RestoreUnstoredProgress(id workload.JobID, progress *workload.Progress) {
	j := c.ensureJob(id)
	storedState := j.storedState
	c.RestoreProgress(id, progress)
	j.storedState = storedState
	c.dirtyJobs[id] = j
}

// unstoredProgressRecords returns the progress of the jobs whose progress must be stored. It replaces the
// submission of a job that has ended. While the job has live runs, or may have unknown ones, a later
// owner needs the whole submission, to know what they reserve.
func (c *Core) unstoredProgressRecords(now time.Time) []workload.Record {
	var records []workload.Record
	runsUnknown := c.hasUnresolvedWorkers(now) || c.hasLongLeaseWorkers(now)
	for _, j := range c.activeJobs {
		if c.dirtyJobs[j.id] != nil {
			records = append(records, workload.Record{Job: j.id, Progress: j.progressToStore()})
			if j.finalState.IsTerminal() && j.liveRuns == 0 && (j.isNew || !runsUnknown) {
				records = append(records, workload.Record{Job: j.id, Submission: j.submission.WithoutWork()})
			}
		}
	}
	return records
}

// RestoreHandover restores the runs of an earlier owner's handover. It must be called once the
// jobs are known. The runs count as live until their worker answers or their leases expire. The
// handover has all runs, so all tasks without a run there may start immediately. Workers that were
// being drained stay closed to starts: a task that started on one would be lost with its VM.
func (c *Core) RestoreHandover(h *workload.Handover, now time.Time) {
	for _, id := range h.DrainingWorkers {
		c.ensureWorker(id, now).drainUntil = now.Add(drainRequestTTL)
	}
	for _, handedOver := range h.Runs {
		key, err := workload.ParseTaskKey(handedOver.Task)
		if err != nil {
			c.recordDecision(Decision{Verb: "ignored", Worker: handedOver.Worker, Reason: "handover: " + err.Error()})
			continue
		}
		s, _ := c.findTask(key)
		if s == nil {
			continue
		}
		w := c.ensureWorker(handedOver.Worker, now)
		if r := w.findRun(key, handedOver.Run); r != nil {
			r.handedOver = true
			r.startConfirmed = handedOver.StartConfirmed // an isolated run, restored from its crash record
			continue
		}
		w.extendLease(now.Add(leaseExpiryDelay(c.settings.LeaseDuration)))
		if !handedOver.StartConfirmed {
			w.lateStartUntil = now.Add(maxOrderDelay)
		}
		state := runUnconfirmed
		if s.job.finalState.IsTerminal() || s.peek(key.Index).done {
			state = runStopping // the earlier owner's stop may not have reached the worker
		}
		w.addRun(&run{
			step:                s,
			index:               key.Index,
			number:              handedOver.Run,
			worker:              w,
			incarnation:         handedOver.Incarnation,
			state:               state,
			stateChangedAt:      now,
			orderedAt:           now,
			orderedSpeedPercent: fullSpeedPercent,
			startConfirmed:      handedOver.StartConfirmed,
			inherited:           true,

			mayBeStoppingUntil: now.Add(c.settings.MaxStopDuration + stopSlack),
		})
	}
}

// logTakeoverComplete logs, once, how long starts had to wait because runs of earlier owners might
// be unknown.
func (c *Core) logTakeoverComplete(now time.Time) {
	if c.takeoverComplete || c.mayHaveAnyUnknownRuns(now) {
		return
	}
	c.takeoverComplete = true
	reason := "all runs of earlier owners are known or their leases have expired"
	if n := c.Counts.EarlyStarts; n > 0 {
		reason += fmt.Sprintf("; %d tasks of new jobs started before", n)
	}
	if ids := c.unresolved.ids(); len(ids) > 0 {
		reason = "the leases of an earlier owner have expired on workers that never answered: " + strings.Join(ids, " ")
	}
	if c.unresolved.mayLackWorkers {
		jobs := c.readyEarlierJobs(now)
		c.Counts.JobsHeldByUnknownWorkers += jobs
		reason = fmt.Sprintf("the leases of an earlier owner have expired; its workers were not known, and %d jobs have waited", jobs)
	}
	c.recordDecision(Decision{Verb: "takeover-complete", Reason: reason, Age: now.Sub(c.tookOverAt)})
}

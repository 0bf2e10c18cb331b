package scheduler

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Orders are the orders of one step. The owner must carry out all of them.
type Orders struct {
	Polls          []PollOrder
	Starts         []StartOrder
	Stops          []StopOrder
	Throttles      []ThrottleOrder
	AdviceRequests []AdviceOrder
	LoanRequests   []LoanOrder
	LoanReplies    []LoanReply
	WorkerCheck    *WorkerCheckOrder // nil if none is due
	Write          *WriteOrder       // nil if nothing must be stored
	Decisions      []Decision
}

// PollOrder polls a worker. Its outcome goes to HandlePollResult.
type PollOrder struct {
	Worker workload.Worker
	Poll   workload.Poll
	// Extra is set for a poll that is sent while the answer of another is overdue.
	Extra bool
	// Probe is set for a poll with a lower token than the worker's.
	Probe bool
}

// StartOrder starts a run. Its outcome goes to HandleStartResult.
type StartOrder struct {
	Worker workload.Worker
	Start  workload.Start
}

// StopOrder stops a run. Its outcome goes to HandleStopResult.
type StopOrder struct {
	Worker workload.Worker
	Task   workload.TaskKey
	Run    int64
	Token  int64
}

// ThrottleOrder sets the speed of a run. Its outcome goes to HandleThrottleResult.
type ThrottleOrder struct {
	Worker       workload.Worker
	Task         workload.TaskKey
	Run          int64
	SpeedPercent int
	Token        int64
}

// AdviceOrder asks which of the workers may run a step. Its outcome goes to
// HandleAdviceResult.
type AdviceOrder struct {
	Step    workload.TaskKey // Index is unused
	Workers []string
}

// WorkerCheckOrder asks the list of VMs which of the workers, none of them registered, have ended. Its outcome goes to
// HandleWorkerCheck.
type WorkerCheckOrder struct {
	Workers []workload.Worker
}

// WriteOrder stores records. The owner must retry it until its outcome is known, then call
// HandleWriteResult. No other write is ordered before.
type WriteOrder struct {
	Sequence   int64 // from 1, without gaps
	Records    []workload.Record
	DeleteJobs []workload.JobID
}

// Decision is one log line of the scheduler.
type Decision struct {
	Verb         string // "placed", "ended", "stopped", ...
	Job          workload.JobID
	Task         string
	Queue        string
	Workspace    string
	Worker       string
	Rack         string
	Run          int64
	Reason       string
	Age          time.Duration // of the subject of the decision
	AlwaysLogged bool          // must be logged even if other lines are dropped
}

func (c *Core) recordDecision(d Decision) { c.orders.Decisions = append(c.orders.Decisions, d) }

// pendingWrite is the write in flight, with the state that it makes durable.
type pendingWrite struct {
	finalStates map[workload.JobID]workload.JobState
	exitMarks   []exitMark
	longLeases  []*longLease
}

// exitMark is the last exit of one incarnation of a worker that a write covers.
type exitMark struct {
	worker       *worker
	token        int64 // of that incarnation
	lastExitSeen int64
}

// minWriteInterval is the shortest time between two writes. Hundreds of tasks may end each
// second, and a worker is not polled again within minPollInterval anyway. The end of a job is
// stored immediately, as its caller waits for it.
const minWriteInterval = 20 * time.Millisecond

// orderWrite orders a write of all changed records, one write at a time. Exits that arrive
// during a write share the next one, which bounds the number of writes.
func (c *Core) orderWrite(now time.Time) {
	if c.pendingWrite != nil {
		return
	}
	if now.Before(c.lastWriteAt.Add(minWriteInterval)) && !c.hasUnstoredJobEnd() && !c.loansGrown && !c.longLeases.added {
		return
	}
	if len(c.dirtyJobs) == 0 && len(c.overwrittenJobs) == 0 && len(c.jobsToDelete) == 0 && !c.loansGrown && !c.settledCapsUnstored && !c.longLeases.added && c.lastWriteSeq > 0 {
		// Exits that changed no job need no record.
		for _, w := range c.sortedWorkers {
			w.allowAck(w.lastExitSeen)
		}
		return
	}
	c.lastWriteSeq++
	c.lastWriteAt = now
	c.pendingWrite = &pendingWrite{finalStates: map[workload.JobID]workload.JobState{}}
	order := &WriteOrder{Sequence: c.lastWriteSeq, DeleteJobs: c.jobsToDelete}
	if c.lastWriteSeq == 1 {
		// Once this owner starts tasks the handover of the previous owner is incomplete.
		order.Records = append(order.Records, workload.Record{Takeover: &workload.Takeover{Epoch: c.settings.Epoch, Address: c.settings.Address, InLogOrder: c.settings.EarlierOwnersInLogOrder}})
	}
	order.Records = append(order.Records, c.overwrittenSubmissions()...)
	order.Records = append(order.Records, c.unstoredProgressRecords(now)...)
	order.Records = append(order.Records, c.loanRecords(order.Sequence)...)
	order.Records = append(order.Records, c.longLeaseRecords()...)
	c.longLeases.added, c.longLeases.ended = false, false
	for _, l := range c.longLeases.byWorker {
		c.pendingWrite.longLeases = append(c.pendingWrite.longLeases, l)
	}
	for id, j := range c.dirtyJobs {
		c.pendingWrite.finalStates[id] = j.finalState
	}
	for _, w := range c.sortedWorkers {
		c.pendingWrite.exitMarks = append(c.pendingWrite.exitMarks, exitMark{worker: w, token: w.token, lastExitSeen: w.lastExitSeen})
	}
	clear(c.dirtyJobs)
	c.overwrittenJobs = nil
	c.jobsToDelete = nil
	c.orders.Write = order
}

// hasUnstoredJobEnd reports whether the final state of a job waits to be stored.
func (c *Core) hasUnstoredJobEnd() bool {
	for _, j := range c.dirtyJobs {
		if j.finalState.IsTerminal() {
			return true
		}
	}
	return false
}

// NoWriteInFlight reports whether no write is in flight.
func (c *Core) NoWriteInFlight() bool { return c.pendingWrite == nil }

// NextWriteSequence returns the sequence of the next write.
func (c *Core) NextWriteSequence() int64 { return c.lastWriteSeq + 1 }

// HandleWriteResult records that the write in flight is stored.
func (c *Core) HandleWriteResult() {
	if c.pendingWrite == nil {
		return
	}
	for id, final := range c.pendingWrite.finalStates {
		if j := c.jobs[id]; j != nil && final.IsTerminal() {
			j.storedState = final
		}
	}
	for _, mark := range c.pendingWrite.exitMarks {
		if mark.worker.token == mark.token {
			mark.worker.allowAck(mark.lastExitSeen)
		}
	}
	for _, l := range c.pendingWrite.longLeases {
		if !l.isStored {
			l.isStored = true
			c.planStale = true
		}
	}
	c.pendingWrite = nil
	c.storedWriteSeq = c.lastWriteSeq
	if c.crashWritePending {
		c.crashWritePending = false
		c.planStale = true
		c.ranking.tryAll = true // suspects may start even if their service has no free capacity for other tasks
	}
	c.takeoverStored = true
}

// StepDown ends the ownership for the given reason. Only the first reason counts.
func (c *Core) StepDown(reason string) {
	if c.stepDownReason == "" {
		c.stepDownReason = reason
	}
}

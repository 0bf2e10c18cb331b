package scheduler

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Orders are what is due, all to be carried out by the owner's process.
type Orders struct {
	Polls          []PollOrder
	Starts         []StartOrder
	Stops          []StopOrder
	Throttles      []ThrottleOrder
	AdviceRequests []AdviceOrder
	Write          *WriteOrder // nil if nothing is to be stored
	Decisions      []Decision
}

// PollOrder renews the leases of a worker and polls it. Its outcome goes to Held.
type PollOrder struct {
	Worker workload.Worker
	Poll   workload.Poll
	// Extra is set for a poll beside one whose answer is overdue.
	Extra bool
}

// StartOrder starts a run. Its outcome goes to Started.
type StartOrder struct {
	Worker workload.Worker
	Start  workload.Start
}

// StopOrder stops a run. Its outcome goes to Stopped.
type StopOrder struct {
	Worker workload.Worker
	Task   workload.TaskKey
	Run    int64
	Token  int64
}

// ThrottleOrder slows a run down or lets it go.
type ThrottleOrder struct {
	Worker       workload.Worker
	Task         workload.TaskKey
	Run          int64
	SpeedPercent int
	Token        int64
}

// AdviceOrder asks which of the workers may run a step. Its outcome goes to
// Advised.
type AdviceOrder struct {
	Step    workload.TaskKey // Index is of no meaning
	Workers []string
}

// WriteOrder stores records. It is to be tried until its outcome is known, and
// then reported to Written; no other write is ordered meanwhile.
type WriteOrder struct {
	Sequence   int64 // from 1, without gaps
	Records    []workload.Record
	DeleteJobs []workload.JobID
}

// Decision is one line of the log: what was decided, on what.
type Decision struct {
	Verb         string // "placed", "ended", "stopped", ...
	Job          workload.JobID
	Task         string
	Queue        string
	Worker       string
	Run          int64
	Reason       string
	Age          time.Duration // of what was decided on
	AlwaysLogged bool          // to be logged also where lines are left out
}

func (c *Core) recordDecision(d Decision) { c.orders.Decisions = append(c.orders.Decisions, d) }

// pendingWrite is one that is under way, with what it makes true.
type pendingWrite struct {
	finalStates map[workload.JobID]workload.JobState
	exitMarks   []exitMark
}

// exitMark is how far the ends of one incarnation of a worker were read.
type exitMark struct {
	worker       *worker
	token        int64 // at that incarnation
	lastExitSeen int64
}

// minWriteInterval is the shortest time between two writes. The ends of tasks come by
// the hundred a second, and a worker is not polled again within holdPause
// anyway; a job that has ended is stored at once, as its caller waits for it.
const minWriteInterval = 20 * time.Millisecond

// orderWrite orders the storing of what has changed, one write at a time. Ends that
// come meanwhile go together into the next, which bounds the calls.
func (c *Core) orderWrite(now time.Time) {
	if c.pendingWrite != nil {
		return
	}
	if now.Before(c.lastWriteAt.Add(minWriteInterval)) && !c.hasUnstoredCompletion() {
		return
	}
	if len(c.dirtyJobs) == 0 && len(c.jobsToDelete) == 0 && c.lastWriteSeq > 0 {
		// What ended without changing a job needs no record.
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
		// From here on the handover of the owner before says too little.
		order.Records = append(order.Records, workload.Record{Takeover: &workload.Takeover{Epoch: c.settings.Epoch, Address: c.settings.Address}})
	}
	order.Records = append(order.Records, c.unstoredProgressRecords()...)
	for id, j := range c.dirtyJobs {
		c.pendingWrite.finalStates[id] = j.finalState
	}
	for _, w := range c.sortedWorkers {
		c.pendingWrite.exitMarks = append(c.pendingWrite.exitMarks, exitMark{worker: w, token: w.token, lastExitSeen: w.lastExitSeen})
	}
	clear(c.dirtyJobs)
	c.jobsToDelete = nil
	c.orders.Write = order
}

// hasUnstoredCompletion tells whether the end of a job waits to be stored.
func (c *Core) hasUnstoredCompletion() bool {
	for _, j := range c.dirtyJobs {
		if j.finalState.IsTerminal() {
			return true
		}
	}
	return false
}

// NoWriteInFlight tells whether no write is under way.
func (c *Core) NoWriteInFlight() bool { return c.pendingWrite == nil }

// NextWriteSequence is the sequence of the write that would follow.
func (c *Core) NextWriteSequence() int64 { return c.lastWriteSeq + 1 }

// HandleWriteResult reports that the write under way is stored.
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
	c.pendingWrite = nil
	c.storedWriteSeq = c.lastWriteSeq
	if c.suspectWritePending {
		c.suspectWritePending = false
		c.planStale = true
		c.ranking.tryAll = true // also where their service has no room for others
	}
	c.takeoverStored = true
}

// StepDown ends the ownership: a later owner has fenced this one.
func (c *Core) StepDown(reason string) {
	if c.stepDownReason == "" {
		c.stepDownReason = reason
	}
}

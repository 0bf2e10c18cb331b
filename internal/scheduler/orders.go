package scheduler

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Orders are what is due, all to be carried out by the owner's process.
type Orders struct {
	Holds     []HoldOrder
	Starts    []StartOrder
	Stops     []StopOrder
	Paces     []PaceOrder
	Advise    []AdviseOrder
	Write     *WriteOrder // nil if nothing is to be stored
	Decisions []Decision
}

// HoldOrder renews the leases of a worker and polls it. Its outcome goes to Held.
type HoldOrder struct {
	Worker workload.Worker
	Hold   workload.Hold
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

// PaceOrder slows a run down or lets it go.
type PaceOrder struct {
	Worker  workload.Worker
	Task    workload.TaskKey
	Run     int64
	Percent int
	Token   int64
}

// AdviseOrder asks which of the workers may run a step. Its outcome goes to
// Advised.
type AdviseOrder struct {
	Step    workload.TaskKey // Index is of no meaning
	Workers []string
}

// WriteOrder stores records. It is to be tried until its outcome is known, and
// then reported to Written; no other write is ordered meanwhile.
type WriteOrder struct {
	Sequence int64 // from 1, without gaps
	Records  []workload.Record
	Delete   []workload.JobID
}

// Decision is one line of the log: what was decided, on what.
type Decision struct {
	Verb     string // "placed", "ended", "stopped", ...
	Job      workload.JobID
	Task     string
	Queue    string
	Worker   string
	Run      int64
	Reason   string
	Age      time.Duration // of what was decided on
	Critical bool          // to be logged also where lines are left out
}

func (c *Core) note(d Decision) { c.out.Decisions = append(c.out.Decisions, d) }

// write is one that is under way, with what it makes true.
type write struct {
	jobs map[workload.JobID]workload.State
	ends []readEnds
}

// readEnds is how far the ends of one incarnation of a worker were read.
type readEnds struct {
	worker *worker
	token  int64 // at that incarnation
	number int64
}

// writePause is the shortest time between two writes. The ends of tasks come by
// the hundred a second, and a worker is not polled again within holdPause
// anyway; a job that has ended is stored at once, as its caller waits for it.
const writePause = 20 * time.Millisecond

// write orders the storing of what has changed, one write at a time. Ends that
// come meanwhile go together into the next, which bounds the calls.
func (c *Core) write(now time.Time) {
	if c.writing != nil {
		return
	}
	if now.Before(c.wroteAt.Add(writePause)) && !c.endedJob() {
		return
	}
	if len(c.dirty) == 0 && len(c.expired) == 0 && c.writeSeq > 0 {
		// What ended without changing a job needs no record.
		for _, w := range c.order {
			w.noted(w.seen)
		}
		return
	}
	c.writeSeq++
	c.wroteAt = now
	c.writing = &write{jobs: map[workload.JobID]workload.State{}}
	order := &WriteOrder{Sequence: c.writeSeq, Delete: c.expired}
	if c.writeSeq == 1 {
		// From here on the handover of the owner before says too little.
		order.Records = append(order.Records, workload.Record{Takeover: &workload.Takeover{Epoch: c.cfg.Epoch, Address: c.cfg.Address}})
	}
	order.Records = append(order.Records, c.dirtyRecords()...)
	for id, j := range c.dirty {
		c.writing.jobs[id] = j.final
	}
	for _, w := range c.order {
		c.writing.ends = append(c.writing.ends, readEnds{worker: w, token: w.token, number: w.seen})
	}
	clear(c.dirty)
	c.expired = nil
	c.out.Write = order
}

// endedJob tells whether the end of a job waits to be stored.
func (c *Core) endedJob() bool {
	for _, j := range c.dirty {
		if j.final.Ended() {
			return true
		}
	}
	return false
}

// Recorded tells whether no write is under way.
func (c *Core) Recorded() bool { return c.writing == nil }

// NextSequence is the sequence of the write that would follow.
func (c *Core) NextSequence() int64 { return c.writeSeq + 1 }

// Written reports that the write under way is stored.
func (c *Core) Written() {
	if c.writing == nil {
		return
	}
	for id, final := range c.writing.jobs {
		if j := c.jobs[id]; j != nil && final.Ended() {
			j.shown = final
		}
	}
	for _, read := range c.writing.ends {
		if read.worker.token == read.token {
			read.worker.noted(read.number)
		}
	}
	c.writing = nil
	c.storedSeq = c.writeSeq
	if c.suspectsWait {
		c.suspectsWait = false
		c.dirtyPlan = true
		c.ranking.whole = true // also where their service has no room for others
	}
	c.opened = true
}

// GiveUp ends the ownership: a later owner has fenced this one.
func (c *Core) GiveUp(reason string) {
	if c.lost == "" {
		c.lost = reason
	}
}

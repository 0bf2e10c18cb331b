package scheduler

import (
	"fmt"
	"math"
	"slices"

	"github.com/yuccadrift/yuccadrift/internal/logorder"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// An owner starts a job only once it knows the partition up to a record of the job and has found no fence
// or takeover of a later owner before it. So no earlier owner has ever started a job whose records all
// lie behind this owner's fence: such a job is new, and starts while runs of earlier owners on workers that
// have not answered yet are still unknown. docs/design/takeovers.md has the argument.

// logPosition is what the owner knows of the order of its partition's records.
type logPosition struct {
	known logorder.Prefix
	// fenceOffset and takeoverOffset are the offsets of the records of this owner's fence and takeover, if
	// isFenceKnown and isTakeoverKnown are set.
	fenceOffset, takeoverOffset   int64
	isFenceKnown, isTakeoverKnown bool
	// unordered are the jobs with a record beyond known. They are shown and counted, but not started.
	unordered []*job
}

// SetLogEnd records that the partition is known up to an offset, from its newest records.
func (c *Core) SetLogEnd(end int64) { c.ExtendLog(c.log.known.End(), end) }

// AddSnapshotJob adds a job of the snapshot with which the owner begins. Its newest record is at an offset,
// and it may have one before the owner's fence, so that it never counts as new.
func (c *Core) AddSnapshotJob(id workload.JobID, submission *workload.Submission, offset int64) {
	c.ensureJob(id).inSnapshot = true
	c.AddLoggedJob(id, submission, offset)
}

// AddLoggedJob adds a stored job whose record is at an offset of the partition.
func (c *Core) AddLoggedJob(id workload.JobID, submission *workload.Submission, offset int64) {
	j := c.ensureJob(id)
	switch {
	case j.submission == nil:
		c.AddJob(id, submission)
		j.isOrdered = false
		j.logOffset = offset
		c.log.unordered = append(c.log.unordered, j)
	case j.isOrdered:
		c.keepFirstSubmission(j, submission)
		return
	default:
		c.keepFirstSubmission(j, submission)
		j.logOffset = min(j.logOffset, offset)
	}
	if offset < c.log.known.End() {
		c.orderJobs()
	}
}

// HandleFenceRecord handles the record of an owner's fence that was read at an offset. If a later owner has
// fenced the partition, this one steps down: what lies behind the record is not its to start.
func (c *Core) HandleFenceRecord(epoch, offset int64) {
	c.stepDownForLaterOwner(epoch)
	if epoch == c.settings.Epoch {
		c.log.fenceOffset, c.log.isFenceKnown = offset, true
	}
}

// HandleTakeoverRecord handles the record of a takeover as HandleFenceRecord does that of a fence. Owners of
// earlier versions store no record of their fence.
func (c *Core) HandleTakeoverRecord(epoch, offset int64) {
	c.stepDownForLaterOwner(epoch)
	if epoch == c.settings.Epoch {
		c.log.takeoverOffset, c.log.isTakeoverKnown = offset, true
	}
}

func (c *Core) stepDownForLaterOwner(epoch int64) {
	if epoch > c.settings.Epoch {
		c.StepDown(fmt.Sprintf("the owner of epoch %d has taken the partition over", epoch))
	}
}

// ExtendLog records that all records from offset from on, up to but without to, are known: they were
// read and applied, or this node has stored them.
func (c *Core) ExtendLog(from, to int64) {
	c.log.known.Add(from, to)
	c.orderJobs()
}

// HandleWrittenSpan records the offsets of a stored write, 0 and 0 if they are unknown.
func (c *Core) HandleWrittenSpan(w WriteOrder, from, to int64) {
	for i, r := range w.Records {
		if r.Takeover == nil || c.log.isTakeoverKnown {
			continue
		}
		offset := from + int64(i)
		if to <= from {
			offset = math.MaxInt64 // until it is read
		}
		c.HandleTakeoverRecord(r.Takeover.Epoch, offset)
	}
	c.ExtendLog(from, to)
}

// knowsEarlierRecords reports whether the partition is known up to this owner's takeover: also the jobs that an
// earlier owner of a version that starts jobs out of order can have started.
func (c *Core) knowsEarlierRecords() bool {
	return c.takeoverStored && (!c.log.isTakeoverKnown || c.log.known.End() > c.log.takeoverOffset)
}

// namesUnreadJob reports whether a worker's report names a job that may be stored and was not read yet.
func (c *Core) namesUnreadJob(report workload.PollReport) bool {
	if c.knowsEarlierRecords() {
		return false
	}
	isUnread := func(k workload.TaskKey) bool {
		j := c.jobs[k.Job]
		return j == nil || j.submission == nil
	}
	return slices.ContainsFunc(report.Running, func(r workload.ListedRun) bool { return isUnread(r.Task) }) ||
		slices.ContainsFunc(report.Exited, func(e workload.RunExit) bool { return isUnread(e.Task) })
}

// HasUnorderedJobs reports whether jobs wait until the partition is known up to their records.
func (c *Core) HasUnorderedJobs() bool { return len(c.log.unordered) > 0 }

// orderJobs releases the jobs whose records lie in the known beginning of the partition.
func (c *Core) orderJobs() {
	l := &c.log
	l.unordered = slices.DeleteFunc(l.unordered, func(j *job) bool {
		if j.logOffset >= l.known.End() {
			return false
		}
		j.isOrdered = true
		j.isNew = l.isFenceKnown && j.logOffset > l.fenceOffset && !j.inSnapshot && j.restoredProgress == nil
		c.planStale = true
		return true
	})
}

package jobrunner

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/usage"
)

// Times of one task.
const (
	// firstRetry and maxRetry bound the pause between attempts of one action.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 2 * time.Second
	// firstStatusPause is the time from a start to the first status read, so
	// that a worker on which every task fails is noticed quickly. Each read
	// doubles the pause. Once the pause exceeds the renewal interval, renewals
	// report ended tasks.
	firstStatusPause = time.Second
	// statusMargin is the time from the expected end of a task to a status
	// read.
	statusMargin = 200 * time.Millisecond
	// renewFraction divides the lease: a task is renewed first after
	// lease/renewFraction.
	renewFraction = 3
	// maxRefusals bounds the refused starts in a row on one worker, as when a
	// checkpoint is lost. After more, a refused job ends as failed.
	maxRefusals = 20
)

// task is the core's own state about the current placement of a job.
type task struct {
	id      string // task ID on the platform
	job     string
	placeID string
	worker  string
	shape   usage.Shape
	// ownPlacement is set if this process wrote the placement.
	ownPlacement bool
	firstSeenAt  time.Time // when this process first saw the placement
	submitted    time.Time
	urgent       bool
	// known is set when the platform has first reported the task; verifiedAt is
	// when it last did.
	known      bool
	verifiedAt time.Time
	// startSent is set when a start may have reached the platform,
	// startUncertain when a start got no reply.
	startSent      bool
	startUncertain bool
	refusalReason  string // the platform's reason for the last refused start
	// missingSince is when the platform was first found not to know the task.
	missingSince time.Time
	ended        *platform.TaskStatus

	renewedAt    time.Time
	statusReadAt time.Time
	statusPause  time.Duration
	retryAt      time.Time
	retryPause   time.Duration
	peak         ledger.Resources
}

// TaskID returns the platform's ID of an attempt of a job. Each attempt is a
// task of its own; a start of the same attempt that is sent again keeps the ID.
func TaskID(job string, attempt int) string { return job + "." + strconv.Itoa(attempt) }

// task returns the task of a placed job; each placement gets a new one.
func (c *Core) task(j *ledger.Job, now time.Time) *task {
	if t, ok := c.tasks[j.ID]; ok && t.placeID == j.PlaceID {
		return t
	}
	t := &task{
		id:           TaskID(j.ID, j.Attempt),
		job:          j.ID,
		placeID:      j.PlaceID,
		worker:       j.Worker,
		shape:        usage.ShapeOf(j.Spec),
		ownPlacement: c.isOwnRecord(j.PlaceID),
		firstSeenAt:  now,
		submitted:    j.SubmittedAt,
		urgent:       j.Spec.Urgent,
		statusPause:  firstStatusPause,
	}
	c.tasks[j.ID] = t
	return t
}

// backOff delays the next attempt of the task's action.
func (t *task) backOff(now time.Time) {
	t.retryPause = min(max(firstRetry, 2*t.retryPause), maxRetry)
	t.retryAt = now.Add(t.retryPause)
}

// drivePool runs the placed jobs of a pool. The steward that placed a job
// starts it whatever its rank; other work on tasks falls to the first
// leaseRenewers stewards.
func (c *Core) drivePool(st *ledger.State, pool string, rank int, mayDecide bool, now time.Time) {
	svc := st.Services[pool]
	lease := leaseOf(svc)
	byWorker := map[string][]*task{}
	var placed []*ledger.Job
	for _, j := range st.PoolJobs(pool) {
		if j.Status == ledger.JobPlaced && (rank < leaseRenewers || c.hasOwnDecision(j)) {
			placed = append(placed, j)
		}
	}
	slices.SortFunc(placed, byID)
	for _, j := range placed {
		t := c.task(j, now)
		c.driveJob(st, j, t, rank, lease, mayDecide, now)
		byWorker[j.Worker] = append(byWorker[j.Worker], t)
	}
	for _, id := range slices.Sorted(maps.Keys(byWorker)) {
		c.renewLeases(st, id, byWorker[id], rank, lease, now)
	}
}

// hasOwnDecision reports whether this process wrote a decision about the job
// that is not carried out yet.
func (c *Core) hasOwnDecision(j *ledger.Job) bool {
	if j.Preempt != nil && c.isOwnRecord(j.Preempt.ID) && c.appliedPreemptions[j.Preempt.ID] == "" {
		return true
	}
	t := c.tasks[j.ID]
	return c.isOwnRecord(j.PlaceID) && (t == nil || !t.known)
}

// isOwnRecord reports whether this process wrote the record.
func (c *Core) isOwnRecord(id string) bool {
	_, ok := c.ownRecords[id]
	return ok
}

func leaseOf(svc *ledger.Service) time.Duration {
	if svc == nil || svc.Doc.Jobs.Lease <= 0 {
		return defaultLease
	}
	return svc.Doc.Jobs.Lease
}

// driveJob carries out the next step of a placed job.
func (c *Core) driveJob(st *ledger.State, j *ledger.Job, t *task, rank int, lease time.Duration, mayDecide bool, now time.Time) {
	switch {
	case t.ended != nil:
		c.proposeEnd(st, j, t, jobEndOf(j, t), rank, now)
	case !t.known:
		c.startTask(st, j, t, rank, lease, mayDecide, now)
	case j.CancelAsked:
		c.stopTask(j, t, rank, now)
	case j.Preempt != nil && c.appliedPreemptions[j.Preempt.ID] == "":
		c.preemptTask(j, t, rank, now)
	}
	c.endLostTask(st, j, t, rank, lease, now)
}

// startTask starts a placed job that the platform has not reported yet.
//
// A start is sent only by the steward that wrote the placement, unless the job
// is repeatable. That steward knows of every start that was ever sent. If all
// of them were refused, the job certainly did not run and may be placed again.
// Any other steward that finds no task must treat the outcome as unknown: a
// start of the first steward may still arrive.
func (c *Core) startTask(st *ledger.State, j *ledger.Job, t *task, rank int, lease time.Duration, mayDecide bool, now time.Time) {
	if t.ownPlacement && !t.startSent && j.CancelAsked && !c.busyKeys["task/"+t.id] {
		c.proposeEnd(st, j, t, record.JobEnd{Result: record.JobNotStarted, Reason: j.Reason}, 0, now)
		return
	}
	if t.refusalReason != "" && (!t.startUncertain || j.Spec.Repeatable) {
		c.proposeEnd(st, j, t, c.refusedEnd(t), rankUnlessOwn(rank, t.ownPlacement), now)
		return
	}
	if j.CancelAsked || !mayDecide || now.Before(t.retryAt) {
		return
	}
	if !t.ownPlacement && (!j.Spec.Repeatable || !c.responsibleFor("start/"+t.placeID, rank, now)) {
		return
	}
	lane := LaneTasks
	if j.Spec.Urgent {
		lane = LaneUrgent
	}
	c.emit(Action{
		Verb:    VerbStart,
		Lane:    lane,
		Key:     "task/" + t.id,
		Job:     j.ID,
		Task:    t.id,
		Worker:  j.Worker,
		PlaceID: j.PlaceID,
		Op:      platform.Operation{ID: j.PlaceID, Fence: platform.Offset(j.Fence)},
		Spec: platform.TaskSpec{
			ID:           t.id,
			Job:          j.ID,
			Worker:       j.Worker,
			Cores:        float64(j.MilliCores) / milli,
			MemoryMB:     j.MemoryMB,
			Accelerators: j.Spec.Accelerators,
			Lease:        lease,
			Work:         j.Spec.RunTime,
			Checkpoint:   j.Checkpoint,
			Declared:     platform.Size{Cores: float64(j.Spec.MilliCores) / milli, MemoryMB: j.Spec.MemoryMB},
		},
	})
}

func (c *Core) refusedEnd(t *task) record.JobEnd {
	if c.worker(t.worker).refusals > maxRefusals {
		return record.JobEnd{Result: record.JobFailed, Reason: "the platform keeps refusing the start: " + t.refusalReason}
	}
	return record.JobEnd{Result: record.JobNotStarted, Reason: t.refusalReason}
}

func rankUnlessOwn(rank int, own bool) int {
	if own {
		return 0
	}
	return rank
}

// stopTask stops the task of a cancelled job. The platform carries an operation
// out once, so after a lost reply it is sent again.
func (c *Core) stopTask(j *ledger.Job, t *task, rank int, now time.Time) {
	if now.Before(t.retryAt) || !c.responsibleFor("stop/"+j.CancelID, rank, now) {
		return
	}
	c.emit(Action{
		Verb:    VerbStop,
		Lane:    LaneTasks,
		Key:     "task/" + t.id,
		Job:     j.ID,
		Task:    t.id,
		Worker:  j.Worker,
		PlaceID: j.PlaceID,
		Op:      platform.Operation{ID: j.CancelID, Fence: platform.Offset(j.CancelFence)},
	})
}

// preemptTask carries out a preemption on the task: a checkpoint, a throttle or
// a restore.
func (c *Core) preemptTask(j *ledger.Job, t *task, rank int, now time.Time) {
	if now.Before(t.retryAt) || !c.isOwnRecord(j.Preempt.ID) && !c.responsibleFor("preempt/"+j.Preempt.ID, rank, now) {
		return
	}
	a := Action{
		Verb:    VerbThrottle,
		Lane:    LaneUrgent,
		Key:     "task/" + t.id,
		Job:     j.ID,
		Task:    t.id,
		Worker:  j.Worker,
		PlaceID: j.PlaceID,
		Op:      platform.Operation{ID: j.Preempt.ID, Fence: platform.Offset(j.Preempt.Fence)},
		Share:   1,
	}
	if j.Preempt.Action == record.PreemptCheckpoint {
		a.Verb = VerbCheckpoint
	} else if j.FullMilliCores > 0 {
		a.Share = float64(j.MilliCores) / float64(j.FullMilliCores)
	}
	c.emit(a)
}

// jobEndOf converts the platform's final status of a task into a job's end.
func jobEndOf(j *ledger.Job, t *task) record.JobEnd {
	e := record.JobEnd{Reason: t.ended.Reason}
	switch t.ended.Phase {
	case platform.TaskSucceeded:
		e.Result = record.JobSucceeded
	case platform.TaskCheckpointed:
		e.Result, e.Checkpoint = record.JobPreempted, t.ended.Checkpoint
	case platform.TaskStopped:
		e.Result = record.JobStopped
	case platform.TaskExpired:
		e.Result = record.JobLapsed
	default:
		e.Result = record.JobFailed
	}
	if j.MilliCores == j.FullMilliCores {
		e.PeakMilliCores = t.peak.MilliCores
	}
	e.PeakMemoryMB = t.peak.MemoryMB
	return e
}

// proposeEnd proposes the end of a placement. An end that a preemption of this
// process caused is due at once, since urgent work waits for the capacity.
func (c *Core) proposeEnd(st *ledger.State, j *ledger.Job, t *task, body record.JobEnd, rank int, now time.Time) {
	if j.Preempt != nil && c.isOwnRecord(j.Preempt.ID) {
		rank = 0
	}
	if c.responsibleFor("end/"+t.placeID, rank, now) {
		c.propose(st, jobSubject(j.ID), body, now)
	}
}

// endLostTask ends a placement whose task the platform does not know, once no
// start that is still in transit and no lease can be live any more. The outcome
// of the job is unknown, so a job that is not repeatable is not started again.
func (c *Core) endLostTask(st *ledger.State, j *ledger.Job, t *task, rank int, lease time.Duration, now time.Time) {
	if t.ended != nil || t.missingSince.IsZero() || now.Sub(t.missingSince) < lease || now.Sub(t.firstSeenAt) < lease {
		return
	}
	reason := "the platform no longer knows the task; how it ended is unknown"
	if !t.known {
		reason = "the steward that placed the job is gone; whether the job started is unknown"
	}
	c.proposeEnd(st, j, t, record.JobEnd{Result: record.JobLapsed, Reason: reason}, rankUnlessOwn(rank, t.ownPlacement), now)
}

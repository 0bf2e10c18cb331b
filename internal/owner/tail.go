package owner

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/joblog"
	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/wait"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// decode decodes the records of a batch. It logs those that can't be decoded and skips them.
func (o *Owner) decode(batch platform.Batch) []workload.Record {
	records, bad := joblog.Decode(batch)
	for _, err := range bad {
		o.logger.Error("stored record can't be decoded and is skipped", "error", err)
	}
	return records
}

// applyRecords applies records of callers' requests, and of owners' fences and takeovers, to the core. It
// stops at those of a later owner. addJob adds a job whose record is at an offset. A record may be applied
// more than once.
func applyRecords(core *scheduler.Core, records []workload.Record, addJob func(workload.JobID, *workload.Submission, int64), now time.Time) {
	for _, r := range records {
		switch {
		case r.Submission != nil:
			addJob(r.Job, r.Submission, r.Offset)
		case r.Cancel:
			core.CancelJob(r.Job, r.CancelledBy, now)
		case r.Takeover != nil:
			core.HandleTakeoverRecord(r.Takeover.Epoch, r.Offset)
		case r.Fence != nil:
			core.HandleFenceRecord(r.Fence.Epoch, r.Offset)
		}
		if core.StepDownReason() != "" {
			return
		}
	}
}

// applyRead applies records that were read from offset from up to next, before which all is known. It
// returns false if not all of them were applied because a later owner has taken the partition over.
func applyRead(core *scheduler.Core, records []workload.Record, from, next int64, now time.Time) bool {
	applyRecords(core, records, core.AddLoggedJob, now)
	if core.StepDownReason() != "" {
		return false
	}
	core.ExtendLog(from, next)
	return true
}

// unknownOffset is beyond all offsets.
const unknownOffset = math.MaxInt64

// HandleStored applies records that this node has stored at the offsets of span, which is empty if they
// are unknown. The tail reads them as well; HandleStored makes them known some milliseconds earlier, or
// some hundred milliseconds if the store is slow. If the inbox is full they are left to the tail.
func (o *Owner) HandleStored(span platform.Span, records []workload.Record) {
	located := slices.Clone(records)
	for i := range located {
		located[i].Offset = unknownOffset
		if span.From < span.To {
			located[i].Offset = span.From + int64(i)
		}
	}
	select {
	case o.inbox <- newEvent(func(c *scheduler.Core, now time.Time) {
		applyRecords(c, located, c.AddLoggedJob, now)
		c.ExtendLog(span.From, span.To)
	}):
	default:
		o.logger.Debug("records are left to the tail, the inbox is full", "records", len(records))
	}
}

// restoreProgress restores the progress that earlier owners stored. It skips jobs in
// reported, of which the predecessor has reported later progress. It is not used for
// records that the tail reads back: the core's own state is newer than those.
func restoreProgress(core *scheduler.Core, records []workload.Record, reported map[workload.JobID]*workload.Progress) {
	for _, r := range records {
		if r.Progress != nil && reported[r.Job] == nil {
			core.RestoreProgress(r.Job, r.Progress)
		}
	}
}

// tail reads the partition from offset next on and applies what callers submit and cancel.
func (o *Owner) tail(ctx context.Context, next int64) {
	for ctx.Err() == nil {
		from := next
		sentAt := time.Now()
		batch, status, err := o.readUnlessLost(ctx, from, sentAt)
		dropped := status == platform.StoreDropped
		if dropped {
			o.logger.Warn("stored records were dropped before they were read, reading the newest", "from", from)
			batch, status, err = o.log.Snapshot(ctx)
		}
		if status != platform.StoreOK {
			o.logger.Debug("partition can't be read", "status", status.String(), "error", err)
			wait.Pause(ctx, readRetryInterval)
			continue
		}
		next = batch.Next
		records := o.decode(batch)
		o.enqueue(ctx, func(c *scheduler.Core, now time.Time) {
			appliedFrom := from
			if dropped {
				appliedFrom = 0
			}
			if applyRead(c, records, appliedFrom, batch.Next, now) {
				o.lastReadSentAt = sentAt
			}
		})
		o.tailPosition.Store(next)
		if len(batch.Records) > 0 {
			o.pauseTail(ctx)
		}
	}
}

// lostReadCheckInterval is the interval of checks whether a read is lost: short compared with tailReadWait.
const lostReadCheckInterval = 50 * time.Millisecond

// readUnlessLost reads the partition as tail does, and gives up a read that is presumed lost. One that was
// sent into an outage would end with its timeout only, up to two seconds after the store is back.
func (o *Owner) readUnlessLost(ctx context.Context, from int64, sentAt time.Time) (platform.Batch, platform.StoreStatus, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		check := time.NewTicker(lostReadCheckInterval)
		defer check.Stop()
		for !o.deps.Hedger.IsPresumedLost(sentAt) {
			select {
			case <-check.C:
			case <-ctx.Done():
				return
			}
		}
		cancel()
	}()
	return o.log.Read(ctx, from, tailReadWait)
}

// pauseTail pauses the tail for tailReadPause, or until a job waits for the next read.
func (o *Owner) pauseTail(ctx context.Context) {
	timer := time.NewTimer(tailReadPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-o.tailWake:
	case <-ctx.Done():
	}
}

// wakeTail ends the tail's pause if a job was stored beyond what the partition is known up to: records of
// other nodes lie before it.
func (o *Owner) wakeTail(core *scheduler.Core) {
	if !core.HasUnorderedJobs() {
		return
	}
	select {
	case o.tailWake <- struct{}{}:
	default:
	}
}

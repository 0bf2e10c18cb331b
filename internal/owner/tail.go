package owner

import (
	"context"
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

// applyRecords applies records of callers' requests to the core. A record may be applied
// more than once.
func applyRecords(core *scheduler.Core, records []workload.Record, now time.Time) {
	for _, r := range records {
		switch {
		case r.Submission != nil:
			core.AddJob(r.Job, r.Submission)
		case r.Cancel:
			core.CancelJob(r.Job, r.CancelledBy, now)
		}
	}
}

// HandleStored applies records that this node has stored in the partition. The tail reads
// them as well; HandleStored makes them known some milliseconds earlier, or some hundred
// milliseconds if the store is slow. If the inbox is full they are left to the tail.
func (o *Owner) HandleStored(records []workload.Record) {
	select {
	case o.inbox <- newEvent(func(c *scheduler.Core, now time.Time) { applyRecords(c, records, now) }):
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
		sentAt := time.Now()
		batch, status, err := o.log.Read(ctx, next, tailReadWait)
		if status == platform.StoreDropped {
			o.logger.Warn("stored records were dropped before they were read, reading the newest", "from", next)
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
			applyRecords(c, records, now)
			o.lastReadSentAt = sentAt
		})
		o.tailPosition.Store(next)
		if len(batch.Records) > 0 {
			wait.Pause(ctx, tailReadPause)
		}
	}
}

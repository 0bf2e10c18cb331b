package owner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/joblog"
	"github.com/yuccadrift/yuccadrift/internal/ownership"
	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/wait"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

const (
	// handoverWriteTimeout bounds the last writes of an owner.
	handoverWriteTimeout = 400 * time.Millisecond
	// releaseTimeout bounds the request to the predecessor's node. Without a response the
	// takeover waits about as long once more, for the next read of the list of workers; only
	// if the reads fail does it wait for workerListTimeout.
	releaseTimeout = 300 * time.Millisecond
)

// HandoverReport holds the handover and the progress that an owner did not store: a later
// owner had requested its stop, it had stepped down, or the write failed.
type HandoverReport struct {
	Epoch   int64
	Records []workload.Record
}

// HandoverReport returns the records that the owner did not store. It must be called after
// Run has returned. ok is false if there is no report.
func (o *Owner) HandoverReport() (r HandoverReport, ok bool) {
	if o.handoverReport == nil {
		return HandoverReport{}, false
	}
	return *o.handoverReport, true
}

// preserveHandover stores a handover, or keeps it as a report for the successor's release
// request. An owner that was superseded or has stepped down doesn't try to store it.
func (o *Owner) preserveHandover(ctx context.Context, core *scheduler.Core) {
	superseded := errors.Is(context.Cause(ctx), ownership.ErrSuperseded)
	if core.StepDownReason() == "" && !superseded && o.storeHandover(core) {
		return
	}
	records := core.HandoverRecordsForNextOwner(time.Now())
	if findHandover(records) != nil {
		o.handoverReport = &HandoverReport{Epoch: o.epoch, Records: records}
		o.logger.Info("partition left, its runs are reported to a successor on request", "records", len(records))
	}
}

// storeHandover stores the unstored progress and, if the runs are known completely, the
// handover, which lists all runs including those whose orders are in flight. Without a
// handover the successor waits until their leases expire. storeHandover returns false if
// the records could not be stored.
func (o *Owner) storeHandover(core *scheduler.Core) bool {
	ctx, cancel := context.WithTimeout(context.Background(), handoverWriteTimeout)
	defer cancel()
	o.writer.mu.Lock()
	defer o.writer.mu.Unlock()
	if !core.NoWriteInFlight() && !o.completeLastWrite(ctx) {
		return false
	}
	handover := core.HandoverRecords(time.Now())
	if len(handover) == 0 {
		return true
	}
	leftOut, err := o.writer.begin(core.NextWriteSequence(), handover, nil)
	if err != nil {
		o.logger.Error("handover can't be encoded", "error", err)
		return false
	}
	status, err := o.writer.storeAll(ctx)
	// The line is logged for a failed write, too; status shows whether the records are stored.
	o.logger.Info("partition left", "records", len(handover), "status", status.String(), "error", err)
	return status == platform.StoreOK && leftOut == 0
}

// predecessorState is the state that the predecessor left. It is empty if unknown.
type predecessorState struct {
	handover *workload.Handover
	unstored []workload.Record // what the predecessor did not store
	// unstoredProgress is the progress of jobs among it.
	unstoredProgress map[workload.JobID]*workload.Progress
}

// apply restores the state in the core, which must know the stored jobs already.
func (s predecessorState) apply(core *scheduler.Core, now time.Time) {
	for id, p := range s.unstoredProgress {
		core.RestoreUnstoredProgress(id, p)
	}
	if s.handover != nil {
		core.RestoreHandover(s.handover, now)
	}
}

// readPartition reads the partition. It reads the predecessor's state from the store or, if
// the store has no handover, from the predecessor's node. The predecessor may have started
// tasks of jobs that were stored after the first read, so what was stored since is read once
// the predecessor has stopped.
func (o *Owner) readPartition(ctx context.Context) (platform.Batch, predecessorState, error) {
	batch, err := o.readSnapshot(ctx)
	if err != nil {
		return batch, predecessorState{}, err
	}
	handover, lastTakeover := predecessorHandover(batch)
	if handover != nil || lastTakeover == nil || lastTakeover.Address == "" {
		return batch, predecessorState{handover: handover}, nil
	}
	predecessor, ok := o.releasePredecessor(ctx, lastTakeover)
	if !ok {
		return batch, predecessorState{}, nil
	}
	later, err := o.readSince(ctx, batch.Next)
	batch.Records = newestRecords(append(batch.Records, later.Records...))
	batch.Next = later.Next
	return batch, predecessor, err
}

// newestRecords returns the last record of each key, without the deleted ones.
func newestRecords(records []platform.KeyedRecord) []platform.KeyedRecord {
	last := map[string]int{} // index by key
	for i, r := range records {
		last[r.Key] = i
	}
	var newest []platform.KeyedRecord
	for i, r := range records {
		if last[r.Key] == i && len(r.Value) > 0 {
			newest = append(newest, r)
		}
	}
	return newest
}

// readSince returns the records of the partition from an offset on, or all newest ones if some of them
// were dropped. A busy partition has megabytes, which take a small VM's link a second or more.
func (o *Owner) readSince(ctx context.Context, from int64) (platform.Batch, error) {
	all := platform.Batch{Next: from}
	for ctx.Err() == nil {
		batch, status, err := o.log.Read(ctx, all.Next, 0)
		switch status {
		case platform.StoreOK:
			all.Records = append(all.Records, batch.Records...)
			all.Next = batch.Next
			if batch.Next >= batch.End {
				return all, nil
			}
		case platform.StoreDropped:
			return o.readSnapshot(ctx)
		default:
			o.logger.Warn("records stored since can't be read yet", "status", status.String(), "error", err)
			wait.Pause(ctx, readRetryInterval)
		}
	}
	return platform.Batch{}, ctx.Err()
}

// releasePredecessor asks the predecessor's node to stop the predecessor and to return its
// handover. It returns false unless the handover has the epoch of lastTakeover.
func (o *Owner) releasePredecessor(ctx context.Context, lastTakeover *workload.Takeover) (predecessorState, bool) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	records, err := o.deps.ReleasePredecessor(ctx, lastTakeover.Address, o.partition, o.epoch)
	handover := findHandover(records)
	switch {
	case err != nil:
		o.logger.Info("release request to the previous owner failed", "address", lastTakeover.Address, "previous", lastTakeover.Epoch, "error", err)
		return predecessorState{}, false
	case handover == nil || handover.Epoch != lastTakeover.Epoch:
		o.logger.Info("node has no handover of the previous owner", "address", lastTakeover.Address, "previous", lastTakeover.Epoch)
		return predecessorState{}, false
	}
	predecessor := predecessorState{handover: handover, unstored: records, unstoredProgress: map[workload.JobID]*workload.Progress{}}
	for _, r := range records {
		if r.Progress != nil {
			predecessor.unstoredProgress[r.Job] = r.Progress
		}
	}
	o.logger.Info("previous owner reported its runs", "address", lastTakeover.Address, "previous", lastTakeover.Epoch, "runs", len(handover.Runs), "jobs", len(predecessor.unstoredProgress))
	return predecessor, true
}

func findHandover(records []workload.Record) *workload.Handover {
	for _, r := range records {
		if r.Handover != nil {
			return r.Handover
		}
	}
	return nil
}

// restoreLongLeases passes the long leases to the core that earlier owners stored or reported.
func restoreLongLeases(core *scheduler.Core, records []workload.Record) {
	for _, r := range records {
		if r.LongLeases != nil {
			core.RestoreLongLeases(r.LongLeases)
		}
	}
}

// predecessorHandover returns the predecessor's handover and its takeover record, nil if
// there is none. A handover of any earlier owner doesn't count: later owners have started
// more runs.
func predecessorHandover(batch platform.Batch) (*workload.Handover, *workload.Takeover) {
	records := joblog.DecodeOwnerRecords(batch)
	var handover *workload.Handover
	var lastTakeover *workload.Takeover
	for _, r := range records {
		if r.Handover != nil {
			handover = r.Handover
		}
		if r.Takeover != nil {
			lastTakeover = r.Takeover
		}
	}
	if handover == nil || lastTakeover == nil || handover.Epoch != lastTakeover.Epoch {
		return nil, lastTakeover
	}
	return handover, lastTakeover
}

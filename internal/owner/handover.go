package owner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/joblog"
	"github.com/yuccadrift/yuccadrift/internal/ownership"
	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

const (
	// handoverWriteTimeout bounds the last writes of an owner.
	handoverWriteTimeout = 400 * time.Millisecond
	// releaseTimeout bounds the request to the previous owner's node. A takeover without its
	// reply waits about as long for a list of workers.
	releaseTimeout = 300 * time.Millisecond
)

// HandoverReport holds the handover and the unstored progress of an owner that could not
// store them: a later owner had fenced it, or the store did not answer.
type HandoverReport struct {
	Epoch   int64
	Records []workload.Record
}

// HandoverReport returns the records that the owner could not store. It must be called after
// Run has returned. ok is false if there is no report.
func (o *Owner) HandoverReport() (r HandoverReport, ok bool) {
	if o.handoverReport == nil {
		return HandoverReport{}, false
	}
	return *o.handoverReport, true
}

// preserveHandover stores a handover, or keeps it for the next owner's release request.
func (o *Owner) preserveHandover(ctx context.Context, core *scheduler.Core) {
	superseded := errors.Is(context.Cause(ctx), ownership.ErrSuperseded)
	if core.StepDownReason() == "" && !superseded && o.storeHandover(core) {
		return
	}
	records := core.UnstoredHandoverRecords(time.Now())
	if findHandover(records) != nil {
		o.handoverReport = &HandoverReport{Epoch: o.epoch, Records: records}
		o.logger.Info("partition left, its runs are reported to a successor on request", "records", len(records))
	}
}

// storeHandover stores the runs, including those whose orders are in flight. Without a
// handover the next owner waits until their leases expire. storeHandover reports whether
// nothing remains to be reported to a successor.
func (o *Owner) storeHandover(core *scheduler.Core) bool {
	ctx, cancel := context.WithTimeout(context.Background(), handoverWriteTimeout)
	defer cancel()
	if !core.NoWriteInFlight() && !o.completeLastWrite(ctx) {
		return false
	}
	handover := core.HandoverRecords(time.Now())
	if len(handover) == 0 {
		return true
	}
	records, err := joblog.Encode(handover, nil)
	if err != nil {
		o.logger.Error("handover can't be encoded", "error", err)
		return false
	}
	status, err := o.log.Write(ctx, o.epoch, core.NextWriteSequence(), records)
	o.logger.Info("partition left", "records", len(records), "status", status.String(), "error", err)
	return status == platform.StoreOK
}

// predecessorState is the state that the previous owner left. It is empty if unknown.
type predecessorState struct {
	handover *workload.Handover
	// unstoredProgress is the progress of jobs that the previous owner could not store.
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

// readPartition reads the partition, and the previous owner's state from the store or
// otherwise from that owner's node. The previous owner may have started tasks of jobs that
// were stored after the first read, so the partition is read again once that owner has
// stopped.
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
	batch, err = o.readSnapshot(ctx)
	return batch, predecessor, err
}

// releasePredecessor asks the node of the previous owner to stop that owner and to return
// its handover. It returns false unless the handover is of exactly that owner.
func (o *Owner) releasePredecessor(ctx context.Context, lastTakeover *workload.Takeover) (predecessorState, bool) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	records, err := o.deps.ReleasePredecessor(ctx, lastTakeover.Address, o.partition, o.epoch)
	handover := findHandover(records)
	switch {
	case err != nil:
		o.logger.Info("previous owner gave no report", "address", lastTakeover.Address, "previous", lastTakeover.Epoch, "error", err)
		return predecessorState{}, false
	case handover == nil || handover.Epoch != lastTakeover.Epoch:
		o.logger.Info("previous owner is unknown at its node", "address", lastTakeover.Address, "previous", lastTakeover.Epoch)
		return predecessorState{}, false
	}
	predecessor := predecessorState{handover: handover, unstoredProgress: map[workload.JobID]*workload.Progress{}}
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

// predecessorHandover returns the last owner's takeover record and its handover, nil if it left
// none. A handover of an earlier owner doesn't count: later owners have started more runs.
func predecessorHandover(batch platform.Batch) (*workload.Handover, *workload.Takeover) {
	records, _ := joblog.Decode(batch) // applyBatch logs the errors
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

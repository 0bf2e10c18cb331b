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
	// handoverWriteTimeout bounds the last write of an owner.
	handoverWriteTimeout = 400 * time.Millisecond
	// releaseTimeout bounds the question to the previous owner. A takeover without its answer
	// takes about as long for a list of workers.
	releaseTimeout = 300 * time.Millisecond
)

// HandoverReport is what an owner has left and could not store: a later owner had fenced it, or the
// store didn't answer.
type HandoverReport struct {
	Epoch   int64
	Records []workload.Record
}

// HandoverReport returns it once Run has returned. ok is false if there is none.
func (o *Owner) HandoverReport() (r HandoverReport, ok bool) {
	if o.handoverReport == nil {
		return HandoverReport{}, false
	}
	return *o.handoverReport, true
}

// preserveHandover leaves word of what runs, in the store or for a successor that asks.
func (o *Owner) preserveHandover(ctx context.Context, core *scheduler.Core) {
	superseded := errors.Is(context.Cause(ctx), ownership.ErrSuperseded)
	if core.StepDownReason() == "" && !superseded && o.storeHandover(core) {
		return
	}
	records := core.UnstoredHandoverRecords(time.Now())
	if findHandover(records) != nil {
		o.handoverReport = &HandoverReport{Epoch: o.epoch, Records: records}
		o.logger.Info("partition left, its runs are reported to a successor that asks", "records", len(records))
	}
}

// storeHandover stores a report of what runs. Orders that are still on their way are in
// it. Without it the next owner waits for leases to lapse. It tells whether nothing is left
// to be reported.
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

// predecessorState is what the previous owner has left, nothing if that isn't known.
type predecessorState struct {
	handover *workload.Handover
	// unstoredProgress is the progress of jobs that it could not store.
	unstoredProgress map[workload.JobID]*workload.Progress
}

// apply hands it to the machine, once that knows the jobs.
func (s predecessorState) apply(core *scheduler.Core, now time.Time) {
	for id, p := range s.unstoredProgress {
		core.RestoreUnstoredProgress(id, p)
	}
	if s.handover != nil {
		core.RestoreHandover(s.handover, now)
	}
}

// readPartition reads the partition, and what the previous owner has left: from the store, or else from
// its node. That one may have started tasks of jobs that were stored after the first read, so
// that it is read again once that owner has stopped.
func (o *Owner) readPartition(ctx context.Context) (platform.Batch, predecessorState, error) {
	batch, err := o.readSnapshot(ctx)
	if err != nil {
		return batch, predecessorState{}, err
	}
	handover, lastTakeover := lastHandover(batch)
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

// releasePredecessor asks the node of the previous owner.
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

// lastHandover returns the last owner's report of its runs, nil if it left none, and who that owner
// was. Only the report of the owner just before counts: later ones have started more.
func lastHandover(batch platform.Batch) (*workload.Handover, *workload.Takeover) {
	records, _ := joblog.Decode(batch) // unreadable ones are logged by apply
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

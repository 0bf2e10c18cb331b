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
	// handOverTimeout bounds the last write of an owner.
	handOverTimeout = 400 * time.Millisecond
	// releaseTimeout bounds the question to the previous owner. A takeover without its answer
	// takes about as long for a list of workers.
	releaseTimeout = 300 * time.Millisecond
)

// Report is what an owner has left and could not store: a later owner had fenced it, or the
// store didn't answer.
type Report struct {
	Epoch   int64
	Records []workload.Record
}

// Report returns it once Run has returned. ok is false if there is none.
func (o *Owner) Report() (r Report, ok bool) {
	if o.report == nil {
		return Report{}, false
	}
	return *o.report, true
}

// leave leaves word of what runs, in the store or for a successor that asks.
func (o *Owner) leave(ctx context.Context, core *scheduler.Core) {
	superseded := errors.Is(context.Cause(ctx), ownership.ErrSuperseded)
	if core.StepDownReason() == "" && !superseded && o.handOver(core) {
		return
	}
	records := core.UnstoredHandoverRecords(time.Now())
	if handoverIn(records) != nil {
		o.report = &Report{Epoch: o.epoch, Records: records}
		o.logger.Info("partition left, its runs are reported to a successor that asks", "records", len(records))
	}
}

// handOver stores a report of what runs. Orders that are still on their way are in
// it. Without it the next owner waits for leases to lapse. It tells whether nothing is left
// to be reported.
func (o *Owner) handOver(core *scheduler.Core) bool {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	if !core.NoWriteInFlight() && !o.finishWrite(ctx) {
		return false
	}
	left := core.HandoverRecords(time.Now())
	if len(left) == 0 {
		return true
	}
	records, err := joblog.Encode(left, nil)
	if err != nil {
		o.logger.Error("handover can't be encoded", "error", err)
		return false
	}
	status, err := o.log.Write(ctx, o.epoch, core.NextWriteSequence(), records)
	o.logger.Info("partition left", "records", len(records), "status", status.String(), "error", err)
	return status == platform.StoreOK
}

// inheritance is what the previous owner has left, nothing if that isn't known.
type inheritance struct {
	handover *workload.Handover
	// unstored is the progress of jobs that it could not store.
	unstored map[workload.JobID]*workload.Progress
}

// apply hands it to the machine, once that knows the jobs.
func (l inheritance) apply(core *scheduler.Core, now time.Time) {
	for id, p := range l.unstored {
		core.RestoreUnstoredProgress(id, p)
	}
	if l.handover != nil {
		core.RestoreHandover(l.handover, now)
	}
}

// read reads the partition, and what the previous owner has left: from the store, or else from
// its node. That one may have started tasks of jobs that were stored after the first read, so
// that it is read again once that owner has stopped.
func (o *Owner) read(ctx context.Context) (platform.Batch, inheritance, error) {
	batch, err := o.snapshot(ctx)
	if err != nil {
		return batch, inheritance{}, err
	}
	left, last := leftIn(batch)
	if left != nil || last == nil || last.Address == "" {
		return batch, inheritance{handover: left}, nil
	}
	previous, ok := o.askPrevious(ctx, last)
	if !ok {
		return batch, inheritance{}, nil
	}
	batch, err = o.snapshot(ctx)
	return batch, previous, err
}

// askPrevious asks the node of the previous owner.
func (o *Owner) askPrevious(ctx context.Context, last *workload.Takeover) (inheritance, bool) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	records, err := o.deps.Release(ctx, last.Address, o.partition, o.epoch)
	handover := handoverIn(records)
	switch {
	case err != nil:
		o.logger.Info("previous owner gave no report", "address", last.Address, "previous", last.Epoch, "error", err)
		return inheritance{}, false
	case handover == nil || handover.Epoch != last.Epoch:
		o.logger.Info("previous owner is unknown at its node", "address", last.Address, "previous", last.Epoch)
		return inheritance{}, false
	}
	l := inheritance{handover: handover, unstored: map[workload.JobID]*workload.Progress{}}
	for _, r := range records {
		if r.Progress != nil {
			l.unstored[r.Job] = r.Progress
		}
	}
	o.logger.Info("previous owner reported its runs", "address", last.Address, "previous", last.Epoch, "runs", len(handover.Runs), "jobs", len(l.unstored))
	return l, true
}

func handoverIn(records []workload.Record) *workload.Handover {
	for _, r := range records {
		if r.Handover != nil {
			return r.Handover
		}
	}
	return nil
}

// leftIn returns the last owner's report of its runs, nil if it left none, and who that owner
// was. Only the report of the owner just before counts: later ones have started more.
func leftIn(batch platform.Batch) (*workload.Handover, *workload.Takeover) {
	records, _ := joblog.Decode(batch) // unreadable ones are logged by apply
	var left *workload.Handover
	var last *workload.Takeover
	for _, r := range records {
		if r.Handover != nil {
			left = r.Handover
		}
		if r.Takeover != nil {
			last = r.Takeover
		}
	}
	if left == nil || last == nil || left.Epoch != last.Epoch {
		return nil, last
	}
	return left, last
}

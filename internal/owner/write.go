package owner

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/yuccadrift/yuccadrift/internal/joblog"
	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/wait"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

const (
	// writeRetryInterval is the pause before a write is sent again.
	writeRetryInterval = 100 * time.Millisecond
	// invalidWriteRetryInterval replaces it after the store has rejected a write as invalid. The ownership is not
	// lost by that, and the next owner would send the same.
	invalidWriteRetryInterval = time.Second
)

// logWriter stores the owner's records under its epoch and counts its appends. A write is divided into several
// appends if it is larger than the store's limit of a call. Whoever calls its methods holds mu.
type logWriter struct {
	mu        sync.Mutex
	log       *joblog.Log
	epoch     int64
	partition int
	limits    joblog.Limits
	logger    hclog.Logger
	metrics   *Metrics
	// lastWrite is the sequence of the write that begin was called for last.
	lastWrite int64
	// lastSequence is the sequence of the last append that was sent, storedSequence of the last that is stored.
	lastSequence, storedSequence int64
	// unstored are the appends of the latest write that are not stored yet, the first under lastSequence
	// if that is above storedSequence.
	unstored [][]platform.KeyedRecord
}

// begin encodes records as the write of a sequence. The write before must be stored. leftOut is the number of
// records that the store doesn't accept.
func (w *logWriter) begin(sequence int64, records []workload.Record, deleted []workload.JobID) (leftOut int, err error) {
	encoded, err := joblog.Encode(records, deleted)
	if err != nil {
		return 0, err
	}
	for i, r := range records {
		if r.Progress == nil || !w.limits.IsTooLarge(encoded[i]) {
			continue
		}
		w.logger.Error("progress of a job is larger than the store accepts, its failed runs and crashes are left out", "job", r.Job, "bytes", len(encoded[i].Value), "limit", w.limits.Record)
		w.metrics.observeRejected(w.partition, "too_large")
		if _, encoded[i].Value, err = (workload.Record{Job: r.Job, Progress: r.Progress.WithoutFailures()}).Encode(); err != nil {
			return 0, err
		}
	}
	appends, tooLarge := w.limits.Split(encoded)
	for _, r := range tooLarge {
		w.metrics.observeRejected(w.partition, "too_large")
		w.logger.Error("record is larger than the store accepts and is left out", "key", r.Key, "bytes", len(r.Value), "limit", w.limits.Record)
	}
	w.unstored, w.lastWrite = appends, sequence
	return len(tooLarge), nil
}

// storeNext sends the next append once. done is set if nothing is left.
func (w *logWriter) storeNext(ctx context.Context) (span platform.Span, status platform.StoreStatus, done bool, err error) {
	if len(w.unstored) == 0 {
		return platform.Span{}, platform.StoreOK, true, nil
	}
	if w.lastSequence == w.storedSequence {
		w.lastSequence++
	}
	span, status, err = w.log.Write(ctx, w.epoch, w.lastSequence, w.unstored[0])
	if status == platform.StoreOK {
		w.storedSequence = w.lastSequence
		w.unstored = w.unstored[1:]
	}
	return span, status, len(w.unstored) == 0, err
}

// write stores records and retries until the outcome is known. A write whose answer was
// lost is sent again under the same sequence, which has no second effect.
func (o *Owner) write(ctx context.Context, order scheduler.WriteOrder) {
	o.writer.mu.Lock()
	defer o.writer.mu.Unlock()
	if ctx.Err() != nil {
		return // completeLastWrite begins it
	}
	if _, err := o.writer.begin(order.Sequence, order.Records, order.DeleteJobs); err != nil {
		o.logger.Error("records can't be encoded", "error", err)
		o.enqueue(ctx, func(c *scheduler.Core, _ time.Time) { c.StepDown("records can't be encoded") })
		return
	}
	isFirst := true
	for ctx.Err() == nil {
		span, status, done, err := o.writer.storeNext(ctx)
		switch status {
		case platform.StoreOK:
			o.handleStoredAppend(ctx, order, span, isFirst, done)
			isFirst = false
			if done {
				return
			}
			continue
		case platform.StoreFenced, platform.StoreOutOfSequence:
			reason := "write " + status.String() + ": " + err.Error()
			o.enqueue(ctx, func(c *scheduler.Core, _ time.Time) { c.StepDown(reason) })
			return
		case platform.StoreInvalid:
			o.deps.Metrics.observeRejected(o.partition, "invalid")
			o.logger.Error("store rejects a write as invalid, retrying", "records", len(order.Records), "error", err)
			wait.Pause(ctx, invalidWriteRetryInterval)
			continue
		}
		o.logger.Debug("records can't be stored yet", "sequence", order.Sequence, "status", status.String(), "error", err)
		wait.Pause(ctx, writeRetryInterval)
	}
}

// handleStoredAppend tells the core that an append of a write is stored, and the write once all are.
func (o *Owner) handleStoredAppend(ctx context.Context, order scheduler.WriteOrder, span platform.Span, isFirst, isLast bool) {
	o.enqueue(ctx, func(c *scheduler.Core, _ time.Time) {
		if isLast {
			c.HandleWriteResult()
		}
		if isFirst {
			c.HandleWrittenSpan(order, span.From, span.To) // the takeover is the first record of a write
			return
		}
		c.ExtendLog(span.From, span.To)
	})
}

// completeLastWrite repeats the write that was in flight when the owner was stopped, since
// the sequence of the handover's write must follow it. Storing it twice has no second
// effect. completeLastWrite reports whether the write is stored.
func (o *Owner) completeLastWrite(ctx context.Context) bool {
	if o.writer.lastWrite != o.lastWrite.Sequence {
		if _, err := o.writer.begin(o.lastWrite.Sequence, o.lastWrite.Records, o.lastWrite.DeleteJobs); err != nil {
			o.logger.Error("records can't be encoded", "error", err)
			return false
		}
	}
	status, err := o.writer.storeAll(ctx)
	if status != platform.StoreOK {
		o.logger.Warn("last write did not complete, no handover is stored", "status", status.String(), "error", err)
	}
	return status == platform.StoreOK
}

// storeAll stores what is left of the latest write, once each, without a retry.
func (w *logWriter) storeAll(ctx context.Context) (platform.StoreStatus, error) {
	for {
		_, status, done, err := w.storeNext(ctx)
		if status != platform.StoreOK || done {
			return status, err
		}
	}
}

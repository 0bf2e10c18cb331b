package fleetowner

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/yuccadrift/yuccadrift/internal/joblog"
	"github.com/yuccadrift/yuccadrift/internal/wait"
	"github.com/yuccadrift/yuccadrift/platform"
)

// maxPendingWrites bounds the pending writes, and the records of one call.
const maxPendingWrites = 512

// writeRetryInterval is the pause before a write is repeated.
const writeRetryInterval = 100 * time.Millisecond

// pendingWrite is a record to be stored. done receives nil once the record is stored, or an error if this
// owner can no longer store it.
type pendingWrite struct {
	record platform.KeyedRecord
	done   chan error
}

// writer stores the owner's records. It batches the pending records into one call. A write without an
// answer is repeated with its sequence number until its outcome is known. Skipping it would leave a gap in
// the sequence, after which the store accepts no further write of this owner.
type writer struct {
	log    *joblog.Log
	epoch  int64
	logger hclog.Logger
	queue  chan pendingWrite
}

func newWriter(log *joblog.Log, epoch int64, logger hclog.Logger) *writer {
	return &writer{log: log, epoch: epoch, logger: logger, queue: make(chan pendingWrite, maxPendingWrites)}
}

// put stores a record and waits until it is stored or ctx ends.
func (w *writer) put(ctx context.Context, key string, value []byte) error {
	p, err := w.enqueue(ctx, key, value)
	if err != nil {
		return err
	}
	return p.wait(ctx)
}

// enqueue adds a record to the pending writes.
func (w *writer) enqueue(ctx context.Context, key string, value []byte) (pendingWrite, error) {
	p := pendingWrite{record: platform.KeyedRecord{Key: key, Value: value}, done: make(chan error, 1)}
	select {
	case w.queue <- p:
		return p, nil
	case <-ctx.Done():
		return pendingWrite{}, ctx.Err()
	}
}

// wait waits until the record is stored or ctx ends.
func (p pendingWrite) wait(ctx context.Context) error {
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run stores records until ctx ends.
func (w *writer) run(ctx context.Context) {
	for sequence := int64(1); ; sequence++ {
		batch := w.nextBatch(ctx)
		if batch == nil {
			return
		}
		err := w.write(ctx, sequence, batch)
		for _, p := range batch {
			p.done <- err
		}
	}
}

// nextBatch waits for a record and returns all pending records. It returns nil once ctx has ended.
func (w *writer) nextBatch(ctx context.Context) []pendingWrite {
	var batch []pendingWrite
	select {
	case p := <-w.queue:
		batch = append(batch, p)
	case <-ctx.Done():
		return nil
	}
	for len(batch) < maxPendingWrites {
		select {
		case p := <-w.queue:
			batch = append(batch, p)
		default:
			return batch
		}
	}
	return batch
}

func (w *writer) write(ctx context.Context, sequence int64, batch []pendingWrite) error {
	records := make([]platform.KeyedRecord, len(batch))
	for i, p := range batch {
		records[i] = p.record
	}
	for ctx.Err() == nil {
		_, status, err := w.log.Write(ctx, w.epoch, sequence, records)
		switch status {
		case platform.StoreOK:
			return nil
		case platform.StoreFenced, platform.StoreOutOfSequence, platform.StoreInvalid:
			return err
		}
		w.logger.Debug("failed to store records of the fleet, retrying", "sequence", sequence, "status", status.String(), "error", err)
		wait.Pause(ctx, writeRetryInterval)
	}
	return ctx.Err()
}

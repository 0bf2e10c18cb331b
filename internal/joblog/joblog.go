// Package joblog keeps jobs on the platform's store. The jobs of a service are in one
// partition of a keyed topic. The store retains the newest record of each key forever; these
// records are the snapshot from which a new owner starts.
package joblog

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/hedge"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// Topics on the platform's store.
const (
	JobsTopic  = "keyed.jobs"
	FleetTopic = "keyed.fleet"
)

// ownerProducer is the producer name of the owner of a partition. Appends of callers'
// requests have no producer and are not fenced.
const ownerProducer = "owner"

// Store is the part of the platform's store that this package uses.
type Store interface {
	AppendSpan(ctx context.Context, p platform.Partition, producer *platform.Producer, records ...platform.KeyedRecord) (platform.Span, platform.StoreStatus, error)
	Read(ctx context.Context, p platform.Partition, from int64, wait time.Duration) (platform.Batch, platform.StoreStatus, error)
	Newest(ctx context.Context, p platform.Partition) (platform.Batch, platform.StoreStatus, error)
}

// Log is one partition of a topic.
type Log struct {
	store     Store
	partition platform.Partition
	hedger    *hedge.Hedger
}

// New returns the log of a partition of a topic.
func New(store Store, hedger *hedge.Hedger, topic string, partition int) *Log {
	return &Log{store: store, hedger: hedger, partition: platform.Partition{Topic: topic, Part: partition}}
}

// fenceSequence is the sequence of a fence. The first write of the owner follows it.
const fenceSequence = 0

// Fence sets the epoch of the owner and stores records. From then on the store refuses writes of owners
// with a lower epoch. A repeated fence has no second effect.
func (l *Log) Fence(ctx context.Context, epoch int64, records ...platform.KeyedRecord) (platform.StoreStatus, error) {
	_, status, err := l.store.AppendSpan(ctx, l.partition, &platform.Producer{Name: ownerProducer, Epoch: epoch, Sequence: fenceSequence}, records...)
	return status, err
}

// Write stores records of the owner and returns their offsets. A repeated write with the same sequence
// has no second effect.
func (l *Log) Write(ctx context.Context, epoch, sequence int64, records []platform.KeyedRecord) (platform.Span, platform.StoreStatus, error) {
	producer := &platform.Producer{Name: ownerProducer, Epoch: epoch, Sequence: sequence}
	return appendHedged(ctx, l.store, l.hedger, l.partition, producer, records)
}

// appendHedged appends records and repeats the call as the hedger decides. Without a producer several
// calls may each append the records; the span is that of one of them.
func appendHedged(ctx context.Context, store Store, hedger *hedge.Hedger, p platform.Partition, producer *platform.Producer, records []platform.KeyedRecord) (platform.Span, platform.StoreStatus, error) {
	spans := make(chan platform.Span, hedge.MaxCalls)
	status, err := hedger.Write(ctx, func(ctx context.Context) (platform.StoreStatus, error) {
		span, status, err := store.AppendSpan(ctx, p, producer, records...)
		if status == platform.StoreOK {
			spans <- span
		}
		return status, err
	})
	if status != platform.StoreOK {
		return platform.Span{}, status, err
	}
	return <-spans, status, err
}

// Encode returns the keyed records that store records and delete jobs.
func Encode(records []workload.Record, deleted []workload.JobID) ([]platform.KeyedRecord, error) {
	out := make([]platform.KeyedRecord, 0, len(records)+3*len(deleted))
	for _, r := range records {
		key, value, err := r.Encode()
		if err != nil {
			return nil, err
		}
		out = append(out, platform.KeyedRecord{Key: key, Value: value})
	}
	for _, id := range deleted {
		for _, key := range workload.JobKeys(id) {
			out = append(out, platform.KeyedRecord{Key: key})
		}
	}
	return out, nil
}

// Snapshot returns the newest record of each key, and the offset from which to read on.
func (l *Log) Snapshot(ctx context.Context) (platform.Batch, platform.StoreStatus, error) {
	return l.store.Newest(ctx, l.partition)
}

// Read returns the records from an offset on. It waits for a record as long as wait.
func (l *Log) Read(ctx context.Context, from int64, wait time.Duration) (platform.Batch, platform.StoreStatus, error) {
	return l.store.Read(ctx, l.partition, from, wait)
}

// DecodeOwnerRecords decodes only the records of the partition's owners. It skips records that can't
// be decoded without an error: a takeover decodes the same batch with Decode as well, and logs them
// then.
func DecodeOwnerRecords(batch platform.Batch) []workload.Record {
	var own platform.Batch
	for _, r := range batch.Records {
		if workload.IsOwnerKey(r.Key) {
			own.Records = append(own.Records, r)
		}
	}
	records, _ := Decode(own)
	return records
}

// Decode decodes the records of a batch. It returns an error for each record that can't be
// decoded or used, besides the other records.
func Decode(batch platform.Batch) (records []workload.Record, errs []error) {
	for _, r := range batch.Records {
		record, ok, err := workload.DecodeRecord(r.Key, r.Value)
		if ok && err == nil {
			err = check(r.Key, record)
		}
		switch {
		case err != nil:
			errs = append(errs, errors.Wrap(err, "stored record"))
		case ok:
			record.Offset = r.Offset
			records = append(records, record)
		}
	}
	return records, errs
}

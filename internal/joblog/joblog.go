// Package joblog keeps jobs on the platform's store. Each service's jobs lie in
// one partition of a keyed topic, of which the store keeps the newest record of
// each key for ever: that is the snapshot that a new owner starts from.
package joblog

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/hedge"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// Topics of the product on the store.
const (
	JobsTopic  = "keyed.jobs"
	FleetTopic = "keyed.fleet"
)

// ownerProducer is the name under which the owner of a partition writes. Appends of
// accepted jobs have none and aren't fenced.
const ownerProducer = "owner"

// PartitionOf returns the partition of a service's jobs. It depends on the
// service's name alone, so that all nodes agree at all times, whatever services
// come and go.
func PartitionOf(service string, partitions int) int {
	h := fnv.New32a()
	h.Write([]byte(service))
	sum := h.Sum32()
	sum ^= sum >> 15 // the low bits of FNV of short, alike names are close
	sum *= 0x2c1b3c6d
	sum ^= sum >> 12
	return int(sum % uint32(partitions))
}

// Store is what is needed of the platform's store.
type Store interface {
	Append(ctx context.Context, p platform.Partition, producer *platform.Producer, records ...platform.KeyedRecord) (platform.StoreStatus, error)
	Read(ctx context.Context, p platform.Partition, from int64, wait time.Duration) (platform.Batch, platform.StoreStatus, error)
	Newest(ctx context.Context, p platform.Partition) (platform.Batch, platform.StoreStatus, error)
}

// Log is one partition.
type Log struct {
	store     Store
	partition platform.Partition
	hedger    *hedge.Hedger
}

// New returns the log of a partition of a topic.
func New(store Store, hedger *hedge.Hedger, topic string, partition int) *Log {
	return &Log{store: store, hedger: hedger, partition: platform.Partition{Topic: topic, Part: partition}}
}

// Fence puts an owner's epoch in force: writes of earlier ones are refused from
// then on.
func (l *Log) Fence(ctx context.Context, epoch int64) (platform.StoreStatus, error) {
	return l.store.Append(ctx, l.partition, &platform.Producer{Name: ownerProducer, Epoch: epoch})
}

// Write stores records of the owner. The same sequence sent again has no second
// effect.
func (l *Log) Write(ctx context.Context, epoch, sequence int64, records []platform.KeyedRecord) (platform.StoreStatus, error) {
	return l.hedger.Write(ctx, func(ctx context.Context) (platform.StoreStatus, error) {
		return l.store.Append(ctx, l.partition, &platform.Producer{Name: ownerProducer, Epoch: epoch, Sequence: sequence}, records...)
	})
}

// Encode returns what is to be stored: records, and the deletion of jobs.
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

// Snapshot returns all that is stored, and the offset to read on from.
func (l *Log) Snapshot(ctx context.Context) (platform.Batch, platform.StoreStatus, error) {
	return l.store.Newest(ctx, l.partition)
}

// Read returns what came after an offset.
func (l *Log) Read(ctx context.Context, from int64, wait time.Duration) (platform.Batch, platform.StoreStatus, error) {
	return l.store.Read(ctx, l.partition, from, wait)
}

// Decode reads the records of a batch. Those that can't be read are returned as
// errors, beside the others.
func Decode(batch platform.Batch) (records []workload.Record, errs []error) {
	for _, r := range batch.Records {
		record, ok, err := workload.DecodeRecord(r.Key, r.Value)
		switch {
		case err != nil:
			errs = append(errs, errors.Wrap(err, "stored record"))
		case ok:
			records = append(records, record)
		}
	}
	return records, errs
}

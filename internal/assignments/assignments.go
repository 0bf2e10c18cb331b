// Package assignments follows the stored partitions of services (package partitioning) and, on the node of
// the fleet's owner, assigns partitions to services that have none.
package assignments

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/yuccadrift/yuccadrift/internal/partitioning"
	"github.com/yuccadrift/yuccadrift/internal/rejections"
	"github.com/yuccadrift/yuccadrift/internal/wait"
	"github.com/yuccadrift/yuccadrift/platform"
)

// Topic holds the partitions of services.
const Topic = "keyed.services"

var logPartition = platform.Partition{Topic: Topic, Part: 0}

// Times of reads.
const (
	// entryWait is how long a read waits for an entry.
	entryWait         = time.Second
	readRetryInterval = 200 * time.Millisecond
)

// Source reads the stored entries.
type Source interface {
	Read(ctx context.Context, p platform.Partition, from int64, wait time.Duration) (platform.Batch, platform.StoreStatus, error)
	Newest(ctx context.Context, p platform.Partition) (platform.Batch, platform.StoreStatus, error)
}

// Config is the configuration in force.
type Config interface {
	// Services returns the names of the configured services.
	Services() []string
	// Changed returns a channel that is closed once a newer configuration is in force.
	Changed() <-chan struct{}
}

// Follower holds the known partitions of services. Entries never change, so a node that knows an entry
// needs no further read. It is safe for concurrent use.
type Follower struct {
	source     Source
	config     Config
	partitions int
	logger     hclog.Logger
	rejections *rejections.Log

	mu    sync.Mutex
	table partitioning.Table
}

// New returns a follower that knows no entry. partitions is the number of partitions.
func New(source Source, config Config, partitions int, logger hclog.Logger) *Follower {
	return &Follower{source: source, config: config, partitions: partitions, logger: logger, rejections: rejections.New(logger, "entry of a service can't be decoded and is left out"), table: partitioning.Table{}}
}

// PartitionOf returns the partition of a service's jobs. ok is false if it isn't known.
func (f *Follower) PartitionOf(service string) (partition int, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	partition, ok = f.table[service]
	return partition, ok
}

// Count returns how many services have a known partition.
func (f *Follower) Count() int { return len(f.Table()) }

// Table returns the known entries. It must not be changed.
func (f *Follower) Table() partitioning.Table {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table
}

// Add adds entries that another node has read. Entries whose partition doesn't exist are left out.
func (f *Follower) Add(table partitioning.Table) {
	f.mu.Lock()
	defer f.mu.Unlock()
	usable := partitioning.Table{}
	for service, p := range table {
		if p >= 0 && p < f.partitions {
			usable[service] = p
		}
	}
	f.table = f.table.Merge(usable)
}

// missing returns the configured services whose partition isn't known.
func (f *Follower) missing() []string { return f.Table().Missing(f.config.Services()) }

// Run reads entries while a configured service has none, until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := f.config.Changed()
		if len(f.missing()) > 0 {
			f.readMissing(ctx)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return ctx.Err()
}

// readMissing reads entries until no configured service lacks one.
func (f *Follower) readMissing(ctx context.Context) {
	next := int64(-1)
	for ctx.Err() == nil && len(f.missing()) > 0 {
		var batch platform.Batch
		var status platform.StoreStatus
		var err error
		if next < 0 {
			batch, status, err = f.source.Newest(ctx, logPartition)
		} else {
			batch, status, err = f.source.Read(ctx, logPartition, next, entryWait)
		}
		switch status {
		case platform.StoreOK:
			next = batch.Next
			f.Add(f.decode(batch))
		case platform.StoreDropped:
			next = -1
			wait.Pause(ctx, readRetryInterval)
		default:
			f.logger.Debug("partitions of services can't be read, retrying", "status", status.String(), "error", err)
			next = -1
			wait.Pause(ctx, readRetryInterval)
		}
	}
	if ctx.Err() == nil {
		f.logger.Info("partitions of all services are known", "services", len(f.Table()))
	}
}

// decode returns the entries of a batch. An entry that can't be decoded is logged once and left out.
func (f *Follower) decode(batch platform.Batch) partitioning.Table {
	table := partitioning.Table{}
	for _, r := range batch.Records {
		if len(r.Value) == 0 {
			continue
		}
		service, partition, err := partitioning.Decode(r.Key, r.Value, f.partitions)
		if err != nil {
			f.rejections.Reject(r.Key, err)
			continue
		}
		f.rejections.Accept(r.Key)
		table[service] = partition
	}
	return table
}

// Package published follows what operators publish on the platform: the configuration in
// force and waves of maintenance.
package published

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/yuccadrift/yuccadrift/internal/rejections"
	"github.com/yuccadrift/yuccadrift/internal/wait"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// Intervals of reads.
const (
	// longPollWait is how long a read waits for a change. A dead connection is detected
	// after longPollWait and the read's timeout margin, together less than the 2 s in which a
	// configuration must be in force.
	longPollWait     = 800 * time.Millisecond
	minRetryInterval = 100 * time.Millisecond
	maxRetryInterval = 500 * time.Millisecond
)

// Source reads the published changes.
type Source interface {
	NewestOperatorChanges(ctx context.Context) (platform.Batch, platform.StoreStatus, error)
	ReadOperatorChanges(ctx context.Context, from int64, wait time.Duration) (platform.Batch, platform.StoreStatus, error)
}

// Follower holds the configuration in force and the waves. It is safe for concurrent use.
type Follower struct {
	source Source
	logger hclog.Logger
	// rejections are the published changes and the answers of other nodes that can't be used.
	rejections *rejections.Log

	mu     sync.Mutex
	config *workload.Config
	// configRecord is the configuration as published, for other nodes.
	configRecord []byte
	waves        map[int64]workload.Wave
	changed      chan struct{} // closed when a newer configuration is in force
	lastReadAt   time.Time     // when the latest successful read was applied, initially when New was called
}

// New returns a follower that has read nothing yet.
func New(source Source, logger hclog.Logger) *Follower {
	return &Follower{source: source, logger: logger, rejections: rejections.New(logger, "published change can't be read, the last good state stays"), waves: map[int64]workload.Wave{}, changed: make(chan struct{}), lastReadAt: time.Now()}
}

// Config returns the configuration in force, nil before the first was read.
func (f *Follower) Config() *workload.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config
}

// Services returns the names of the services in the configuration in force.
func (f *Follower) Services() []string {
	config := f.Config()
	if config == nil {
		return nil
	}
	names := make([]string, len(config.Services))
	for i, s := range config.Services {
		names[i] = s.Name
	}
	return names
}

// Waves returns all waves that operators have published.
func (f *Follower) Waves() []workload.Wave {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]workload.Wave, 0, len(f.waves))
	for _, w := range f.waves {
		list = append(list, w)
	}
	return list
}

// LastReadAt returns when the latest successful read was applied, or when New was called if there
// was none.
func (f *Follower) LastReadAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastReadAt
}

// Run reads changes until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	pause := minRetryInterval
	next := int64(-1)
	for ctx.Err() == nil {
		batch, status, err := f.read(ctx, next)
		if status == platform.StoreDropped {
			f.logger.Warn("published changes were dropped before they were read, reading the newest", "from", next)
			next = -1
			wait.Pause(ctx, minRetryInterval)
			continue
		}
		if status != platform.StoreOK {
			f.logger.Debug("published changes can't be read", "from", next, "status", status.String(), "error", err)
			wait.Pause(ctx, pause)
			pause = min(maxRetryInterval, 2*pause)
			continue
		}
		pause = minRetryInterval
		next = batch.Next
		f.apply(batch)
	}
	return ctx.Err()
}

func (f *Follower) read(ctx context.Context, next int64) (platform.Batch, platform.StoreStatus, error) {
	if next < 0 {
		return f.source.NewestOperatorChanges(ctx)
	}
	return f.source.ReadOperatorChanges(ctx, next, longPollWait)
}

// apply puts changes in force. The last good configuration stays in force if a new one can't
// be read or is older: a node that has used a version must never use an earlier one again.
func (f *Follower) apply(batch platform.Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastReadAt = time.Now()
	for _, r := range batch.Records {
		change, ok, err := platform.DecodeOperatorChange(r)
		switch {
		case err != nil:
			f.rejections.Reject(r.Key+" at offset "+strconv.FormatInt(r.Offset, 10), err)
		case !ok:
		case change.Wave != nil:
			f.waves[change.Wave.Number] = *change.Wave
			f.logger.Info("wave asked for", "wave", change.Wave.Number, "vms", len(change.Wave.VMs), "cap", change.Wave.MaxConcurrent, "within", change.Wave.Window.String())
		default:
			f.applyConfig(change.Config, r.Value, "store")
		}
	}
}

// applyConfig puts a configuration in force unless a newer one is. source is the store or the address
// of the node that it comes from. It must be called with mu held.
func (f *Follower) applyConfig(config *workload.Config, record []byte, source string) {
	if f.config != nil && config.Version <= f.config.Version {
		return
	}
	f.config = config
	f.configRecord = record
	close(f.changed)
	f.changed = make(chan struct{})
	f.logger.Info("configuration in force", "version", config.Version, "queues", len(config.Queues), "services", len(config.Services), "workspaces", len(config.Workspaces.List()), "source", source)
	if unknown := platform.UnknownWorkspaceFields(record); len(unknown) > 0 {
		f.logger.Error("fields of workspaces are unknown and have no effect", "version", config.Version, "fields", unknown)
	}
}

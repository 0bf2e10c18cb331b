// Package published follows what operators publish on the platform: the
// configuration in force and waves of maintenance.
package published

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/yuccadrift/yuccadrift/internal/wait"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// Times of reading.
const (
	// readWait is how long a read waits for a change. A connection that went
	// silent is noticed after that and the read's slack, which together stay
	// under the 2 s in which a configuration is to be in force.
	readWait = 800 * time.Millisecond
	retry    = 100 * time.Millisecond
	slowest  = 500 * time.Millisecond // between retries
)

// Source is where changes are read from.
type Source interface {
	NewestPublished(ctx context.Context) (platform.Batch, platform.StoreStatus, error)
	ReadPublished(ctx context.Context, from int64, wait time.Duration) (platform.Batch, platform.StoreStatus, error)
}

// Follower knows what is in force. It is safe for concurrent use.
type Follower struct {
	source Source
	logger hclog.Logger

	mu     sync.Mutex
	config *workload.Config
	waves  map[int64]workload.Wave
	readAt time.Time
}

// New returns a follower that knows nothing yet.
func New(source Source, logger hclog.Logger) *Follower {
	return &Follower{source: source, logger: logger, waves: map[int64]workload.Wave{}}
}

// Config returns the configuration in force, nil before the first was read.
func (f *Follower) Config() *workload.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config
}

// Waves returns all waves that were asked for.
func (f *Follower) Waves() []workload.Wave {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]workload.Wave, 0, len(f.waves))
	for _, w := range f.waves {
		list = append(list, w)
	}
	return list
}

// ReadAt is when the newest state was last known to be complete.
func (f *Follower) ReadAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readAt
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	pause := retry
	next := int64(-1)
	for ctx.Err() == nil {
		batch, status, err := f.read(ctx, next)
		if status == platform.StoreDropped {
			f.logger.Warn("history of operators' changes was dropped, reading the newest", "from", next)
			next = -1
			continue
		}
		if status != platform.StoreOK {
			f.logger.Debug("operators' changes can't be read", "from", next, "status", status.String(), "error", err)
			wait.Pause(ctx, pause)
			pause = min(slowest, 2*pause)
			continue
		}
		pause = retry
		next = batch.Next
		f.apply(batch)
	}
	return ctx.Err()
}

func (f *Follower) read(ctx context.Context, next int64) (platform.Batch, platform.StoreStatus, error) {
	if next < 0 {
		return f.source.NewestPublished(ctx)
	}
	return f.source.ReadPublished(ctx, next, readWait)
}

// apply puts changes in force. A configuration that can't be read leaves the
// last good one in force, and so does one that is older: a node that has seen a
// version must never answer by an earlier one.
func (f *Follower) apply(batch platform.Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readAt = time.Now()
	for _, r := range batch.Records {
		p, ok, err := platform.DecodePublished(r)
		switch {
		case err != nil:
			f.logger.Error("published change can't be read, the last good state stays", "key", r.Key, "error", err)
		case !ok:
		case p.Wave != nil:
			f.waves[p.Wave.Number] = *p.Wave
			f.logger.Info("wave asked for", "wave", p.Wave.Number, "vms", len(p.Wave.VMs), "cap", p.Wave.MaxConcurrent, "within", p.Wave.Window.String())
		case f.config == nil || p.Config.Version > f.config.Version:
			f.config = p.Config
			f.logger.Info("configuration in force", "version", p.Config.Version, "queues", len(p.Config.Queues), "services", len(p.Config.Services))
		}
	}
}

package routehistory

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/yuccadrift/yuccadrift/internal/rejections"
	"github.com/yuccadrift/yuccadrift/internal/wait"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// Topic holds the stored entries.
const Topic = "keyed.paths"

var logPartition = platform.Partition{Topic: Topic, Part: 0}

const readRetryInterval = 200 * time.Millisecond

// Source reads the stored entries.
type Source interface {
	Newest(ctx context.Context, p platform.Partition) (platform.Batch, platform.StoreStatus, error)
}

// Configs are the configurations in force.
type Configs interface {
	Config() *workload.Config
	// Changed returns a channel that is closed once a newer configuration is in force.
	Changed() <-chan struct{}
}

// Former are the services that a path has led to before.
type Former struct {
	Services []string
	// ChangedAt is when the path last began to lead to another service, zero if it never has.
	ChangedAt time.Time
	// IsComplete is set if the stored history was read since the path first led to its service here.
	IsComplete bool
}

// Follower knows the paths of all configurations that this node has used, and the stored entries as of the
// latest configuration with a new route. It is safe for concurrent use.
type Follower struct {
	source  Source
	configs Configs
	logger  hclog.Logger

	rejections *rejections.Log

	mu              sync.Mutex
	table           Table
	observedVersion int64
	hasObserved     bool
	unread          map[Path]bool // observed, and no read was sent since
}

// New returns a follower that knows nothing.
func New(source Source, configs Configs, logger hclog.Logger) *Follower {
	return &Follower{source: source, configs: configs, logger: logger, rejections: NewRejections(logger), table: Table{}, unread: map[Path]bool{}}
}

// Former returns the services that the path of a queue of config has led to before.
func (f *Follower) Former(config *workload.Config, q *workload.Queue) Former {
	f.observe(config)
	f.mu.Lock()
	defer f.mu.Unlock()
	p := PathOf(q)
	e := f.table[p]
	former := Former{IsComplete: !f.unread[p]}
	for _, s := range e.Services {
		if s != q.Service {
			former.Services = append(former.Services, s)
		}
	}
	if e.ChangedAtMS > 0 {
		former.ChangedAt = time.UnixMilli(e.ChangedAtMS)
	}
	return former
}

// observe adds the routes of a configuration unless a newer one was observed.
func (f *Follower) observe(config *workload.Config) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if config == nil || f.hasObserved && config.Version <= f.observedVersion {
		return
	}
	f.observedVersion, f.hasObserved = config.Version, true
	for _, e := range f.table.Observe(config.Queues, time.Now()) {
		f.unread[Path{e.Host, e.Prefix}] = true
	}
}

// Run observes the configurations and reads the stored entries after each one with a new route, until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := f.configs.Changed()
		f.observe(f.configs.Config())
		for ctx.Err() == nil && !f.read(ctx) {
			wait.Pause(ctx, readRetryInterval)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return ctx.Err()
}

// read reads the stored entries if there are unread paths. It returns false if that failed.
func (f *Follower) read(ctx context.Context) bool {
	f.mu.Lock()
	unread := slices.Collect(maps.Keys(f.unread))
	f.mu.Unlock()
	if len(unread) == 0 {
		return true
	}
	batch, status, err := f.source.Newest(ctx, logPartition)
	if status != platform.StoreOK {
		f.logger.Debug("histories of paths can't be read, retrying", "status", status.String(), "error", err)
		return false
	}
	stored := DecodeBatch(batch, f.rejections)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.Merge(stored)
	for _, p := range unread {
		delete(f.unread, p)
	}
	return true
}

// NewRejections returns the log of entries that DecodeBatch leaves out.
func NewRejections(logger hclog.Logger) *rejections.Log {
	return rejections.New(logger, "history of a path can't be decoded and is left out")
}

// DecodeBatch returns the stored entries of a batch. One that can't be decoded is rejected and left out.
func DecodeBatch(batch platform.Batch, rejected *rejections.Log) Table {
	table := Table{}
	for _, r := range batch.Records {
		if len(r.Value) == 0 {
			continue
		}
		e, err := Decode(r.Value)
		if err != nil {
			rejected.Reject(r.Key, err)
			continue
		}
		rejected.Accept(r.Key)
		table[Path{e.Host, e.Prefix}] = e
	}
	return table
}

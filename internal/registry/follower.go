package registry

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/yuccadrift/yuccadrift/internal/rejections"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

const (
	// readInterval is the pause between reads. Workers write often, and reading each entry
	// immediately would cost a call each. A leaving worker must get no work 2 s after its
	// entry states that it leaves.
	readInterval = 250 * time.Millisecond
)

// Source reads the registry's entries.
type Source interface {
	NewestWorkers(ctx context.Context) (platform.Batch, platform.StoreStatus, error)
	ReadWorkers(ctx context.Context, from int64) (platform.Batch, platform.StoreStatus, error)
}

// Follower keeps a View up to date while it is in use. It is safe for concurrent use.
type Follower struct {
	source Source
	logger hclog.Logger

	mu                 sync.Mutex
	view               *View
	version            int64
	lastReadSentAt     time.Time     // of the latest successful read
	lastReadAnsweredAt time.Time     // of the same read
	users              int           // of the list; it is in use while there are any
	wake               chan struct{} // triggers an immediate read
	nextOffset         int64
	rejections         *rejections.Log
}

// New returns a follower.
func New(source Source, logger hclog.Logger) *Follower {
	return &Follower{source: source, logger: logger, view: NewView(), nextOffset: -1, rejections: rejections.New(logger, "entry names no usable worker and is skipped"), wake: make(chan struct{}, 1)}
}

// AddUser adds a user of the list until removeUser is called. The list is read only while it
// has users, so only by nodes that send orders to workers.
func (f *Follower) AddUser() (removeUser func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.users++
	select {
	case f.wake <- struct{}{}:
	default:
	}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.users--
	}
}

// Snapshot is the list of workers as of one read.
type Snapshot struct {
	Workers    []workload.Worker
	Version    int64     // increases with each read
	ReadSentAt time.Time // zero before the first read
	// ReadAnsweredAt is when that read was answered.
	ReadAnsweredAt time.Time
}

// Snapshot returns the list of workers at now.
func (f *Follower) Snapshot(now time.Time) Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Snapshot{Workers: f.view.List(now), Version: f.version, ReadSentAt: f.lastReadSentAt, ReadAnsweredAt: f.lastReadAnsweredAt}
}

// Run reads the list until ctx ends, while it is in use. AddUser triggers an immediate read,
// since a new owner can start nothing before it has the list.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		var nextRead <-chan time.Time
		if f.isInUse() {
			f.read(ctx)
			nextRead = time.After(readInterval)
		}
		select {
		case <-ctx.Done():
		case <-nextRead:
		case <-f.wake:
		}
	}
	return ctx.Err()
}

func (f *Follower) isInUse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.users > 0
}

func (f *Follower) read(ctx context.Context) {
	sentAt := time.Now()
	isFull := f.nextOffset < 0
	var batch platform.Batch
	var status platform.StoreStatus
	var err error
	if isFull {
		batch, status, err = f.source.NewestWorkers(ctx)
	} else {
		batch, status, err = f.source.ReadWorkers(ctx, f.nextOffset)
	}
	if status == platform.StoreDropped {
		f.nextOffset = -1
		return
	}
	if status != platform.StoreOK {
		f.logger.Debug("workers can't be read", "status", status.String(), "error", err)
		return
	}
	f.nextOffset = batch.Next
	f.apply(batch, isFull, sentAt)
}

func (f *Follower) apply(batch platform.Batch, isFull bool, sentAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastReadAnsweredAt = time.Now()
	f.view.RecordSuccessfulRead(f.lastReadAnsweredAt)
	f.lastReadSentAt = sentAt
	f.version++
	if batch.Unreadable > 0 {
		f.logger.Error("worker entries have no key and are skipped", "count", batch.Unreadable)
	}
	var list []workload.Worker
	for _, r := range batch.Records {
		w, ok, err := platform.DecodeWorker(r)
		if err != nil {
			f.view.Reject(r.Key)
			f.rejections.Reject(r.Key, err)
			continue
		}
		f.rejections.Accept(r.Key)
		switch {
		case ok && isFull:
			list = append(list, w)
		case ok:
			f.view.Set(w)
		default:
			f.view.Remove(r.Key)
		}
	}
	if isFull {
		f.view.Replace(list)
	}
}

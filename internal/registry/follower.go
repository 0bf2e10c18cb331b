package registry

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// Times of reading.
const (
	// readInterval is the pause between reads. Workers write often; reading each
	// entry as it comes would cost a call each. A worker that leaves is to get no
	// work 2 s after its entry says so.
	readInterval = 250 * time.Millisecond
)

// Source is where entries are read from.
type Source interface {
	NewestWorkers(ctx context.Context) (platform.Batch, platform.StoreStatus, error)
	ReadWorkers(ctx context.Context, from int64) (platform.Batch, platform.StoreStatus, error)
}

// Follower keeps a View while it is needed. It is safe for concurrent use.
type Follower struct {
	source Source
	logger hclog.Logger

	mu                 sync.Mutex
	view               *View
	version            int64
	lastReadSentAt     time.Time     // when the latest good read was sent
	lastReadAnsweredAt time.Time     // when it was answered
	users              int           // how many need it
	wake               chan struct{} // has an entry once one more needs it
	nextOffset         int64
	// rejected are the entries that were found unusable, for one log line each.
	rejected map[string]bool
}

// New returns a follower.
func New(source Source, logger hclog.Logger) *Follower {
	return &Follower{source: source, logger: logger, view: NewView(), nextOffset: -1, rejected: map[string]bool{}, wake: make(chan struct{}, 1)}
}

// Acquire says that the list is needed until done is called: only nodes that order
// workers read it.
func (f *Follower) Acquire() (release func()) {
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

// Snapshot is the list at a time.
type Snapshot struct {
	Workers    []workload.Worker
	Version    int64     // rises with each change
	ReadSentAt time.Time // of the read that it rests on; zero before the first
	// ReadAnsweredAt is when that read was answered.
	ReadAnsweredAt time.Time
	IsComplete     bool // no outage of the store has ended just now
}

// Snapshot returns the list.
func (f *Follower) Snapshot(now time.Time) Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Snapshot{Workers: f.view.List(now), Version: f.version, ReadSentAt: f.lastReadSentAt, ReadAnsweredAt: f.lastReadAnsweredAt, IsComplete: f.view.IsComplete(now)}
}

// Run reads until ctx ends, while the list is needed. Whoever begins to need it gets a
// read at once: it takes a service over and can start nothing before.
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
		f.logger.Error("records of workers have no key and are left out", "count", batch.Unreadable)
	}
	var list []workload.Worker
	for _, r := range batch.Records {
		w, ok, err := platform.DecodeWorker(r)
		if err != nil {
			f.reject(r.Key, err)
			continue
		}
		delete(f.rejected, r.Key)
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

// reject takes an entry that can't be used. Its writer may repeat it each second,
// so it is logged once.
func (f *Follower) reject(id string, reason error) {
	f.view.Reject(id)
	if f.rejected[id] || len(f.rejected) >= maxLoggedRejections {
		return
	}
	f.rejected[id] = true
	f.logger.Error("entry names no usable worker and is left out", "worker", id, "reason", reason)
}

// maxLoggedRejections is how many unusable entries are remembered, and so logged: enough to
// see what writes them, and some 20 kB of memory.
const maxLoggedRejections = 200

// Package follower drives the ledger: it reads the platform's log, folds it,
// and appends this process's proposals. Every daemon has one.
package follower

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Limits of one read and pauses between attempts.
const (
	readMax    = 1000
	readWait   = 2 * time.Second
	retryPause = 200 * time.Millisecond
	// proposePause is how long Propose waits for its record to come back
	// before it appends a second copy under the same ID.
	proposePause = time.Second
	// appendTimeout bounds one append. Without it an append whose reply never
	// comes would hold Propose back until its context ends, though the record
	// was folded long before.
	appendTimeout = time.Second
)

// Config is what a Follower needs.
type Config struct {
	Log    platform.Log
	Stream string
	Logger hclog.Logger
}

// Follower keeps the folded state of one process.
type Follower struct {
	cfg Config

	mu      sync.RWMutex
	state   *ledger.State
	fresh   time.Time // when the latest read that reached the tail was sent
	waiters map[string]chan ledger.Outcome
	changed []chan struct{}
}

// New returns a Follower at offset 0. Serve makes it follow the log.
func New(cfg Config) *Follower {
	return &Follower{cfg: cfg, state: ledger.New(), waiters: map[string]chan ledger.Outcome{}}
}

// View calls f with the state under a read lock. f must not keep or change it.
func (f *Follower) View(fn func(*ledger.State)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	fn(f.state)
}

// Fresh returns when the latest read that reached the end of the log was sent:
// every record appended before then is folded. Zero until the first.
func (f *Follower) Fresh() time.Time {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.fresh
}

// Changed returns a channel that gets a value after the state has changed. The
// channel holds one value: a slow reader misses repeats, never the last change.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	ch := make(chan struct{}, 1)
	f.changed = append(f.changed, ch)
	return ch
}

// Propose appends a record and waits until it is folded. The outcome says
// whether it took effect. A lost reply is met by appending the same record
// again: its second copy is void. The error is ctx's when the outcome is still
// unknown at its end; the record may yet take effect.
func (f *Follower) Propose(ctx context.Context, rec record.Record) (ledger.Outcome, error) {
	data, err := record.Encode(rec)
	if err != nil {
		return ledger.Outcome{}, err
	}
	wait := f.await(rec.ID)
	defer f.forget(rec.ID)
	for {
		err := f.append(ctx, data)
		if errors.Is(err, platform.ErrRejected) {
			return ledger.Outcome{}, err
		}
		select {
		case out := <-wait:
			return out, nil
		case <-ctx.Done():
			return ledger.Outcome{}, errors.Wrap(ctx.Err(), "outcome of the record is unknown")
		case <-time.After(proposePause):
		}
	}
}

func (f *Follower) append(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := f.cfg.Log.Append(ctx, f.cfg.Stream, [][]byte{data})
	return err
}

func (f *Follower) await(id string) <-chan ledger.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	ch := make(chan ledger.Outcome, 1)
	f.waiters[id] = ch
	return ch
}

func (f *Follower) forget(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.waiters, id)
}

// Serve follows the log until ctx ends. It is a suture service.
func (f *Follower) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil {
			f.cfg.Logger.Warn("cannot read the log", "error", err)
			pause(ctx, retryPause)
		}
	}
	return ctx.Err()
}

func (f *Follower) step(ctx context.Context) error {
	wait := readWait
	if f.Fresh().IsZero() { // a process that starts learns at once that the log is empty
		wait = 0
	}
	return f.read(ctx, wait)
}

// CatchUp reads and folds the log to its present end. It may run beside Serve:
// a process that was paused needs the end of the log at once, while Serve may
// wait on a connection that broke meanwhile.
func (f *Follower) CatchUp(ctx context.Context) error {
	began := time.Now()
	for f.Fresh().Before(began) {
		if err := f.read(ctx, 0); err != nil {
			return err
		}
	}
	return nil
}

func (f *Follower) read(ctx context.Context, wait time.Duration) error {
	f.mu.RLock()
	from := platform.Offset(f.state.Offset + 1)
	f.mu.RUnlock()
	sent := time.Now()
	batch, err := f.cfg.Log.Read(ctx, f.cfg.Stream, from, readMax, wait)
	if err != nil {
		return err
	}
	f.fold(batch, sent)
	return nil
}

// fold applies a batch. Entries that another read brought before are passed
// over.
func (f *Follower) fold(batch platform.Batch, sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range batch.Entries {
		if uint64(e.Offset) <= f.state.Offset {
			continue
		}
		out := f.state.ApplyData(uint64(e.Offset), e.Data)
		if ch, ok := f.waiters[out.ID]; ok {
			delete(f.waiters, out.ID)
			ch <- out
		}
	}
	if platform.Offset(f.state.Offset)+1 >= batch.Next && sent.After(f.fresh) {
		f.fresh = sent
	}
	if len(batch.Entries) == 0 {
		return
	}
	for _, ch := range f.changed {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

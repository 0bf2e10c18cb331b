package follower

import (
	"context"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/wait"
)

// Limits and timing of reads.
const (
	maxReadEntries = 1000
	// readTimeout is the timeout of a read in addition to the time it waits for
	// entries.
	readTimeout   = 5 * time.Second
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second // including jitter
	// verifyAfter is the time without a successful read after which the log is
	// checked against the state.
	verifyAfter = 30 * time.Second
)

// Errors of reading, in addition to those of platform.Log.
var (
	errGap     = errors.New("entries that were not folded are gone from the log")
	errForeign = errors.New("the log does not continue the state")
)

// newBackoff returns an exponential backoff with jitter, so that nodes that
// lost the log together do not return together. The library adds jitter to
// MaxInterval; MaxInterval is reduced accordingly, otherwise the longest pause
// would exceed maxRetryDelay by half.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minRetryDelay
	b.MaxInterval = time.Duration(float64(maxRetryDelay) / (1 + b.RandomizationFactor))
	return b
}

// Serve follows the log until ctx ends. It is a suture service.
func (f *Follower) Serve(ctx context.Context) error {
	retry := newBackoff()
	for ctx.Err() == nil {
		err := f.step(ctx)
		if err == nil {
			retry.Reset()
			continue
		}
		if ctx.Err() == nil {
			f.recordFailure(err)
		}
		wait.Sleep(ctx, retry.NextBackOff())
	}
	return ctx.Err()
}

// recordFailure sets the condition for a failed step.
func (f *Follower) recordFailure(err error) {
	f.metrics.readErrors.Inc()
	f.mu.RLock()
	offset := f.state.Offset
	empty := offset == 0 && f.fresh.IsZero()
	f.mu.RUnlock()
	switch {
	case errors.Is(err, errForeign):
		f.setCondition(Foreign, fmt.Sprintf("%v; the state at offset %d is kept and nothing is decided", err, offset))
	case errors.Is(err, errGap):
		f.setCondition(Gap, fmt.Sprintf("%v; the state at offset %d is kept and nothing is decided", err, offset))
	case empty:
		f.setCondition(Starting, "no state yet and the log cannot be read: "+errors.Cause(err).Error())
	default:
		f.setCondition(CutOff, "the log cannot be read: "+errors.Cause(err).Error())
	}
}

func (f *Follower) step(ctx context.Context) error {
	if err := f.loadInitialState(ctx); err != nil {
		return err
	}
	wait := f.cfg.ReadWait
	if f.Fresh().IsZero() { // a starting process does not wait on an empty log
		wait = 0
	}
	err := f.readAndFold(ctx, wait)
	if errors.Is(err, platform.ErrTrimmed) {
		return f.recoverFromGap(ctx)
	}
	return err
}

// loadInitialState loads the newest snapshot or, while the log is unavailable,
// a peer's state. A process that started from a peer's state still looks for
// the snapshot once the log is available.
func (f *Follower) loadInitialState(ctx context.Context) error {
	f.mu.RLock()
	checked, offset := f.snapshotChecked, f.state.Offset
	f.mu.RUnlock()
	if checked || f.cfg.SnapshotStream == "" {
		return nil
	}
	data, err := f.store.newest(ctx)
	if err != nil {
		if offset == 0 {
			f.askPeers(ctx)
		}
		return err
	}
	if data != nil {
		f.adopt(data, "snapshot stream")
	}
	f.mu.Lock()
	f.snapshotChecked = true
	f.mu.Unlock()
	return nil
}

// askPeers adopts the newest state of the peers and reports whether it was
// newer. A process that cannot read the log starts from it.
func (f *Follower) askPeers(ctx context.Context) bool {
	if f.cfg.Peers == nil {
		return false
	}
	data, err := f.cfg.Peers.NewestState(ctx)
	if err != nil {
		f.cfg.Logger.Debug("no state from peers", "error", errors.Cause(err))
		return false
	}
	f.mu.Lock()
	f.tookPeerState = true
	f.mu.Unlock()
	return f.adopt(data, "peer")
}

// recoverFromGap looks for a state that covers entries which retention removed
// before they were folded.
func (f *Follower) recoverFromGap(ctx context.Context) error {
	if f.cfg.SnapshotStream != "" {
		data, err := f.store.newest(ctx)
		if err != nil {
			return err
		}
		if data != nil && f.adopt(data, "snapshot stream") && !f.isTrimmed() {
			return nil
		}
	}
	if f.askPeers(ctx) && !f.isTrimmed() {
		return nil
	}
	f.mu.RLock()
	defer f.mu.RUnlock()
	return errors.Wrapf(errGap, "folded up to %d, retained from %d", f.state.Offset, f.first)
}

// isTrimmed reports whether the entry after the state was removed.
func (f *Follower) isTrimmed() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return platform.Offset(f.state.Offset)+1 < f.first
}

// CatchUp reads and folds the log up to its current end. It may run
// concurrently with Serve: a process that was paused needs the end of the log
// at once, while Serve may still wait on a connection that broke in the
// meantime.
func (f *Follower) CatchUp(ctx context.Context) error {
	began := time.Now()
	for f.Fresh().Before(began) {
		if err := f.readAndFold(ctx, 0); err != nil {
			return err
		}
	}
	return nil
}

// readAndFold reads once and folds the entries.
func (f *Follower) readAndFold(ctx context.Context, wait time.Duration) error {
	if err := f.verify(ctx); err != nil {
		return err
	}
	f.mu.RLock()
	from := platform.Offset(f.state.Offset + 1)
	f.mu.RUnlock()
	sent := time.Now()
	batch, err := f.readEntries(ctx, from, maxReadEntries, wait)
	if err != nil {
		return err
	}
	if batch.Next < from {
		f.mu.Lock()
		f.verifyPending = true
		f.mu.Unlock()
		return errors.Wrapf(errForeign, "folded up to %d, the log's next offset is %d", from-1, batch.Next)
	}
	f.fold(batch, sent)
	f.setCondition(Following, "")
	return nil
}

// readEntries reads entries and records the retained range.
func (f *Follower) readEntries(ctx context.Context, from platform.Offset, limit int, wait time.Duration) (platform.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	batch, err := f.cfg.Log.Read(ctx, f.cfg.Stream, from, limit, wait)
	if err != nil && !errors.Is(err, platform.ErrTrimmed) {
		return batch, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.first, f.next = batch.First, batch.Next
	return batch, err
}

// verify checks, after a state was adopted or no read succeeded for
// verifyAfter, that the log's entry at the state's offset is the one that was
// folded. Otherwise a log that was lost and has grown past that offset again
// would be folded on top of an unrelated state.
func (f *Follower) verify(ctx context.Context) error {
	f.mu.RLock()
	offset, hash := f.state.Offset, f.state.EntryHash
	pending := f.verifyPending || (!f.lastRead.IsZero() && time.Since(f.lastRead) > verifyAfter)
	f.mu.RUnlock()
	if !pending || offset == 0 {
		return nil
	}
	batch, err := f.readEntries(ctx, platform.Offset(offset), 1, 0)
	switch {
	case batch.Next != 0 && batch.Next <= platform.Offset(offset):
		return errors.Wrapf(errForeign, "folded up to %d, the log's next offset is %d", offset, batch.Next)
	case errors.Is(err, platform.ErrTrimmed): // nothing to compare with
	case err != nil:
		return err
	case len(batch.Entries) > 0 && uint64(batch.Entries[0].Offset) == offset && hash != 0 && xxhash.Sum64(batch.Entries[0].Data) != hash:
		return errors.Wrapf(errForeign, "its entry at offset %d is not the one folded", offset)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.verifyPending = false
	f.lastRead = time.Now()
	return nil
}

// fold applies a batch. Entries that another read has already delivered are
// skipped.
func (f *Follower) fold(batch platform.Batch, sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastRead = time.Now()
	if last := f.apply(batch.Entries); last+1 >= batch.Next && sent.After(f.fresh) {
		f.fresh = sent
	}
}

// apply folds entries and returns the offset reached. It must be called with
// f.mu held.
func (f *Follower) apply(entries []platform.Entry) platform.Offset {
	for _, e := range entries {
		if uint64(e.Offset) <= f.state.Offset {
			continue
		}
		before := f.state.Offset
		out := f.state.ApplyData(uint64(e.Offset), e.Data)
		f.checkpoint(before)
		f.recent.add(e)
		f.metrics.records.WithLabelValues(string(out.Status)).Inc()
		if w, ok := f.waiters[out.ID]; ok {
			delete(f.waiters, out.ID)
			w <- out
		}
	}
	if len(entries) > 0 {
		f.notify()
	}
	return platform.Offset(f.state.Offset)
}

package follower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/wait"
)

// Timing of snapshots.
const (
	// DefaultSnapshotInterval is the default of Config.SnapshotInterval.
	DefaultSnapshotInterval = 10 * time.Minute
	// maxEntriesPerSnapshot is the number of entries after which a snapshot is
	// due, which limits how many a starting node must fold.
	maxEntriesPerSnapshot = 8192
	// snapshotPollInterval is the interval between checks for the snapshots of
	// other nodes.
	snapshotPollInterval = 15 * time.Second
	// maxPublishDelay is the maximum random delay before a due snapshot is
	// published, so that usually only one node publishes it.
	maxPublishDelay = 20 * time.Second
	// publishTimeout is the timeout for appending one snapshot.
	publishTimeout = 30 * time.Second
	// maxPublishReadAge is the maximum age of the latest read of the log's end.
	maxPublishReadAge = 5 * time.Second
)

// publisher decides when this process publishes a snapshot. It learns of other
// nodes' snapshots by reading the new entries of the stream.
type publisher struct {
	f       *Follower
	next    platform.Offset // first entry of the stream not yet read
	parts   assembly
	covered uint64    // offset of the newest snapshot
	since   time.Time // when that snapshot was seen
}

// serveSnapshots publishes due snapshots. Two nodes that publish at the same
// time do no harm.
func (f *Follower) serveSnapshots(ctx context.Context) error {
	p := &publisher{f: f, parts: assembly{}, since: time.Now()}
	for ctx.Err() == nil {
		if err := p.publishIfDue(ctx); err != nil && ctx.Err() == nil {
			f.cfg.Logger.Debug("snapshot not published", "error", errors.Cause(err))
		}
		wait.Sleep(ctx, snapshotPollInterval)
	}
	return ctx.Err()
}

// publishIfDue publishes a snapshot if it is due, and is still due after a
// random delay in which another node may have published.
func (p *publisher) publishIfDue(ctx context.Context) error {
	if due, err := p.checkDue(ctx); !due || err != nil {
		return err
	}
	wait.Sleep(ctx, rand.N(maxPublishDelay))
	if due, err := p.checkDue(ctx); !due || err != nil {
		return err
	}
	return p.publish(ctx)
}

func (p *publisher) checkDue(ctx context.Context) (bool, error) {
	if err := p.readNewEntries(ctx); err != nil {
		return false, err
	}
	return p.due(time.Now()), nil
}

// readNewEntries reads the snapshots that appeared on the stream. It starts at
// the first entry not yet read: reading an older one would fetch a whole
// snapshot each time, more than all other reads of the process together.
func (p *publisher) readNewEntries(ctx context.Context) error {
	store := p.f.store
	if p.next == 0 {
		first, next, err := store.bounds(ctx)
		if err != nil {
			return err
		}
		p.next = max(first, next-1) // only the newest existing entry counts
	}
	for {
		batch, err := store.read(ctx, p.next)
		if err != nil {
			return err
		}
		if p.next < batch.First { // trimmed before it was read
			p.next = batch.First
			continue
		}
		if len(batch.Entries) == 0 {
			if batch.First == batch.Next && batch.First > 1 { // retention has removed them all
				p.covered = 0
			}
			return nil
		}
		p.addEntry(batch.Entries[0].Data)
		p.next++
	}
}

// addEntry processes an entry that may complete a snapshot.
func (p *publisher) addEntry(entry []byte) {
	snapshot := p.parts.add(entry)
	if snapshot == nil {
		return
	}
	clear(p.parts)
	if offset, err := ledger.SnapshotOffset(snapshot); err == nil && offset >= p.covered {
		p.covered, p.since = offset, time.Now()
	}
}

// due reports whether a snapshot must be published: no snapshot covers the
// retained range, the newest one is before its middle, or it is too old in
// entries or time.
func (p *publisher) due(now time.Time) bool {
	f := p.f
	f.mu.RLock()
	defer f.mu.RUnlock()
	offset := f.state.Offset
	if f.condition != Following || offset == 0 || now.Sub(f.fresh) > maxPublishReadAge {
		return false
	}
	if now.Sub(p.since) >= f.cfg.SnapshotInterval {
		return true // even if nothing was folded: retention removes old snapshots
	}
	if offset <= p.covered {
		return false
	}
	covered := platform.Offset(p.covered)
	trimmed := f.first > 1
	return trimmed && covered < f.first+(f.next-f.first)/2 || offset-p.covered >= maxEntriesPerSnapshot
}

func (p *publisher) publish(ctx context.Context) error {
	data, err := p.f.Snapshot()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	if err := p.f.store.append(ctx, data); err != nil {
		return err
	}
	offset, err := ledger.SnapshotOffset(data)
	if err != nil {
		return err
	}
	p.covered, p.since = offset, time.Now()
	p.f.metrics.snapshots.Inc()
	p.f.cfg.Logger.Info("snapshot published", "offset", offset, "bytes", len(data))
	return nil
}

package follower

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/wait"
)

// Limits and timing of following the log through peers.
const (
	// peerPollInterval is the interval between two requests to peers.
	peerPollInterval = 250 * time.Millisecond
	// readOverdueGrace is the time beyond ReadWait without a successful read
	// after which peers are asked. Together with peerPollInterval it stays
	// below the 3 s within which a drained backend server must get no more
	// work.
	readOverdueGrace = time.Second
	// tailEntries and tailBytes limit the entries kept for peers.
	tailEntries = 1000
	tailBytes   = 1 << 20
)

// ErrForeignTail means that the peer folded another entry at the requested
// offset.
var ErrForeignTail = errors.New("the peer follows another log")

// recentEntries holds the latest folded entries, without a gap.
type recentEntries struct {
	entries []platform.Entry
	bytes   int
}

func (t *recentEntries) add(e platform.Entry) {
	t.entries = append(t.entries, e)
	t.bytes += len(e.Data)
	drop := 0
	for len(t.entries)-drop > tailEntries || t.bytes > tailBytes {
		t.bytes -= len(t.entries[drop].Data)
		drop++
	}
	t.entries = slices.Delete(t.entries, 0, drop)
}

// Started reports whether the state may be acted on: the log was read to its
// end once or, while it cannot be read, the peers' newest state was received.
// Before that a process would serve documents that may have been replaced long
// ago.
func (f *Follower) Started() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return !f.fresh.IsZero() || f.tookPeerState
}

// Tail returns the entries folded after an offset, for a peer that cannot read
// the log. hash is the hash of the entry at the offset, 0 if the peer does not
// know it. gap means that this process is ahead and no longer holds the
// entries. The error is ErrForeignTail.
func (f *Follower) Tail(after, hash uint64) (entries []platform.Entry, gap bool, err error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if after >= f.state.Offset {
		return nil, false, nil
	}
	i, found := slices.BinarySearchFunc(f.recent.entries, platform.Offset(after), func(e platform.Entry, o platform.Offset) int {
		return int(e.Offset) - int(o)
	})
	if !found {
		return nil, true, nil
	}
	if hash != 0 && xxhash.Sum64(f.recent.entries[i].Data) != hash {
		return nil, false, errors.WithStack(ErrForeignTail)
	}
	return slices.Clone(f.recent.entries[i+1:]), false, nil
}

// serveRelay follows the log through peers while it cannot be read. Otherwise a
// process that alone lost its connection to the platform would send work to a
// backend server that the others drained long ago, and serve replaced
// documents. Fresh does not advance: leases and decisions depend on the
// process's own reads.
func (f *Follower) serveRelay(ctx context.Context) error {
	began := time.Now()
	for ctx.Err() == nil {
		if f.readOverdue(began) {
			f.followPeers(ctx)
		}
		wait.Sleep(ctx, peerPollInterval)
	}
	return ctx.Err()
}

// readOverdue reports whether no read has succeeded for too long.
func (f *Follower) readOverdue(began time.Time) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	last := f.lastRead
	if last.IsZero() {
		last = began
	}
	return time.Since(last) > f.cfg.ReadWait+readOverdueGrace
}

func (f *Follower) followPeers(ctx context.Context) {
	if !f.Started() {
		f.askPeers(ctx)
		return
	}
	f.mu.RLock()
	after, hash, foreign := f.state.Offset, f.state.EntryHash, f.condition == Foreign
	f.mu.RUnlock()
	entries, gap, err := f.cfg.Peers.Tail(ctx, after, hash)
	switch {
	case err != nil:
		f.cfg.Logger.Debug("no entries from peers", "error", errors.Cause(err))
	case gap && foreign: // the peers may follow the other log
	case gap:
		f.askPeers(ctx)
	case len(entries) > 0:
		f.mu.Lock()
		defer f.mu.Unlock()
		f.apply(entries)
		f.cfg.Logger.Debug("followed the log through a peer", "offset", f.state.Offset)
	}
}

// Package follower keeps a process's ledger state: it loads the newest
// snapshot, reads and folds the platform's log, appends the process's proposals
// and publishes snapshots. Every daemon runs a Follower.
package follower

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/supervise"
)

// Config configures a Follower. Only Log, Stream and Logger are required.
type Config struct {
	Log    platform.Log
	Stream string
	Logger hclog.Logger
	// Appender batches proposals; without it each proposal is appended by
	// itself. Its Serve is one of the Follower's duties.
	Appender *platform.Appender
	// ReadWait is how long a read at the end of the log waits for an entry. On
	// a quiet log Fresh becomes up to twice as old, because each waiting read
	// is sent when the previous one ends. DefaultReadWait if zero.
	ReadWait time.Duration
	// SnapshotStream is the stream of snapshots. If empty, the process starts
	// from the first entry of the log and publishes no snapshots.
	SnapshotStream string
	// SnapshotInterval is the longest time between two snapshots of all nodes
	// together. The retention of both streams must be at least twice as long.
	// DefaultSnapshotInterval if zero.
	SnapshotInterval time.Duration
	// Peers provide state and entries while the log cannot; may be nil.
	Peers Peers
	// Node is the author of clock witnesses; none are written if it is empty.
	Node string
}

// Peers are other processes whose state may be newer.
type Peers interface {
	// NewestState returns the snapshot with the highest offset of any peer. If
	// no peer answers, it returns the last peer's error.
	NewestState(ctx context.Context) (snapshot []byte, err error)
	// Tail returns the entries that a peer folded after an offset; see
	// Follower.Tail.
	Tail(ctx context.Context, after, hash uint64) (entries []platform.Entry, gap bool, err error)
}

// Condition describes whether the process follows the log.
type Condition string

// Conditions of a Follower. The state is served in all of them, but Fresh
// advances only while Following, so decisions and leases end in the others.
const (
	// Starting means that no state is known yet.
	Starting Condition = "starting"
	// Following means that the log is read and folded.
	Following Condition = "following"
	// CutOff means that the log cannot be read.
	CutOff Condition = "cut-off"
	// Gap means that the log no longer holds entries that were not folded, and
	// neither a snapshot nor a peer covers them.
	Gap Condition = "gap"
	// Foreign means that the log is not the one that the state was folded from,
	// for example because the platform lost or replaced it.
	Foreign Condition = "foreign-log"
)

// DefaultReadWait keeps Fresh less than a second old on a quiet log.
const DefaultReadWait = 500 * time.Millisecond

// Follower keeps the folded state of a process. It is safe for concurrent use.
type Follower struct {
	cfg     Config
	store   snapshotStore
	metrics *metrics

	mu              sync.RWMutex
	state           *ledger.State
	condition       Condition
	detail          string
	snapshotChecked bool              // the newest snapshot was looked up
	verifyPending   bool              // the log must be checked against the state
	tookPeerState   bool              // a peer's newest state was received
	recent          recentEntries     // latest entries, for peers
	fresh           time.Time         // when the latest read that reached the log's end was sent
	lastRead        time.Time         // when the latest successful read ended
	first           platform.Offset   // lowest retained offset at the latest read
	next            platform.Offset   // next offset at the latest read
	waiters         map[string]waiter // by record ID
	changed         []chan struct{}
	lastCheckpoint  Checkpoint

	encoded encodedState
}

type waiter chan ledger.Outcome

// encodedState caches the latest snapshot made for peers.
type encodedState struct {
	mu     sync.Mutex
	offset uint64
	data   []byte
}

// New returns a Follower at offset 0. Its Duties must run to make it follow the
// log.
func New(cfg Config) *Follower {
	if cfg.ReadWait <= 0 {
		cfg.ReadWait = DefaultReadWait
	}
	if cfg.SnapshotInterval <= 0 {
		cfg.SnapshotInterval = DefaultSnapshotInterval
	}
	f := &Follower{
		cfg:       cfg,
		store:     snapshotStore{log: cfg.Log, stream: cfg.SnapshotStream},
		state:     ledger.New(),
		condition: Starting,
		waiters:   map[string]waiter{},
	}
	f.metrics = newMetrics(f)
	return f
}

// Duties returns the duties that the process must run.
func (f *Follower) Duties() []supervise.Duty {
	duties := []supervise.Duty{{Name: "follow", Serve: f.Serve}}
	if f.cfg.Appender != nil {
		duties = append(duties, supervise.Duty{Name: "append", Serve: f.cfg.Appender.Serve})
	}
	if f.cfg.SnapshotStream != "" {
		duties = append(duties, supervise.Duty{Name: "snapshots", Serve: f.serveSnapshots})
	}
	if f.cfg.Peers != nil {
		duties = append(duties, supervise.Duty{Name: "relay", Serve: f.serveRelay})
	}
	if f.cfg.Node != "" {
		duties = append(duties, supervise.Duty{Name: "witness", Serve: f.serveWitness})
	}
	return duties
}

// View calls fn with the state under a read lock. fn must not change the state
// or keep a reference to it.
func (f *Follower) View(fn func(*ledger.State)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	fn(f.state)
}

// Fresh returns when the latest read that reached the end of the log was sent:
// every record appended before then is folded. It is zero before the first such
// read.
func (f *Follower) Fresh() time.Time {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.fresh
}

// Condition returns the condition with details for the operator, which are
// empty while Following.
func (f *Follower) Condition() (Condition, string) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.condition, f.detail
}

// Changed returns a channel that receives a value after the state has changed.
// The channel holds one value: a slow reader misses intermediate changes but
// never the last.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	ch := make(chan struct{}, 1)
	f.changed = append(f.changed, ch)
	return ch
}

// notify signals the channels of Changed. It must be called with f.mu held.
func (f *Follower) notify() {
	for _, ch := range f.changed {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// Digest returns the state's offset and digest.
func (f *Follower) Digest() (offset, digest uint64, err error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	digest, err = f.state.Digest()
	return f.state.Offset, digest, err
}

// checkpointInterval is the distance between checkpoints in offsets. Each
// checkpoint encodes the state.
const checkpointInterval = 8192

// Checkpoint is a digest of the state at an offset where every node computes
// one: that of the first entry at or past each multiple of checkpointInterval.
type Checkpoint struct {
	Offset uint64
	Digest uint64
}

// Checkpoint returns the latest checkpoint, with Offset 0 before the first.
// Nodes whose checkpoints differ at the same offset hold different states,
// which means a bug in the fold, incompatible builds or corrupt memory.
func (f *Follower) Checkpoint() Checkpoint {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.lastCheckpoint
}

// checkpoint computes a checkpoint if the state has passed a multiple of
// checkpointInterval since the offset before. It must be called with f.mu held.
func (f *Follower) checkpoint(before uint64) {
	if before/checkpointInterval == f.state.Offset/checkpointInterval {
		return
	}
	digest, err := f.state.Digest()
	if err != nil {
		f.cfg.Logger.Error("cannot encode the state", "error", err)
		return
	}
	f.lastCheckpoint = Checkpoint{Offset: f.state.Offset, Digest: digest}
	f.cfg.Logger.Info("checkpoint", "offset", f.state.Offset, "digest", fmt.Sprintf("%016x", digest))
}

// errNoState means that there is no state to return yet.
var errNoState = errors.New("nothing was folded yet")

// Snapshot returns the encoded state for a peer. Peers that start together get
// the same bytes, so that a restart of all nodes costs one encoding.
func (f *Follower) Snapshot() ([]byte, error) {
	f.encoded.mu.Lock()
	defer f.encoded.mu.Unlock()
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.state.Offset == 0 {
		return nil, errNoState
	}
	if f.encoded.offset == f.state.Offset {
		return f.encoded.data, nil
	}
	data, err := ledger.EncodeSnapshot(f.state)
	if err != nil {
		return nil, err
	}
	f.encoded.offset, f.encoded.data = f.state.Offset, data
	return data, nil
}

// adopt replaces the state by a snapshot that is newer and reports whether it
// did. A node never goes back to a lower offset, which would undo documents in
// force and effective drains.
func (f *Follower) adopt(data []byte, from string) bool {
	s, err := ledger.DecodeSnapshot(data)
	if err != nil {
		f.cfg.Logger.Warn("cannot use a snapshot", "from", from, "error", errors.Cause(err))
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.Offset <= f.state.Offset {
		return false
	}
	f.cfg.Logger.Info("state loaded", "from", from, "offset", s.Offset, "own_offset", f.state.Offset)
	f.state = s
	f.recent = recentEntries{}
	f.verifyPending = true
	f.notify()
	return true
}

// setCondition sets the condition and logs a change.
func (f *Follower) setCondition(c Condition, detail string) {
	f.mu.Lock()
	if f.condition == c && f.detail == detail {
		f.mu.Unlock()
		return
	}
	f.condition, f.detail = c, detail
	f.mu.Unlock()
	f.cfg.Logger.Info("condition", "now", c, "detail", detail)
}

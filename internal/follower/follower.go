// Package follower drives the ledger: it starts from the newest snapshot, reads
// the platform's log, folds it, appends this process's proposals and publishes
// snapshots. Every daemon has one.
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

// Config is what a Follower needs. Only Log, Stream and Logger are required.
type Config struct {
	Log    platform.Log
	Stream string
	Logger hclog.Logger
	// Appender batches proposals; without it each is appended by itself. Its
	// Serve is among the Follower's duties.
	Appender *platform.Appender
	// ReadWait is how long a read at the end of the log waits for an entry. On a
	// quiet log Fresh becomes twice as old: a read that waits was sent when the
	// one before it ended. DefaultReadWait when zero.
	ReadWait time.Duration
	// SnapshotStream is the stream of snapshots. Empty means that the process
	// starts from the first entry of the log and publishes no snapshots.
	SnapshotStream string
	// SnapshotInterval is the longest pause between two snapshots of all nodes
	// together. Retention of both streams must be at least twice as long.
	// DefaultSnapshotInterval when zero.
	SnapshotInterval time.Duration
	// Peers are asked for their state where the log does not help; may be nil.
	Peers Peers
	// Node signs clock witnesses; empty writes none.
	Node string
}

// Peers are other processes that may have folded further.
type Peers interface {
	// NewestState returns the snapshot with the highest offset that any peer
	// has. The error is that of the last peer when none answers.
	NewestState(ctx context.Context) (snapshot []byte, err error)
	// Tail returns the entries that a peer folded after an offset; see
	// Follower.Tail.
	Tail(ctx context.Context, after, hash uint64) (entries []platform.Entry, gap bool, err error)
}

// Condition is how the process stands to the log.
type Condition string

// Conditions. Whatever it is, the state goes on being served; Fresh goes up
// only while Following, so decisions and leases end with it.
const (
	// Starting: no state is known yet.
	Starting Condition = "starting"
	// Following: the log is read and folded.
	Following Condition = "following"
	// CutOff: the log cannot be read.
	CutOff Condition = "cut-off"
	// Gap: the log no longer holds entries that were not folded, and neither a
	// snapshot nor a peer covers them.
	Gap Condition = "gap"
	// Foreign: the log is not the one that the state was folded from, as after
	// the platform lost or replaced it.
	Foreign Condition = "foreign-log"
)

// DefaultReadWait keeps Fresh within a second on a quiet log.
const DefaultReadWait = 500 * time.Millisecond

// Follower keeps the folded state of one process. It is safe for concurrent use.
type Follower struct {
	cfg     Config
	store   snapshotStore
	metrics *metrics

	mu              sync.RWMutex
	state           *ledger.State
	condition       Condition
	detail          string
	snapshotChecked bool              // the newest snapshot was looked for
	verifyPending   bool              // whether the log continues the state is to be checked
	tookPeerState   bool              // a peer's state was asked for and came
	tail            tail              // for peers
	fresh           time.Time         // when the latest read that reached the tail was sent
	lastRead        time.Time         // when the latest read succeeded
	first           platform.Offset   // lowest retained offset at the latest read
	next            platform.Offset   // next offset at the latest read
	waiters         map[string]waiter // by record ID
	changed         []chan struct{}
	lastCheckpoint  Checkpoint

	encoded encodedState
}

type waiter chan ledger.Outcome

// encodedState is the latest snapshot made for peers.
type encodedState struct {
	mu     sync.Mutex
	offset uint64
	data   []byte
}

// New returns a Follower at offset 0. Its duties make it follow the log.
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

// Duties returns what has to run.
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

// Condition returns how the process stands to the log, with a line for the
// operator; the line is empty while Following.
func (f *Follower) Condition() (Condition, string) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.condition, f.detail
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

// notify tells the readers of Changed; f.mu is held.
func (f *Follower) notify() {
	for _, ch := range f.changed {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// Digest returns the offset and the digest of the state at it.
func (f *Follower) Digest() (offset, digest uint64, err error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	digest, err = f.state.Digest()
	return f.state.Offset, digest, err
}

// checkpointInterval is the distance of checkpoints in offsets. A checkpoint costs
// an encoding of the state.
const checkpointInterval = 8192

// Checkpoint is a digest of the state at an offset at which every node takes
// one: the first entry at or past each multiple of checkpointEvery.
type Checkpoint struct {
	Offset uint64
	Digest uint64
}

// Checkpoint returns the latest checkpoint; its Offset is 0 before the first.
// Nodes whose checkpoints differ at one offset hold different states, which is a
// fault of the fold, of a build or of a node's memory.
func (f *Follower) Checkpoint() Checkpoint {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.lastCheckpoint
}

// checkpoint takes one if the state has just passed a multiple; f.mu is held.
func (f *Follower) checkpoint(before uint64) {
	if before/checkpointInterval == f.state.Offset/checkpointInterval {
		return
	}
	digest, err := f.state.Digest()
	if err != nil {
		f.cfg.Logger.Error("the state cannot be encoded", "error", err)
		return
	}
	f.lastCheckpoint = Checkpoint{Offset: f.state.Offset, Digest: digest}
	f.cfg.Logger.Info("checkpoint", "offset", f.state.Offset, "digest", fmt.Sprintf("%016x", digest))
}

// errNoState means that there is no state to pass on yet.
var errNoState = errors.New("nothing was folded yet")

// Snapshot returns the present state for a peer. Peers that start together get
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

// adopt takes over a state that is further than the present one and reports
// whether it did. A node never steps back to a lower offset: documents in force
// and effective drains would be undone.
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
	f.cfg.Logger.Info("took over a state", "from", from, "offset", s.Offset, "own_offset", f.state.Offset)
	f.state = s
	f.tail = tail{}
	f.verifyPending = true
	f.notify()
	return true
}

// setCondition notes and reports a condition. It stays until another is set.
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

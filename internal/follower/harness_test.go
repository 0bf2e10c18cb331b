package follower_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/follower"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/standin"
	"github.com/yuccadrift/yuccadrift/internal/testkit"
)

const (
	stream    = "records"
	snapshots = "snapshots"
)

// logLink is a node's connection to the log.
type logLink struct {
	*testkit.FaultyLog
	// snapshotBytes counts the bytes read from the stream of snapshots.
	snapshotBytes atomic.Int64
}

func (l *logLink) Read(ctx context.Context, name string, from platform.Offset, limit int, wait time.Duration) (platform.Batch, error) {
	batch, err := l.FaultyLog.Read(ctx, name, from, limit, wait)
	if name == snapshots {
		for _, e := range batch.Entries {
			l.snapshotBytes.Add(int64(len(e.Data)))
		}
	}
	return batch, err
}

// node is a process with a Follower.
type node struct {
	*follower.Follower
	t       *testing.T
	logLink *logLink
	name    string
	ids     int
}

// fakePeers provides the states of other nodes; a node that returns an error counts
// as unreachable.
type fakePeers struct {
	mu   sync.Mutex
	list []*node
}

func (p *fakePeers) set(list ...*node) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = list
}

func (p *fakePeers) get() []*node {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list
}

func (p *fakePeers) NewestState(context.Context) ([]byte, error) {
	var best []byte
	var top uint64
	for _, n := range p.get() {
		data, err := n.Snapshot()
		if err != nil {
			continue
		}
		if offset, _ := ledger.SnapshotOffset(data); offset > top {
			best, top = data, offset
		}
	}
	if best == nil {
		return nil, platform.ErrUnavailable
	}
	return best, nil
}

// Tail asks the peers one after the other.
func (p *fakePeers) Tail(_ context.Context, after, hash uint64) ([]platform.Entry, bool, error) {
	last, behind := error(platform.ErrUnavailable), false
	for _, n := range p.get() {
		entries, gap, err := n.Follower.Tail(after, hash)
		if len(entries) > 0 {
			return entries, false, nil
		}
		behind, last = behind || gap, err
	}
	return nil, behind, last
}

// start runs a node until the test ends. change modifies its Config.
func start(t *testing.T, log *standin.Platform, name string, change func(*follower.Config, *logLink)) *node {
	l := &logLink{FaultyLog: testkit.NewFaultyLog(log)}
	cfg := follower.Config{Log: l, Stream: stream, SnapshotStream: snapshots, Node: name, Logger: hclog.NewNullLogger()}
	cfg.Appender = platform.NewAppender(l, stream, platform.AppenderOptions{})
	if change != nil {
		change(&cfg, l)
	}
	n := &node{Follower: follower.New(cfg), t: t, logLink: l, name: name}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for _, duty := range n.Duties() {
		running.Go(func() { _ = duty.Serve(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return n
}

func noSnapshots(c *follower.Config, _ *logLink) { c.SnapshotStream = "" }

// run runs f in a synctest bubble with a fake clock.
func run(t *testing.T, f func(t *testing.T)) { synctest.Test(t, f) }

func (n *node) offset() uint64 {
	var offset uint64
	n.View(func(s *ledger.State) { offset = s.Offset })
	return offset
}

func (n *node) condition() follower.Condition {
	c, _ := n.Condition()
	return c
}

func (n *node) digest() uint64 {
	_, digest, err := n.Digest()
	require.NoError(n.t, err)
	return digest
}

// draft returns a record that registers a new VM.
func (n *node) draft() record.Record {
	n.ids++
	id := fmt.Sprintf("%s-%d", n.name, n.ids)
	rec := record.Record{ID: id, Subject: record.Subject{Kind: record.SubjectVM, Name: id}, Author: "test", Time: time.Now(),
		Body: record.VMRegister{Zone: "z", Rack: "r", Address: "10.0.0.1:80", Cores: 1, MemoryMB: 1}}
	n.View(func(s *ledger.State) { rec.Seen = s.Offset })
	return rec
}

func (n *node) writeRecords(records int) {
	n.t.Helper()
	for range records {
		ctx, cancel := context.WithTimeout(n.t.Context(), time.Minute)
		out, err := n.Propose(ctx, n.draft())
		cancel()
		require.NoError(n.t, err)
		require.Equal(n.t, ledger.Effective, out.Status, out.Reason)
	}
}

// advance advances the fake clock by d and waits until everything due has
// happened.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func requireSameState(t *testing.T, a, b *node) {
	t.Helper()
	require.Equal(t, a.offset(), b.offset())
	require.Equal(t, a.digest(), b.digest())
}

// snapshotsOn returns the number of entries ever appended to the snapshot
// stream, including trimmed ones.
func snapshotsOn(t *testing.T, log *standin.Platform) int {
	batch, err := log.Read(t.Context(), snapshots, 1, 1, 0)
	if err != nil {
		require.ErrorIs(t, err, platform.ErrTrimmed)
	}
	return int(batch.Next) - 1
}

// incompressible returns a document with a large comment of random digits.
func incompressible(service string) string {
	r := rand.New(rand.NewPCG(1, uint64(len(service))))
	var b strings.Builder
	fmt.Fprintf(&b, "service = %q\nteam = \"t\"\n[pool]\nsize = 0\n[budget]\nwindow = \"1h\"\nallowed = 0.5\n", service)
	for b.Len() < 31<<10 {
		fmt.Fprintf(&b, "# %x\n", r.Uint64()^uint64(b.Len()))
	}
	return b.String()
}

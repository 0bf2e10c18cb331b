package published

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/peerbook"
	"github.com/yuccadrift/yuccadrift/platform"
)

const configKey = "config"

func configRecord(version int64) platform.KeyedRecord {
	return platform.KeyedRecord{Key: configKey, Value: fmt.Appendf(nil, `{"version":%d}`, version)}
}

// fakeStore is the operators' topic.
type fakeStore struct {
	mu      sync.Mutex
	records []platform.KeyedRecord
}

func (s *fakeStore) publish(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, configRecord(version))
}

// link is one node's connection to the store. While it is cut, calls get no answer.
type link struct {
	store *fakeStore
	mu    sync.Mutex
	isCut bool
}

func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = cut
}

func (l *link) cut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isCut
}

// callTimeout is the time after which a call without an answer fails.
const callTimeout = 1800 * time.Millisecond

func (l *link) NewestOperatorChanges(ctx context.Context) (platform.Batch, platform.StoreStatus, error) {
	return l.ReadOperatorChanges(ctx, 0, 0)
}

func (l *link) ReadOperatorChanges(ctx context.Context, from int64, wait time.Duration) (platform.Batch, platform.StoreStatus, error) {
	sleep := func(d time.Duration) {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
	}
	for end := time.Now().Add(wait); ; sleep(10 * time.Millisecond) {
		if l.cut() {
			sleep(callTimeout)
			return platform.Batch{}, platform.StoreUnknown, errors.New("no answer")
		}
		l.store.mu.Lock()
		records := l.store.records[from:]
		l.store.mu.Unlock()
		if len(records) > 0 || !time.Now().Before(end) || ctx.Err() != nil {
			return platform.Batch{Records: records, Next: from + int64(len(records))}, platform.StoreOK, nil
		}
	}
}

// fleet is a number of nodes that can all reach each other.
type fleet struct {
	store  *fakeStore
	links  []*link
	nodes  []*Follower
	calls  []int // to each node
	mu     sync.Mutex
	cancel context.CancelFunc
}

// peersOf implements Peers for one node.
type peersOf struct {
	*peerbook.Book
	fleet *fleet
}

func address(i int) string { return fmt.Sprint("node-", i) }

func (p peersOf) FetchConfig(ctx context.Context, to string, version int64) (PeerConfig, error) {
	var i int
	if _, err := fmt.Sscanf(to, "node-%d", &i); err != nil {
		return PeerConfig{}, err
	}
	select {
	case <-time.After(2 * time.Millisecond):
	case <-ctx.Done():
		return PeerConfig{}, ctx.Err()
	}
	p.fleet.mu.Lock()
	p.fleet.calls[i]++
	p.fleet.mu.Unlock()
	return p.fleet.nodes[i].ConfigNewerThan(version), nil
}

// startFleet starts n nodes, each of which knows the first few.
func startFleet(t *testing.T, n, known int) *fleet {
	ctx, cancel := context.WithCancel(t.Context())
	f := &fleet{store: &fakeStore{}, calls: make([]int, n), cancel: cancel}
	rng := rand.New(rand.NewPCG(7, 7))
	var rngMu sync.Mutex
	intN := func(n int) int {
		rngMu.Lock()
		defer rngMu.Unlock()
		return rng.IntN(n)
	}
	for range n {
		l := &link{store: f.store}
		f.links = append(f.links, l)
		f.nodes = append(f.nodes, New(l, hclog.NewNullLogger()))
	}
	for i, node := range f.nodes {
		book := peerbook.New(address(i), intN)
		for k := range known {
			book.Add(address(k))
		}
		go func() { _ = node.Run(ctx) }()
		go func() { _ = node.RunPeerFetch(ctx, peersOf{book, f}) }()
	}
	return f
}

// stop ends the nodes' goroutines.
func (f *fleet) stop() {
	f.cancel()
	time.Sleep(2 * callTimeout)
}

// takeCalls returns the calls between nodes since the last call of takeCalls.
func (f *fleet) takeCalls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := 0
	for i, calls := range f.calls {
		total += calls
		f.calls[i] = 0
	}
	return total
}

func (f *fleet) versions() map[int64]int {
	count := map[int64]int{}
	for _, node := range f.nodes {
		count[node.Version()]++
	}
	return count
}

// Guards against nodes that lose the store and keep an old configuration: a third of the nodes, among
// them five of the six that all know, can't read the store when keys are taken away.
func TestConfigurationReachesNodesThatCannotReadTheStore(t *testing.T) {
	for _, n := range []int{42, 300} {
		synctest.Test(t, func(t *testing.T) {
			f := startFleet(t, n, 6)
			defer f.stop()
			f.store.publish(3)
			time.Sleep(time.Second)
			require.Equal(t, map[int64]int{3: n}, f.versions())
			for i := range n / 3 {
				if i != 5 {
					f.links[i].setCut(true)
				}
			}
			f.store.publish(7)
			time.Sleep(2 * time.Second) // the shortest time in which a configuration must be in force
			assert.Equal(t, map[int64]int{7: n}, f.versions())
			f.store.publish(9)
			time.Sleep(time.Second)
			assert.Equal(t, map[int64]int{9: n}, f.versions(), "nodes that are known to be cut off learn of a change within a round")
		})
	}
}

// Guards against nodes that load others while they need nothing, or while the store is down for all.
func TestNodesAskOthersOnlyWhileTheStoreDoesNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 42
		f := startFleet(t, n, 6)
		defer f.stop()
		f.store.publish(1)
		time.Sleep(10 * time.Second)
		assert.Zero(t, f.takeCalls())
		for _, l := range f.links {
			l.setCut(true)
		}
		// Nodes find out one after the other that the store doesn't answer. Until the last one has, others
		// take it for one that reads the store.
		const detection = 2 * readOverdueAfter
		time.Sleep(detection)
		assert.LessOrEqual(t, f.takeCalls(), n*peersPerRound*int(readOverdueAfter/roundInterval+maxEmptyRounds))
		const rounds = 20
		time.Sleep(rounds * idleRoundInterval)
		assert.LessOrEqual(t, f.takeCalls(), n*peersPerRound*rounds)
	})
}

// Guards against an older configuration in force after a newer one, across the store's return and
// a lagging peer.
func TestConfigurationNeverGoesBack(t *testing.T) {
	f := New(nil, hclog.NewNullLogger())
	f.apply(platform.Batch{Records: []platform.KeyedRecord{configRecord(5)}})
	f.ApplyFromPeer("node-1", configRecord(8).Value)
	assert.Equal(t, int64(8), f.Version())
	f.ApplyFromPeer("node-2", configRecord(6).Value)
	f.apply(platform.Batch{Records: []platform.KeyedRecord{configRecord(7)}})
	assert.Equal(t, int64(8), f.Version())
	assert.Nil(t, f.ConfigNewerThan(8).Record)
	assert.Equal(t, configRecord(8).Value, f.ConfigNewerThan(5).Record)
}

// Guards against an invalid configuration that replaces the last good one.
func TestInvalidConfigurationLeavesTheLastGoodInForce(t *testing.T) {
	f := New(nil, hclog.NewNullLogger())
	f.apply(platform.Batch{Records: []platform.KeyedRecord{configRecord(5)}})
	invalid := []byte(`{"version":6,"tenants":[{"name":"a","api_keys":["k"]},{"name":"b","api_keys":["k"]}]}`)
	f.apply(platform.Batch{Records: []platform.KeyedRecord{{Key: configKey, Value: invalid}}})
	f.ApplyFromPeer("node-1", invalid)
	assert.Equal(t, int64(5), f.Version())
}

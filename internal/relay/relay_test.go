package relay

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

	"github.com/yuccadrift/yuccadrift/platform"
)

// fakeStore is what sources read: the version of the configuration, and the version of the owners.
type fakeStore struct {
	mu      sync.Mutex
	config  int64
	owners  uint64
	changed chan struct{}
	reads   int // by nodes without a source
}

func (s *fakeStore) change(config int64, owners uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config, s.owners = config, owners
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) state() (config int64, owners uint64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config, s.owners, s.changed
}

// fault is what is wrong with a source.
type fault int

const (
	healthy fault = iota
	lost          // its address refuses connections
	frozen        // it doesn't answer
	cutOff        // it doesn't read the store
)

// fakeNodes are the sources, and the network to them.
type fakeNodes struct {
	store *fakeStore
	mu    sync.Mutex
	fault map[string]fault
	calls map[string]int
}

func (n *fakeNodes) setFault(f fault, addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range addresses {
		n.fault[a] = f
	}
}

func (n *fakeNodes) Candidates() []string {
	list := make([]string, 24)
	for i := range list {
		list[i] = fmt.Sprint("source-", i)
	}
	return list
}

func (n *fakeNodes) faultOf(address string) fault {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fault[address]
}

func (n *fakeNodes) Follow(ctx context.Context, address string, q Question) (Answer, error) {
	n.mu.Lock()
	n.calls[address]++
	n.mu.Unlock()
	time.Sleep(2 * time.Millisecond)
	for waitCtx, cancel := context.WithTimeout(ctx, q.Wait); ; {
		switch n.faultOf(address) {
		case lost:
			cancel()
			return Answer{}, errors.New("connection refused")
		case frozen:
			<-ctx.Done()
			cancel()
			return Answer{}, ctx.Err()
		case cutOff:
			cancel()
			return Answer{}, nil
		}
		config, owners, changed := n.store.state()
		if config > q.ConfigVersion || owners != q.OwnersVersion || waitCtx.Err() != nil {
			cancel()
			a := Answer{IsSource: true, OwnersVersion: owners}
			if owners != q.OwnersVersion {
				a.Owners = []platform.Owner{{Member: fmt.Sprint(owners)}}
			}
			if config > q.ConfigVersion {
				a.Config = []byte(fmt.Sprint(config))
			}
			return a, nil
		}
		select {
		case <-changed:
		case <-waitCtx.Done():
		}
	}
}

// fakeTarget is a node that reads the store itself, each 450 ms, while it has no source.
type fakeTarget struct {
	store      *fakeStore
	follower   *Follower
	mu         sync.Mutex
	config     int64
	newestSeen time.Time // when config last changed
}

func (t *fakeTarget) Known() Question {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Question{ConfigVersion: t.config}
}

func (t *fakeTarget) MayFollow() bool { return true }

func (t *fakeTarget) Apply(_ string, a Answer) {
	if a.Config != nil {
		config, _, _ := t.store.state()
		t.set(config)
	}
}

func (t *fakeTarget) set(config int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if config > t.config {
		t.config, t.newestSeen = config, time.Now()
	}
}

func (t *fakeTarget) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !t.follower.IsFresh() {
			t.store.mu.Lock()
			t.store.reads += 2 // who owns, and the configuration
			t.store.mu.Unlock()
			config, _, _ := t.store.state()
			t.set(config)
		}
		t.follower.AwaitLapse(ctx, 450*time.Millisecond)
	}
}

// relayRig is a store, 24 sources and a number of followers.
type relayRig struct {
	store   *fakeStore
	nodes   *fakeNodes
	targets []*fakeTarget
}

func newRelayRig(ctx context.Context, followers int) *relayRig {
	r := &relayRig{store: &fakeStore{config: 1, owners: 1, changed: make(chan struct{})}}
	r.nodes = &fakeNodes{store: r.store, fault: map[string]fault{}, calls: map[string]int{}}
	for i := range followers {
		t := &fakeTarget{store: r.store}
		rng := rand.New(rand.NewPCG(uint64(i), 5))
		t.follower = New(r.nodes, t, rng.IntN, hclog.NewNullLogger())
		r.targets = append(r.targets, t)
		go func() {
			if err := t.follower.Run(ctx); !errors.Is(err, context.Canceled) {
				panic(err)
			}
		}()
		go t.run(ctx)
	}
	return r
}

// latest returns how long after a change the last follower has learned of it.
func (r *relayRig) latest(config int64, changedAt time.Time) time.Duration {
	longest := time.Duration(0)
	for _, t := range r.targets {
		t.mu.Lock()
		if t.config != config {
			longest = time.Hour
		} else {
			longest = max(longest, t.newestSeen.Sub(changedAt))
		}
		t.mu.Unlock()
	}
	return longest
}

// 600 and 1,200 nodes read who owns and the configuration. Guards against calls to the store that grow with the
// nodes, against changes that reach some of them late, and against a source that all follow.
func TestManyNodesReadWhoOwns(t *testing.T) {
	for _, followers := range []int{600, 1200} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			r := newRelayRig(ctx, followers)
			time.Sleep(2 * time.Second)
			readsAtStart := r.store.reads
			assert.LessOrEqual(t, readsAtStart, 4*followers)
			for i := range 5 {
				changedAt := time.Now()
				r.store.change(int64(2+i), uint64(2+i))
				time.Sleep(2 * time.Second)
				assert.Less(t, r.latest(int64(2+i), changedAt), 20*time.Millisecond, "a change reaches all")
			}
			assert.Equal(t, readsAtStart, r.store.reads, "reads of the store while all have a source")
			for address, calls := range r.nodes.calls {
				assert.Less(t, calls, 3*12*2*followers/24, "calls to %s in 12 s: three times an equal share", address)
			}
			cancel()
			synctest.Wait()
		})
	}
}

// Guards against nodes that learn of a change late because their source is lost, doesn't answer or doesn't read the
// store: a third of the sources, or all of them, when the change comes.
func TestChangesReachAllWithoutTheirSources(t *testing.T) {
	for name, f := range map[string]fault{"lost": lost, "frozen": frozen, "cut off": cutOff} {
		for _, affected := range []int{8, 24} {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				r := newRelayRig(ctx, 300)
				time.Sleep(2 * time.Second)
				r.nodes.setFault(f, r.nodes.Candidates()[:affected]...)
				changedAt := time.Now()
				r.store.change(2, 2)
				time.Sleep(3 * time.Second)
				// An answer is due after followWait; then the node reads itself, at its next check.
				assert.Less(t, r.latest(2, changedAt), followWait+answerMargin+500*time.Millisecond, "%s, %d sources", name, affected)
				cancel()
				synctest.Wait()
			})
		}
	}
}

// Guards against owners that count as known after their source is gone.
func TestOwnersOfALostSourceAreNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := newRelayRig(ctx, 1)
		f := r.targets[0].follower
		time.Sleep(time.Second)
		_, _, ok := f.Owners()
		assert.True(t, ok)
		r.nodes.setFault(frozen, r.nodes.Candidates()...)
		time.Sleep(followWait + answerMargin + time.Millisecond)
		_, _, ok = f.Owners()
		assert.False(t, ok)
		assert.False(t, f.IsFresh())
		cancel()
		synctest.Wait()
	})
}

package ownership

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/yuccadrift/yuccadrift/platform"
)

// storeLink is a node's connection to the store. Calls get no answer while the node is cut off or killed.
type storeLink struct {
	*stickyGroup
	isCut *atomic.Bool
}

func (l storeLink) Join(ctx context.Context, m platform.Member) (platform.Assignment, platform.StoreStatus, error) {
	if l.isCut.Load() {
		return platform.Assignment{}, platform.StoreUnknown, nil
	}
	return l.stickyGroup.Join(ctx, m)
}

func (l storeLink) Leave(ctx context.Context, group, member string) (platform.StoreStatus, error) {
	if l.isCut.Load() {
		return platform.StoreUnknown, nil
	}
	return l.stickyGroup.Leave(ctx, group, member)
}

func (l storeLink) Owners(ctx context.Context, group string) ([]platform.Owner, platform.StoreStatus, error) {
	if l.isCut.Load() {
		return nil, platform.StoreUnknown, nil
	}
	return l.stickyGroup.Owners(ctx, group)
}

// clusterMemberClient is a node's connection to the other nodes.
type clusterMemberClient struct{ c *cluster }

func (l clusterMemberClient) JoinStatus(ctx context.Context, address string) (JoinStatus, error) {
	for _, n := range l.c.nodes {
		if n.name+":1" == address && !n.isSilent.Load() {
			time.Sleep(time.Millisecond)
			return n.manager.JoinStatus(), nil
		}
	}
	<-ctx.Done()
	return JoinStatus{}, ctx.Err()
}

// Sizes of the simulated fleets. Fifteen of a hundred VMs are strong, as in a fleet to which an operator has added many
// small VMs to serve callers.
const (
	strongMilliCores   = 800
	weakMilliCores     = 192
	strongShare        = 0.15
	partitionsPerTopic = 24
	partitionsWithWork = 6 // of the topic jobs
	startSpread        = 300 * time.Millisecond
	outageTime         = 1600 * time.Millisecond
)

// cluster is a fleet of nodes with one store.
type cluster struct {
	t     *testing.T
	group *stickyGroup
	nodes []*clusterNode
	// hasRelays is set if nodes that yield learn of the owners from members.
	hasRelays bool

	mu               sync.Mutex
	ownerByPartition map[platform.Partition]*clusterNode
	runnerStarts     map[platform.Partition]int // of partitions with work
	weakRunnerStarts int                        // of partitions with work, on weak VMs
}

type clusterNode struct {
	name           string
	milliCores     int
	memberships    int
	cancel         context.CancelFunc
	manager        *Manager
	isCut          *atomic.Bool
	isSilent       atomic.Bool  // the node does not answer other nodes
	suspendedNanos atomic.Int64 // total time for which the machine was suspended
	ended          chan struct{}
	relayed        relayedRead
}

// relayedRead is what a node was last told of the owners.
type relayedRead struct {
	list       []platform.Owner
	asOf       time.Time
	freshUntil time.Time
}

// relayLapse is how long a node relies on its source after the source is gone.
const relayLapse = 850 * time.Millisecond

// relayedOwners returns the owners as a running member has read them last.
func (c *cluster) relayedOwners(n *clusterNode) ([]platform.Owner, time.Time, bool) {
	now := time.Now()
	for _, source := range c.nodes {
		if source == n || source.manager == nil || source.isCut.Load() || !source.isRunning() || source.manager.IsYielding() {
			continue
		}
		if read, ok := source.manager.LastOwnersRead(); ok && read.Age < maxOwnersAge+300*time.Millisecond {
			n.relayed = relayedRead{list: read.List, asOf: now.Add(-read.Age), freshUntil: now.Add(relayLapse)}
			break
		}
	}
	return n.relayed.list, n.relayed.asOf, now.Before(n.relayed.freshUntil)
}

func (n *clusterNode) isRunning() bool {
	select {
	case <-n.ended:
		return false
	default:
		return true
	}
}

func hasWork(p platform.Partition) bool { return p.Topic == "jobs" && p.Part < partitionsWithWork }

// runCluster runs a scenario with a fleet of strong and weak VMs in a synctest bubble.
func runCluster(t *testing.T, strong, weak int, scenario func(c *cluster)) {
	runClusterWith(t, strong, weak, partitionsPerTopic, scenario)
}

// runClusterWith is runCluster with another number of partitions of each topic.
func runClusterWith(t *testing.T, strong, weak, partitions int, scenario func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, group: newStickyGroup(partitions), ownerByPartition: map[platform.Partition]*clusterNode{}, runnerStarts: map[platform.Partition]int{}}
		for i := range strong + weak {
			n := &clusterNode{name: fmt.Sprintf("node-%04d", i), milliCores: weakMilliCores}
			if i < strong {
				n.milliCores = strongMilliCores
			}
			c.nodes = append(c.nodes, n)
		}
		scenario(c)
		c.stop(func(*clusterNode) bool { return true })
	})
}

func (c *cluster) isStrong(n *clusterNode) bool { return n.milliCores == strongMilliCores }

// start starts nodes over startSpread, in an order that mixes strong and weak ones.
func (c *cluster) start(which func(*clusterNode) bool) {
	var list []*clusterNode
	for i := range c.nodes {
		if n := c.nodes[i*7919%len(c.nodes)]; which(n) {
			list = append(list, n)
		}
	}
	for _, n := range list {
		c.run(n)
		time.Sleep(startSpread / time.Duration(len(list)))
	}
}

func (c *cluster) run(n *clusterNode) {
	n.isCut = new(atomic.Bool)
	n.ended = make(chan struct{})
	ctx, cancel := context.WithCancel(c.t.Context())
	n.cancel = cancel
	runPartition := func(ctx context.Context, p platform.Partition, _ int64) error {
		c.mu.Lock()
		c.ownerByPartition[p] = n
		if hasWork(p) {
			c.runnerStarts[p]++
			if !c.isStrong(n) {
				c.weakRunnerStarts++
			}
		}
		c.mu.Unlock()
		<-ctx.Done()
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.ownerByPartition[p] == n {
			delete(c.ownerByPartition, p)
		}
		return ctx.Err()
	}
	n.relayed = relayedRead{}
	var relayedOwners func() ([]platform.Owner, time.Time, bool)
	if c.hasRelays {
		relayedOwners = func() ([]platform.Owner, time.Time, bool) { return c.relayedOwners(n) }
	}
	m := New(storeLink{c.group, n.isCut}, Config{
		RelayedOwners: relayedOwners,
		Node:          n.name, Address: n.name + ":1", MilliCores: n.milliCores,
		Topics: []string{"jobs", "fleet"}, Partitions: c.group.partitionsPerTopic, HasWork: hasWork,
		MemberClient: clusterMemberClient{c},
		SuspendedFor: func() time.Duration { return time.Duration(n.suspendedNanos.Load()) },
		Logger:       hclog.NewNullLogger(),
		UniqueID: func() string {
			n.memberships++
			return strconv.Itoa(n.memberships)
		},
	}, runPartition)
	n.manager = m
	go func() {
		defer close(n.ended)
		_ = m.Run(ctx)
	}()
}

// kill ends nodes without a call to the store.
func (c *cluster) kill(which func(*clusterNode) bool) {
	for _, n := range c.nodes {
		if which(n) {
			n.isCut.Store(true)
		}
	}
	c.stop(which)
}

// stop ends nodes cleanly and waits for them.
func (c *cluster) stop(which func(*clusterNode) bool) {
	for _, n := range c.nodes {
		if which(n) {
			n.cancel()
		}
	}
	for _, n := range c.nodes {
		if which(n) {
			<-n.ended
		}
	}
}

// ownerOf returns the node that runs a partition, nil if none does.
func (c *cluster) ownerOf(p platform.Partition) *clusterNode {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ownerByPartition[p]
}

// isAllOwned reports whether each partition with work has an owner. With byStrong, only owners on strong VMs count.
func (c *cluster) isAllOwned(byStrong bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for part := range partitionsWithWork {
		n := c.ownerByPartition[platform.Partition{Topic: "jobs", Part: part}]
		if n == nil || byStrong && !c.isStrong(n) {
			return false
		}
	}
	return true
}

// awaitOwned waits until isAllOwned(byStrong), for at most 20 s, and returns how long that took.
func (c *cluster) awaitOwned(byStrong bool) time.Duration {
	began := time.Now()
	for !c.isAllOwned(byStrong) && time.Since(began) < 20*time.Second {
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(began)
}

// takeRunnerStarts returns the runner starts of partitions with work since the last call: maxStarts is the most of one
// partition, weakStarts the total on weak VMs.
func (c *cluster) takeRunnerStarts() (maxStarts, weakStarts int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.runnerStarts {
		maxStarts = max(maxStarts, n)
	}
	weakStarts = c.weakRunnerStarts
	clear(c.runnerStarts)
	c.weakRunnerStarts = 0
	return maxStarts, weakStarts
}

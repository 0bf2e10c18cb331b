package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/platform"
)

// heldBy lists the partitions that a node runs.
func (c *cluster) heldBy(n *clusterNode) []platform.Partition {
	c.mu.Lock()
	defer c.mu.Unlock()
	var held []platform.Partition
	for p, owner := range c.owner {
		if owner == n {
			held = append(held, p)
		}
	}
	return held
}

func hasAuthority(n *clusterNode, p platform.Partition) bool {
	return time.Now().Before(n.manager.AuthorityUntil(p))
}

// settled plays a cluster of three nodes until each owns something, and hands over one
// that does.
func settled(t *testing.T, play func(c *cluster, n *clusterNode, held []platform.Partition)) {
	playCluster(t, 3, 0, func(c *cluster) {
		c.start(all)
		c.until(true)
		time.Sleep(2 * time.Second)
		held := c.heldBy(c.nodes[0])
		require.NotEmpty(t, held)
		play(c, c.nodes[0], held)
	})
}

// Guards against an owner without the store that goes on for longer than its successor
// reckons: both keep tasks running.
func TestAuthorityEndsSoonAfterASuccessorBegins(t *testing.T) {
	settled(t, func(c *cluster, n *clusterNode, held []platform.Partition) {
		*n.cut = true
		for _, p := range held {
			for c.ownerOf(p) == n {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(n.manager.TTL())
			assert.False(t, hasAuthority(n, p))
		}
	})
}

// Guards against all tasks lapsing while the store is down for all: no successor can arise.
func TestAuthorityLastsWhileTheStoreAnswersNobody(t *testing.T) {
	settled(t, func(c *cluster, n *clusterNode, held []platform.Partition) {
		for _, other := range c.nodes {
			*other.cut = true
		}
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			require.True(t, hasAuthority(n, held[0]))
		}
	})
}

// Guards against an owner that takes the silence of a member for the store's: the member may
// have become its successor.
func TestAuthorityEndsWhereAMemberDoesNotTell(t *testing.T) {
	settled(t, func(c *cluster, n *clusterNode, held []platform.Partition) {
		for _, other := range c.nodes {
			*other.cut = true
		}
		time.Sleep(3 * time.Second)
		require.True(t, hasAuthority(n, held[0]))
		c.nodes[2].silent.Store(true)
		time.Sleep(n.manager.TTL() + memberTimeout)
		assert.False(t, hasAuthority(n, held[0]))
		c.nodes[2].silent.Store(false)
		time.Sleep(joinInterval + memberTimeout)
		assert.True(t, hasAuthority(n, held[0]), "it has told since that it has not joined")
	})
}

// Guards against an owner whose machine was suspended: its steady clock doesn't count that
// time, in which its partitions have passed on.
func TestSuspensionEndsAuthorityAndOwnership(t *testing.T) {
	settled(t, func(c *cluster, n *clusterNode, held []platform.Partition) {
		*n.cut = true
		n.suspended.Store(int64(5 * time.Second))
		assert.False(t, hasAuthority(n, held[0]))
		assert.False(t, time.Now().Before(n.manager.OwnedUntil(held[0])))
		*n.cut = false
		time.Sleep(joinInterval + 10*storeLatency)
		for _, p := range c.heldBy(n) {
			assert.True(t, hasAuthority(n, p), "it has joined since")
		}
	})
}

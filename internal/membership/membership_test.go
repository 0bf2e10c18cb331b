package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/claim"
)

// A request ran through one entry VM, and its retry arrives at another. The
// owner of the key has a record of the run, so the retry gets the reply and
// does not run again.
func TestRetryAtAnotherNodeGetsTheReply(t *testing.T) {
	withCluster(t, 3, func(c *cluster) {
		for range 20 {
			k := key()
			c.runRequest("n0", k)
			d := c.claim("n1", k)
			require.Equal(c.t, claim.Ran, d.Verdict)
			require.Equal(c.t, 200, d.Answer.Status)
		}
	})
}

// After some requests ran, an entry VM joins and takes over a part of the keys,
// and then another one leaves in a planned way. Each retry must still get its
// reply, because the records move with the keys and no claim becomes unknown.
func TestJoinAndLeaveKeepClaims(t *testing.T) {
	withCluster(t, 4, func(c *cluster) {
		var keys []claim.Key
		for range 100 {
			k := key()
			c.runRequest("n0", k)
			keys = append(keys, k)
		}
		allRan := func(at string) {
			for _, k := range keys {
				d := c.claim(at, k)
				require.Equal(c.t, claim.Ran, d.Verdict, "%s", d.Reason)
				require.NotNil(c.t, d.Answer)
			}
		}
		c.start("n4")
		c.waitFor("joined", func() bool { return c.nodes["n4"].peers.NotReadyReason() == "" })
		allRan("n4")
		c.nodes["n1"].duty.Leave(c.t.Context())
		c.kill("n1")
		c.waitFor("left", func() bool { return c.nodes["n0"].members() == 4 })
		allRan("n0")
		allRan("n4")
	})
}

// An entry VM is lost with the records of the keys that it owned. The others
// must evict it and answer "unknown" to retries of those keys, about an eighth
// of all, instead of granting them. New keys must be granted again soon.
func TestLostNodeIsEvictedAndItsClaimsAreUnknown(t *testing.T) {
	withCluster(t, 8, func(c *cluster) {
		var keys []claim.Key
		for range 400 {
			k := key()
			c.runRequest("n0", k)
			keys = append(keys, k)
		}
		c.kill("n5")
		evictionTime := c.waitFor("evicted", func() bool { return c.nodes["n0"].members() == 7 })
		require.Less(c.t, evictionTime, 6*time.Second)
		time.Sleep(claimConfig.Handover + claimConfig.Ahead + claimConfig.Skew + time.Second)
		unknown := 0
		for _, k := range keys {
			d := c.claim("n1", k)
			if d.Verdict == claim.Unknown {
				require.Equal(c.t, claim.ReasonOwnerLost, d.Reason)
				unknown++
				continue
			}
			require.Equal(c.t, claim.Ran, d.Verdict)
		}
		require.Positive(c.t, unknown)
		require.Less(c.t, unknown, len(keys)/4)
		for range 50 {
			require.Equal(c.t, claim.Granted, c.claim("n2", key()).Verdict)
		}
	})
}

// An entry VM is lost during an outage of the log of ten minutes. No member can
// be evicted meanwhile. The others must go on granting their own keys on the
// acks of their peers; only keys of the lost owner get no grant. It must be
// evicted when the log is back.
func TestLogOutageKeepsGranting(t *testing.T) {
	withCluster(t, 8, func(c *cluster) {
		c.log.Cut(true)
		time.Sleep(10 * time.Minute)
		for range 50 {
			require.Equal(c.t, claim.Granted, c.claim("n3", key()).Verdict)
		}
		c.kill("n5")
		time.Sleep(time.Minute)
		granted := 0
		for range 80 {
			d := c.claim("n3", key())
			if d.Verdict == claim.Granted {
				granted++
				continue
			}
			require.Equal(c.t, claim.ReasonUnreachable, d.Reason)
		}
		require.Greater(c.t, granted, 50)
		require.Equal(c.t, 8, c.nodes["n0"].members())
		c.log.Cut(false)
		c.waitFor("evicted", func() bool { return c.nodes["n0"].members() == 7 })
	})
}

// One entry VM is partitioned from the others, but not from the log. It must
// stop granting when its lease ends, before the others take over its keys. It
// must be evicted, not rejoin during the partition, and join again afterwards.
func TestNodeCutOffFromPeersIsEvictedAndRejoins(t *testing.T) {
	withCluster(t, 5, func(c *cluster) {
		others := []string{"n1", "n2", "n3", "n4"}
		for _, o := range others {
			c.net.setCut("n0", o, true)
		}
		stopTime := c.waitFor("stopped granting", func() bool { return c.nodes["n0"].peers.NotReadyReason() != "" })
		require.Less(c.t, stopTime, leaseConfig.Duration)
		require.Equal(c.t, 5, c.nodes["n1"].members())
		c.waitFor("evicted", func() bool { return c.nodes["n1"].members() == 4 })
		time.Sleep(3 * time.Minute)
		require.Equal(c.t, 4, c.nodes["n1"].members())
		require.NotEqual(c.t, claim.Granted, c.claim("n0", key()).Verdict)
		for _, o := range others {
			c.net.setCut("n0", o, false)
		}
		c.waitFor("joined again", func() bool { return len(c.ready()) == 5 })
		c.runRequest("n0", key())
	})
}

// Eight entry VMs are split into two halves for a minute, and all of them reach
// the log. Neither half can evict the other, each must go on granting its own
// keys, and suspicions must be withdrawn after the split.
func TestHalvesSplitFromEachOtherKeepGranting(t *testing.T) {
	withCluster(t, 8, func(c *cluster) {
		left, right := []string{"n0", "n1", "n2", "n3"}, []string{"n4", "n5", "n6", "n7"}
		cut := func(cut bool) {
			for _, a := range left {
				for _, b := range right {
					c.net.setCut(a, b, cut)
				}
			}
		}
		cut(true)
		time.Sleep(time.Minute)
		require.Len(c.t, c.ready(), 8)
		require.Equal(c.t, 8, c.nodes["n0"].members())
		require.Positive(c.t, c.nodes["n0"].peers.Stats().Suspects)
		cut(false)
		c.waitFor("trust", func() bool {
			for _, n := range c.nodes {
				if n.peers.Stats().Suspects > 0 {
					return false
				}
			}
			return true
		})
		for range 50 {
			c.runRequest("n0", key())
		}
	})
}

// The log becomes unreachable right after a join, while the other members'
// refreshes of their electorates are in flight. Their outcome is not known, and
// the leases must be valid under the old and the new electorate: all members
// must go on granting.
func TestLogOutageDuringElectorateRefreshKeepsGranting(t *testing.T) {
	withCluster(t, 5, func(c *cluster) {
		c.start("n5")
		c.waitFor("joined", func() bool { return c.nodes["n0"].members() == 6 })
		c.log.Cut(true)
		time.Sleep(time.Minute)
		c.log.Cut(false)
		c.log.Cut(true)
		time.Sleep(10 * time.Second)
		require.Len(c.t, c.ready(), 6)
		for range 50 {
			require.Equal(c.t, claim.Granted, c.claim("n5", key()).Verdict)
		}
		c.log.Cut(false)
	})
}

// Two of four entry VMs were restarted in a planned way when a third is lost,
// before its electorate holds the new members. The members that left must not
// count as half of the electorate: the third must be evicted.
func TestNodeLostRightAfterARollingRestartIsEvicted(t *testing.T) {
	withCluster(t, 4, func(c *cluster) {
		for _, name := range []string{"n0", "n1"} {
			c.nodes[name].duty.Leave(c.t.Context())
			c.kill(name)
			c.start(name)
			c.waitFor("joined", func() bool { return c.nodes["n2"].members() == 4 })
		}
		c.kill("n2")
		evictionTime := c.waitFor("evicted", func() bool { return c.nodes["n3"].members() == 3 })
		require.Less(c.t, evictionTime, 10*time.Second)
	})
}

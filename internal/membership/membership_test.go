package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/claim"
)

// A caller's request ran by way of one entry VM; its retry comes in at another.
// Whoever owns the key remembers, so the retry gets the reply and no second run.
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

// Requests ran; then an entry VM joins and takes over an eighth of the keys,
// and after that another leaves in order. Each retry still gets its reply: the
// claims moved with the keys, and nothing became unknown.
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
		c.waitFor("joined", func() bool { return c.nodes["n4"].peers.Ready() == "" })
		allRan("n4")
		c.nodes["n1"].duty.Leave(c.t.Context())
		c.kill("n1")
		c.waitFor("left", func() bool { return c.nodes["n0"].members() == 4 })
		allRan("n0")
		allRan("n4")
	})
}

// An entry VM is lost with the claims that it owned. The others notice, evict
// it and answer "unknown" to retries of the keys whose claims are lost, at most
// about an eighth, and never grant them. Fresh keys are granted again soon.
func TestLostNodeIsEvictedAndItsClaimsAreUnknown(t *testing.T) {
	withCluster(t, 8, func(c *cluster) {
		var keys []claim.Key
		for range 400 {
			k := key()
			c.runRequest("n0", k)
			keys = append(keys, k)
		}
		c.kill("n5")
		gone := c.waitFor("evicted", func() bool { return c.nodes["n0"].members() == 7 })
		require.Less(c.t, gone, 6*time.Second)
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

// The platform's log is out for ten minutes, and an entry VM is lost meanwhile.
// Nobody may be evicted; the others go on granting their own keys on the word
// of their peers, and only keys of the lost one end without a grant. When the
// log is back, the lost one is evicted.
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

// One entry VM is cut off from the others, but not from the log. It stops
// granting when its lease ends, before the others may take its keys; it is
// evicted, stays out while it is cut off, and joins again afterwards.
func TestNodeCutOffFromPeersIsEvictedAndRejoins(t *testing.T) {
	withCluster(t, 5, func(c *cluster) {
		others := []string{"n1", "n2", "n3", "n4"}
		for _, o := range others {
			c.net.setCut("n0", o, true)
		}
		lapsed := c.waitFor("stopped granting", func() bool { return c.nodes["n0"].peers.Ready() != "" })
		require.Less(c.t, lapsed, leaseConfig.Duration)
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

// Eight entry VMs are split into two halves of four for a minute, with the log
// in reach of all. Neither half can evict the other, each goes on granting its
// own keys, and suspicions are taken back when the split ends.
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

// The log goes out right after a join, while the others' refreshes of their
// electorates are in flight. Their outcome stays open, and the leases must hold
// for the old and the new electorate alike: all go on granting.
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

// Two of four entry VMs were restarted in order a moment ago when a third is
// lost, before it could take the new ones for its electors. Those that left must
// not count there as half: the third is evicted all the same.
func TestNodeLostRightAfterARollingRestartIsEvicted(t *testing.T) {
	withCluster(t, 4, func(c *cluster) {
		for _, name := range []string{"n0", "n1"} {
			c.nodes[name].duty.Leave(c.t.Context())
			c.kill(name)
			c.start(name)
			c.waitFor("joined", func() bool { return c.nodes["n2"].members() == 4 })
		}
		c.kill("n2")
		gone := c.waitFor("evicted", func() bool { return c.nodes["n3"].members() == 3 })
		require.Less(c.t, gone, 10*time.Second)
	})
}

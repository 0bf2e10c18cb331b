package proof

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/outcome"
	"github.com/yuccadrift/yuccadrift/internal/standin"
	"github.com/yuccadrift/yuccadrift/internal/testkit"
)

// memberCount returns the number of entry VMs that are members according to the log.
func memberCount(c *testkit.Cluster) int { return len(c.Standin.State().Members) }

// awaitMembersAndGrants waits until all nodes are members and grant claims.
func awaitMembersAndGrants(c *testkit.Cluster) {
	c.Until("all entry VMs are members", func() bool { return memberCount(c) == len(c.Nodes) })
	awaitGrants(c)
}

func claimsCluster(t *testing.T, nodes, vms int) *testkit.Cluster {
	zones := []string{"a", "b", "c", "a", "b", "c", "a", "b"}
	c := startPool(t, vms, testkit.Options{Nodes: zones[:nodes]})
	awaitMembersAndGrants(c)
	return c
}

// awaitRunning waits until backend servers have received the requests of all keys.
func awaitRunning(c *testkit.Cluster, keys []string) {
	c.Until("the bookings run", func() bool {
		counted := c.Standin.Counters().Backends.Keys
		for _, k := range keys {
			if counted[k].Seen == 0 {
				return false
			}
		}
		return true
	})
}

// An entry VM is killed while bookings that it forwarded run, and the callers' connections break.
// Some callers retry at once at another entry VM, which waits for the lost attempt, others only
// after the VM is evicted. All must get "unknown", and no booking may run again.
func TestEntryKilledBetweenRunAndAnswer(t *testing.T) {
	c := claimsCluster(t, 3, 3)
	b := newBookingCaller(t, c)
	var keys []string
	var wg sync.WaitGroup
	for i := range 12 {
		key := testkit.Key()
		keys = append(keys, key)
		wg.Go(func() {
			a := b.send(c.Nodes[0], key, 1, time.Second)
			assert.Error(t, a.Err)
			if i%2 == 0 {
				a = b.send(c.Nodes[1+i%4/2], key, 2, 0)
				assert.NotEqual(t, outcome.NotRun, a.Outcome)
			}
		})
	}
	awaitRunning(c, keys)
	c.Nodes[0].Kill()
	wg.Wait()
	c.Until("the killed VM is evicted", func() bool { return memberCount(c) == 2 })
	for i, key := range keys {
		c.Until("an answer without a handover in progress", func() bool {
			a := b.send(c.Nodes[1+i%2], key, 3, 0)
			return a.Outcome == outcome.Unknown && a.Reason != "claims-moving" && a.Reason != "claims-unreachable"
		})
	}
	b.checkRuns()
	for _, n := range c.Nodes[1:] {
		a := b.send(n, testkit.Key(), 1, 0)
		assert.True(t, a.OK(), "%+v", a)
	}
}

// A caller's connection breaks while its booking runs, and its client retries at two entry VMs at
// once. Both must wait for the first attempt and return its answer; the booking must run once.
func TestTwoRetriesAtTheSameInstant(t *testing.T) {
	c := claimsCluster(t, 3, 3)
	for range 10 {
		b := newBookingCaller(t, c)
		key := testkit.Key()
		ctx, leave := context.WithCancel(t.Context())
		go c.Nodes[0].Send(ctx, testkit.Request{Path: "/booking/book", Key: key, Attempt: 1, Work: 300 * time.Millisecond, ReplyBytes: 200})
		awaitRunning(c, []string{key})
		leave()
		var wg sync.WaitGroup
		for _, n := range c.Nodes[1:] {
			wg.Go(func() {
				a := b.send(n, key, 2, 0)
				assert.True(t, a.OK(), "%+v", a)
				assert.Len(t, a.Body, 200)
			})
		}
		wg.Wait()
		b.checkRuns()
	}
}

// An entry VM is paused past its lease and evicted, and others take over its keys and run bookings.
// When it resumes, still as the owner by its own state, it gets retries of these bookings and new
// bookings at once. It must not run any booking again.
func TestOwnerStoppedPastItsLease(t *testing.T) {
	c := claimsCluster(t, 3, 3)
	paused := c.Nodes[0]
	for round := range 3 {
		b := newBookingCaller(t, c)
		paused.Pause()
		c.Until("the paused VM is evicted", func() bool { return memberCount(c) == 2 })
		var keys []string
		c.Until("others run bookings of all keys", func() bool {
			for i := range 20 {
				key := testkit.Key()
				if a := b.send(c.Nodes[1+i%2], key, 1, 0); !a.OK() {
					return false
				}
				keys = append(keys, key)
			}
			return true
		})
		var wg sync.WaitGroup
		for _, key := range keys {
			wg.Go(func() { b.send(paused, key, 2, 0) })
			wg.Go(func() { b.send(paused, testkit.Key(), 1, 0) })
		}
		paused.Resume()
		wg.Wait()
		b.checkRuns()
		c.Until(fmt.Sprintf("the resumed VM is a member again, round %d", round), func() bool { return memberCount(c) == 3 })
		awaitMembersAndGrants(c)
	}
}

// The entry VMs lose the connections to each other but not to the log. None has a quorum, so none
// may grant claims: first attempts must get "not-run", so that the caller may continue with a new
// key, and others "unknown". After the partition all must be members again and grant claims.
func TestEntriesSplitFromEachOther(t *testing.T) {
	c := claimsCluster(t, 3, 3)
	b := newBookingCaller(t, c)
	c.Partition(c.Nodes[:1], c.Nodes[1:2], c.Nodes[2:])
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var refused atomic.Int64
	for i := range 6 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				key := testkit.Key()
				if a := b.send(c.Nodes[(i+n)%3], key, 1, 0); a.Outcome == outcome.NotRun {
					refused.Add(1)
				}
				b.send(c.Nodes[(i+n+1)%3], key, 2, 0)
			}
		})
	}
	c.Until("many bookings are refused", func() bool { return refused.Load() > 60 })
	close(stop)
	wg.Wait()
	c.HealPeers()
	awaitMembersAndGrants(c)
	b.checkRuns()
}

// The log becomes unavailable and then an entry VM is lost. Bookings must continue at the others:
// only keys owned by the lost VM, about a third, get no grant, and no VM is evicted. When the log is
// available again, the lost VM must be evicted and all keys must be granted.
func TestBookingsWhileTheLogIsOut(t *testing.T) {
	c := claimsCluster(t, 3, 3)
	b := newBookingCaller(t, c)
	c.Standin.InjectFaults(standin.Fault{Kind: standin.LogRefuse})
	for i := range 30 {
		a := b.send(c.Nodes[i%3], testkit.Key(), 1, 0)
		assert.True(t, a.OK(), "%+v", a)
	}
	c.Nodes[2].Kill()
	ran := 0
	for i := range 30 {
		a := b.send(c.Nodes[i%2], testkit.Key(), 1, 0)
		if a.OK() {
			ran++
			continue
		}
		assert.Equal(t, outcome.NotRun, a.Outcome, "%+v", a)
	}
	assert.Greater(t, ran, 10)
	assert.Less(t, ran, 30)
	c.Standin.ClearFaults()
	c.Until("the lost VM is evicted", func() bool { return memberCount(c) == 2 })
	c.Until("all keys are granted", func() bool {
		for i := range 20 {
			if a := b.send(c.Nodes[i%2], testkit.Key(), 1, 0); !a.OK() {
				return false
			}
		}
		return true
	})
	b.checkRuns()
}

// Callers send bookings all the time and retry at other entry VMs until they know the outcome, while
// entry VMs are shut down, restarted, killed and restarted. No booking may run twice, and a graceful
// shutdown may cause no "unknown".
func TestMembershipChangesUnderLoad(t *testing.T) {
	c := claimsCluster(t, 4, 4)
	b := newBookingCaller(t, c)
	stop := b.start(8, true)
	for _, n := range c.Nodes[:2] {
		n.Entry.Terminate()
		require.NoError(t, n.Entry.Wait())
		n.Entry.Start()
		n.AwaitReady()
		c.Until("the restarted VM is a member", func() bool { return memberCount(c) == 4 })
	}
	assert.Zero(t, b.countLastOutcomes()[outcome.Unknown], "unknown outcomes after graceful shutdowns")
	c.Nodes[2].Kill()
	c.Until("the killed VM is evicted", func() bool { return memberCount(c) == 3 })
	c.Nodes[2].Start()
	c.Until("the restarted VM is a member", func() bool { return memberCount(c) == 4 })
	stop()
	b.checkRuns()
	t.Logf("bookings by last outcome: %v", b.countLastOutcomes())
}

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

// memberCount returns how many entry VMs are members by the log.
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

// awaitRunning waits until the backend servers have begun to run all of the keys.
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

// Bookings run when the entry VM that sent them is killed: the callers see their
// connections break. Some retry at once at another entry VM and wait there for
// the attempt that is lost, others only after the VM was evicted. All of them
// are told "unknown", which is the truth: no booking runs again.
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
		c.Until("an answer without a hand-over under way", func() bool {
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

// A caller's connection breaks while its booking runs, and its client sends the
// retry to two entry VMs in the same instant. Both wait for the first attempt
// and hand out its answer; the booking runs once.
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

// An entry VM is stopped past its lease and evicted; others take its keys over
// and run bookings. When it wakes up it believes itself the owner still, and at
// that instant gets retries of those bookings, and fresh ones. No booking that
// ran meanwhile runs again at its hands.
func TestOwnerStoppedPastItsLease(t *testing.T) {
	c := claimsCluster(t, 3, 3)
	paused := c.Nodes[0]
	for round := range 3 {
		b := newBookingCaller(t, c)
		paused.Pause()
		c.Until("the stopped VM is evicted", func() bool { return memberCount(c) == 2 })
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
		c.Until(fmt.Sprintf("it is a member again, round %d", round), func() bool { return memberCount(c) == 3 })
		awaitMembersAndGrants(c)
	}
}

// The entry VMs lose each other, not the log. None of them hears from half of
// them, so none may grant: first attempts are told "not-run" and may go on with
// a new key, others "unknown". Afterwards they find together again.
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
	c.Until("many are refused", func() bool { return refused.Load() > 60 })
	close(stop)
	wg.Wait()
	c.HealPeers()
	awaitMembersAndGrants(c)
	b.checkRuns()
}

// The log goes out, and then an entry VM is lost. Bookings go on at the others:
// only keys of the lost one, about a third, get no grant, and nobody is evicted.
// When the log is back, the lost VM is evicted and all keys are granted again.
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

// Callers book all the time, each retrying at another entry VM until it knows
// the end, while entry VMs are stopped in order, started, killed and started.
// Nothing runs twice; and stopping in order costs no caller an "unknown".
func TestMembershipChangesUnderLoad(t *testing.T) {
	c := claimsCluster(t, 4, 4)
	b := newBookingCaller(t, c)
	stop := b.start(8, true)
	for _, n := range c.Nodes[:2] {
		n.Entry.Terminate()
		require.NoError(t, n.Entry.Wait())
		n.Entry.Start()
		n.AwaitReady()
		c.Until("it is a member", func() bool { return memberCount(c) == 4 })
	}
	assert.Zero(t, b.countLastOutcomes()[outcome.Unknown], "stopping in order")
	c.Nodes[2].Kill()
	c.Until("the killed VM is evicted", func() bool { return memberCount(c) == 3 })
	c.Nodes[2].Start()
	c.Until("it is a member", func() bool { return memberCount(c) == 4 })
	stop()
	b.checkRuns()
	t.Logf("bookings by the last answer: %v", b.countLastOutcomes())
}

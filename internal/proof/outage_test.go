package proof

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/outcome"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/testkit"
)

// An entry VM is replaced while the platform is unreachable. The new processes must get the state
// from their peers and answer lookups by the document in force. Bookings, which need a claim, must
// get "not-run" until the platform is reachable again.
func TestEntryReplacedDuringOutageServesOnItsPeersState(t *testing.T) {
	c := startPool(t, 3, testkit.Options{Nodes: []string{"a", "b", "a"}})
	c.Publish("# the second revision\n" + testDocument("booking", 3, 1))
	revision := c.Standin.State().Services["booking"].Revision
	for _, n := range c.Nodes {
		c.Until(n.Name+" has the second revision", func() bool { return n.Status(t).Revision("booking") == revision })
		n.CutPlatform()
	}
	replaced := c.Nodes[1]
	replaced.Kill()
	replaced.Start()
	replaced.AwaitReady()
	assert.Equal(t, revision, replaced.Status(t).Revision("booking"))
	a := replaced.Send(context.Background(), testkit.Request{Path: "/booking/lookup"})
	assert.True(t, a.OK(), "%+v", a)
	key := testkit.Key()
	a = replaced.Send(context.Background(), testkit.Request{Path: "/booking/book", Key: key, Attempt: 1})
	assert.Equal(t, outcome.NotRun, a.Outcome)
	assert.Zero(t, c.Standin.KeyCounters(key).Seen)
	for _, n := range c.Nodes {
		n.HealPlatform()
	}
	c.Until("bookings run again", func() bool {
		return replaced.Send(context.Background(), testkit.Request{Path: "/booking/book", Key: testkit.Key()}).OK()
	})
}

// One entry VM loses its link to the platform but not to its peers. A backend server is drained
// meanwhile, and a long request keeps it in the draining phase. Within seconds the isolated VM must
// stop sending requests to it, although it can't read the drain from the log.
func TestEntryCutOffFromThePlatformLearnsOfADrain(t *testing.T) {
	const vm = "vm-01"
	c := startPool(t, 3, testkit.Options{Nodes: []string{"a", "b", "a"}})
	cut, connected := c.Nodes[0], c.Nodes[2]
	cut.CutPlatform()
	var long []<-chan testkit.Answer
	for c.Standin.VMCounters()[vm].Runs == 0 {
		long = append(long, sendConcurrently(connected, 1, func() testkit.Request {
			return testkit.Request{Path: "/booking/book", Key: testkit.Key(), Work: drainBound + time.Second}
		}))
		c.Until("the booking runs", func() bool { return c.Standin.Counters().Backends.Runs == len(long) })
	}
	c.MustCommand("drain", vm)
	c.Until("the drain is effective", func() bool { return c.Standin.State().VMs[vm].Phase != record.PhaseServing })
	last := time.Now().Add(drainBound)
	for time.Now().Before(last) {
		assert.True(t, cut.Send(context.Background(), testkit.Request{Path: "/booking/lookup"}).OK())
	}
	for c.Standin.State().VMs[vm].Phase == record.PhaseDraining {
		a := cut.Send(context.Background(), testkit.Request{Path: "/booking/lookup"})
		assert.True(t, a.OK(), "%+v", a)
		require.NotEqual(t, vm, a.VM)
	}
	for _, answers := range long {
		a := <-answers
		assert.True(t, a.OK(), "%+v", a)
	}
}

// publishRevision publishes revision *n+1 of the booking document, increments n and returns the
// offset of the revision.
func publishRevision(c *testkit.Cluster, n *int) uint64 {
	*n++
	c.Publish(fmt.Sprintf("# revision %d\n%s", *n, testDocument("booking", 2, 1)))
	return uint64(c.Standin.State().Services["booking"].Revision)
}

// Operators publish revisions while one entry VM is replaced, then while the platform is unreachable
// and a second VM is replaced, then while a third is cut off from the platform and its peers. No
// ready daemon may report an older revision after a newer one, and at the end all must act on the
// last one.
func TestNoDaemonReturnsToAnOlderRevision(t *testing.T) {
	c := startPool(t, 2, testkit.Options{Nodes: []string{"a", "b", "a"}})
	ctx, cancel := context.WithCancel(context.Background())
	observer := startObserver(ctx, c)
	defer func() { cancel(); observer.pollers.Wait() }()
	awaitEverywhere := func(offset uint64) {
		since := time.Now()
		c.Until(fmt.Sprintf("all daemons act on offset %d", offset), func() bool { return len(observer.notCaughtUp(since, offset)) == 0 })
	}
	revisions := 0
	publishRevision(c, &revisions)

	c.Nodes[0].Kill()
	publishRevision(c, &revisions)
	c.Nodes[0].Start()
	awaitEverywhere(publishRevision(c, &revisions))

	for _, n := range c.Nodes {
		n.CutPlatform()
	}
	missed := publishRevision(c, &revisions) // no daemon can read it yet
	c.Nodes[1].Kill()
	c.Nodes[1].Start()
	c.Nodes[1].AwaitReady()
	for _, n := range c.Nodes {
		n.HealPlatform()
	}
	awaitEverywhere(missed)

	cut := c.Nodes[2]
	cut.CutPlatform()
	c.Partition([]*testkit.Node{cut}, c.Nodes[:2])
	for range 3 {
		publishRevision(c, &revisions)
	}
	c.HealPeers()
	cut.HealPlatform()
	awaitEverywhere(publishRevision(c, &revisions))

	cancel()
	observer.pollers.Wait()
	verdict := (&evidence{statuses: observer.statuses}).checkNoRevert()
	require.NotZero(t, verdict.cases)
	assert.Empty(t, verdict.violations)
}

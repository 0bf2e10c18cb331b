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

// The platform is out of reach and an entry VM is replaced meanwhile. The new one
// takes over the state of its peers and answers lookups from the document in
// force; bookings, which it cannot claim, are told that they did not run. When
// the platform is back it takes bookings too.
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

// One entry VM loses its way to the platform, not that to its peers. A backend
// server is drained meanwhile, and a long request holds it there. Within seconds
// the VM that is cut off must send it nothing either, though it can't read the
// drain from the log.
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

// publishRevision publishes the next revision of the booking document and returns its
// offset.
func publishRevision(c *testkit.Cluster, n *int) uint64 {
	*n++
	c.Publish(fmt.Sprintf("# revision %d\n%s", *n, testDocument("booking", 2, 1)))
	return uint64(c.Standin.State().Services["booking"].Revision)
}

// Operators publish revision after revision while one entry VM is replaced, the
// platform is out with another VM replaced meanwhile, and a third is cut off from
// the platform and its peers. No daemon that is ready ever shows an older revision
// after a newer one, and at the end all have the last.
func TestNoDaemonReturnsToAnOlderRevision(t *testing.T) {
	c := startPool(t, 2, testkit.Options{Nodes: []string{"a", "b", "a"}})
	ctx, cancel := context.WithCancel(context.Background())
	observer := startObserver(ctx, c)
	defer func() { cancel(); observer.pollers.Wait() }()
	awaitEverywhere := func(offset uint64) {
		since := time.Now()
		c.Until(fmt.Sprintf("all act on offset %d", offset), func() bool { return len(observer.notCaughtUp(since, offset)) == 0 })
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
	missed := publishRevision(c, &revisions) // no daemon can learn of it yet
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

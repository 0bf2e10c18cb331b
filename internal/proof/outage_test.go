package proof

import (
	"context"
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
	c := pool(t, 3, testkit.Options{Nodes: []string{"a", "b", "a"}})
	c.Publish("# the second revision\n" + document("booking", 3, 1))
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
	assert.Zero(t, c.Standin.Key(key).Seen)
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
	c := pool(t, 3, testkit.Options{Nodes: []string{"a", "b", "a"}})
	cut, whole := c.Nodes[0], c.Nodes[2]
	cut.CutPlatform()
	var long []<-chan testkit.Answer
	for c.Standin.VMCounters()[vm].Runs == 0 {
		long = append(long, together(whole, 1, func() testkit.Request {
			return testkit.Request{Path: "/booking/book", Key: testkit.Key(), Work: leaveWithin + time.Second}
		}))
		c.Until("the booking runs", func() bool { return c.Standin.Counters().Backends.Runs == len(long) })
	}
	c.Must("drain", vm)
	c.Until("the drain is effective", func() bool { return c.Standin.State().VMs[vm].Phase != record.PhaseServing })
	last := time.Now().Add(leaveWithin)
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

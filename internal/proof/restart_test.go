package proof

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/operator"
	"github.com/yuccadrift/yuccadrift/internal/outcome"
	"github.com/yuccadrift/yuccadrift/internal/settings"
	"github.com/yuccadrift/yuccadrift/internal/standin"
	"github.com/yuccadrift/yuccadrift/internal/testkit"
)

// exitPlatform is the command line's exit code when the platform is out of reach.
const exitPlatform = 4

// restartAll kills every process of every entry VM while bookings run, and starts
// them again. It returns the keys that were in flight.
func restartAll(t *testing.T, c *testkit.Cluster, b *bookingCaller) (keys []string) {
	var wg sync.WaitGroup
	for i := range 12 {
		key := testkit.Key()
		keys = append(keys, key)
		wg.Go(func() { assert.Error(t, b.send(c.Nodes[i%len(c.Nodes)], key, 1, 2*time.Second).Err) })
	}
	awaitRunning(c, keys)
	for _, n := range c.Nodes {
		wg.Go(n.Kill)
	}
	wg.Wait()
	for _, n := range c.Nodes {
		n.Start()
	}
	return keys
}

// All processes of all entry VMs are killed at once while bookings run, as by a
// loss of power, and started again. The callers see their connections break and
// retry under the same keys, some at once, some once the VMs are ready: they are
// never told "not-run" of a booking that ran, and none runs again. Nobody helps:
// the VMs find each other by the log, the dead members are evicted, and new
// bookings run. Why: no memory of the claims is left anywhere, so a key older
// than the new owners' start is refused as unknown.
func TestAllEntryVMsRestartWithBookingsInFlight(t *testing.T) {
	c := claimsCluster(t, 3, 3)
	b := newBookingCaller(t, c)
	keys := restartAll(t, c, b)
	var wg sync.WaitGroup
	for i, key := range keys {
		if i%2 == 0 {
			wg.Go(func() { assert.NotEqual(t, outcome.NotRun, b.send(c.Nodes[(i+1)%3], key, 2, 0).Outcome) })
		}
	}
	wg.Wait()
	c.AwaitReady()
	awaitMembersAndGrants(c)
	for i, key := range keys {
		a := b.send(c.Nodes[(i+2)%3], key, 3, 0)
		assert.Equal(t, outcome.Unknown, a.Outcome, "%s: %+v", a.Reason, a.Err)
	}
	b.checkRuns()
}

// The same while the log is out: the new processes have nobody to take a state
// from. Callers are told "not-run", and no backend server sees
// their requests; a retry of what may have run is told "unknown". Readiness says
// that the log was not read, and the command line shows each node. When the log is
// back all goes on by itself.
func TestAllEntryVMsRestartWhileTheLogIsOut(t *testing.T) {
	c := claimsCluster(t, 3, 3)
	b := newBookingCaller(t, c)
	outage := c.Standin.InjectFaults(standin.Fault{Kind: standin.LogRefuse, Target: settings.DefaultStream},
		standin.Fault{Kind: standin.LogRefuse, Target: settings.DefaultSnapshotStream})
	keys := restartAll(t, c, b)
	var addresses []string
	for _, n := range c.Nodes {
		addresses = append(addresses, n.EntryPeerAddress(), n.StewardPeerAddress())
	}
	for _, address := range addresses {
		c.Until(address+" says why it is not ready", func() bool { return len(unreadyReasons(t, address)) > 0 })
		assert.Contains(t, strings.Join(unreadyReasons(t, address), "\n"), "log")
		assert.Zero(t, offsetOf(t, address))
	}
	for i, n := range c.Nodes {
		assert.False(t, n.Ready())
		a := b.send(n, keys[i], 2, 0)
		assert.Equal(t, outcome.Unknown, a.Outcome, "an earlier attempt may have run")
		assert.EqualValues(t, "starting", a.Reason)
		fresh := b.send(n, testkit.Key(), 1, 0)
		assert.Equal(t, outcome.NotRun, fresh.Outcome)
	}
	result := c.Command("--nodes", strings.Join(addresses, ","), "status")
	assert.Equal(t, exitPlatform, result.ExitCode, result.Stderr)
	assert.Contains(t, result.Stderr, "cannot reach the platform")
	assert.Equal(t, len(addresses), strings.Count(result.Stdout, "never read the log"), result.Stdout)

	c.Standin.ClearFaults(outage...)
	c.AwaitReady()
	awaitMembersAndGrants(c)
	for i, key := range keys {
		a := b.send(c.Nodes[i%3], key, 3, 0)
		assert.Equal(t, outcome.Unknown, a.Outcome, "%s: %+v", a.Reason, a.Err)
	}
	b.checkRuns()
}

// unreadyReasons asks a process why it is not ready.
func unreadyReasons(t *testing.T, address string) []string {
	client, err := operator.NewClient(address)
	require.NoError(t, err)
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	s, err := client.Status(ctx)
	if err != nil {
		return nil
	}
	return s.Unready
}

// queryNewestRevision asks a node by all revisions' routes, over and over until ctx ends, and
// fails the test when an older one answers after a newer did. It returns the
// newest that answered.
func queryNewestRevision(ctx context.Context, t *testing.T, n *testkit.Node) (newest int) {
	for ctx.Err() == nil {
		for i, path := range revisionPaths {
			reqCtx, cancel := context.WithTimeout(ctx, time.Second)
			a := n.Send(reqCtx, testkit.Request{Path: "/booking" + path})
			cancel()
			if a.OK() {
				assert.GreaterOrEqual(t, i, newest, "%s answers by revision %d after %d", n.Name, i, newest)
				newest = max(newest, i)
			}
		}
	}
	return newest
}

// revisionPaths are the routes that only one revision each has.
var revisionPaths = []string{"/lookup", "/r1", "/r2", "/r3"}

// An operator publishes three revisions while one entry VM is cut off from the
// platform, one is killed and started again, and one is stopped and wakes up
// with its old view. Callers ask every VM by the routes of all revisions: none
// answers by an older one after it has by a newer, no process is seen to step
// back, and all act on the third once the faults end; the VM that is cut off does
// before, by way of its peers. Why: a process folds forward only, and one that
// starts serves nothing until it has read the log to its end.
func TestAcceptedConfigurationNeverReverts(t *testing.T) {
	const vms = 4
	c := startPool(t, vms, testkit.Options{Nodes: []string{"a", "b", "c", "d"}})
	healthy, cut, restarted, paused := c.Nodes[0], c.Nodes[1], c.Nodes[2], c.Nodes[3]
	ctx, end := context.WithCancel(t.Context())
	defer end()
	observer := startObserver(ctx, c)
	newestSeen := make(chan int, len(c.Nodes))
	for _, n := range c.Nodes {
		go func() { newestSeen <- queryNewestRevision(ctx, t, n) }()
	}
	publish := func(revision int) {
		c.Publish(strings.Replace(testDocument("booking", vms, 1), "/lookup", revisionPaths[revision], 1))
	}
	awaitRevision := func(n *testkit.Node, revision int) {
		c.Until(fmt.Sprintf("%s acts on revision %d", n.Name, revision), func() bool {
			return n.Send(ctx, testkit.Request{Path: "/booking" + revisionPaths[revision]}).OK()
		})
	}
	for range 3 { // a process that starts gets the first revision by an earlier read than the third
		_, err := c.Standin.Client.Append(t.Context(), settings.DefaultStream, slices.Repeat([][]byte{[]byte("of another system")}, 500))
		require.NoError(t, err)
	}
	cut.CutPlatform()
	paused.Pause()
	publish(1)
	awaitRevision(healthy, 1)
	awaitRevision(restarted, 1)
	restarted.Kill()
	publish(2)
	slow := c.Standin.InjectFaults(standin.Fault{Kind: standin.LogSlow, Target: "read", DelayMS: 400})
	restarted.Start()
	publish(3)
	awaitRevision(healthy, 3)
	awaitRevision(restarted, 3)
	awaitRevision(cut, 3) // by way of its peers
	c.Standin.ClearFaults(slow...)

	healedAt := time.Now()
	paused.Resume()
	cut.HealPlatform()
	awaitRevision(paused, 3)
	offset := c.Standin.State().Offset
	c.Until("all processes act on the third revision", func() bool { return len(observer.notCaughtUp(healedAt, offset)) == 0 })
	t.Logf("all have it %s after the faults ended", time.Since(healedAt))
	end()
	observer.pollers.Wait()
	for range c.Nodes {
		assert.Equal(t, 3, <-newestSeen)
	}
	verdict := (&evidence{startedAt: healedAt, statuses: observer.statuses}).checkNoRevert()
	assert.Positive(t, verdict.cases)
	assert.Zero(t, verdict.violations, "%+v", verdict)
}

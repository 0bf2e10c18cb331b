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

// exitPlatform is the command line's exit code if the platform is unreachable.
const exitPlatform = 4

// restartAll kills all processes of all entry VMs while bookings run and starts them again. It
// returns the keys of these bookings.
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

// All processes of all entry VMs are killed at once while bookings run, as by a loss of power, and
// started again. Callers lose their connections and retry with the same keys, some at once, some
// when the VMs are ready. None may get "not-run" for a booking that ran, and no booking may run
// again: all claims are lost, so a key older than the start of the new owners must be answered
// "unknown". Without an operator the VMs must find each other through the log, evict the dead
// members and run new bookings.
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

// Like TestAllEntryVMsRestartWithBookingsInFlight, but the log is unavailable and no peer has a
// state to start from. First attempts must get "not-run" without reaching a backend server, and a
// retry of a booking that may have run must get "unknown". Readiness must name the unread log and
// the command line must list each node. When the log is available again, the system must recover
// without an operator.
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
		c.Until(address+" reports why it is not ready", func() bool { return len(unreadyReasons(t, address)) > 0 })
		assert.Contains(t, strings.Join(unreadyReasons(t, address), "\n"), "log")
		assert.Zero(t, offsetOf(t, address))
	}
	for i, n := range c.Nodes {
		assert.False(t, n.Ready())
		a := b.send(n, keys[i], 2, 0)
		assert.Equal(t, outcome.Unknown, a.Outcome, "an earlier attempt may have run, so the outcome must be unknown")
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

// unreadyReasons returns the reasons why a process is not ready, nil if it doesn't answer.
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

// queryNewestRevision requests the routes of all revisions from a node until ctx ends and returns
// the newest revision that answered. It fails the test if an older revision answers after a newer
// one.
func queryNewestRevision(ctx context.Context, t *testing.T, n *testkit.Node) (newest int) {
	for ctx.Err() == nil {
		for i, path := range revisionPaths {
			reqCtx, cancel := context.WithTimeout(ctx, time.Second)
			a := n.Send(reqCtx, testkit.Request{Path: "/booking" + path})
			cancel()
			if a.OK() {
				assert.GreaterOrEqual(t, i, newest, "%s serves revision %d after revision %d", n.Name, i, newest)
				newest = max(newest, i)
			}
		}
	}
	return newest
}

// revisionPaths are routes by revision; each exists in one revision only.
var revisionPaths = []string{"/lookup", "/r1", "/r2", "/r3"}

// An operator publishes three revisions while one entry VM is cut off from the platform, one is
// killed and restarted, and one is paused and resumed with its old state. Callers request the routes
// of all revisions from every VM. No process may go back to an older revision, and all must act on
// the third when the faults have ended; the VM that is cut off gets it earlier, through its peers.
// A process only applies the log forward, and a starting process serves nothing until it has read
// the log to its end.
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
	for range 3 { // a starting process reads the first and the third revision in different batches
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
	awaitRevision(cut, 3) // through its peers
	c.Standin.ClearFaults(slow...)

	healedAt := time.Now()
	paused.Resume()
	cut.HealPlatform()
	awaitRevision(paused, 3)
	offset := c.Standin.State().Offset
	c.Until("all processes act on the third revision", func() bool { return len(observer.notCaughtUp(healedAt, offset)) == 0 })
	t.Logf("all processes act on it %s after the faults ended", time.Since(healedAt))
	end()
	observer.pollers.Wait()
	for range c.Nodes {
		assert.Equal(t, 3, <-newestSeen)
	}
	verdict := (&evidence{startedAt: healedAt, statuses: observer.statuses}).checkNoRevert()
	assert.Positive(t, verdict.cases)
	assert.Zero(t, verdict.violations, "%+v", verdict)
}

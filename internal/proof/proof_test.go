// Package proof contains end-to-end tests. They run real processes and observe them only from
// outside: by callers' answers, the platform's log and counters, and the processes' logs.
package proof

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/testkit"
)

func TestMain(m *testing.M) { os.Exit(testkit.Main(m)) }

// testDocument returns the document of a small service with a quick repeatable route /lookup and a
// quick route /book that is not repeatable.
func testDocument(service string, size, maxUnavailable int) string {
	return fmt.Sprintf(`service = %q
team = "proof"
[pool]
size = %d
[budget]
window = "1h"
allowed = 0.5
max_unavailable = %d
[limits]
slots = 8
connections = 64
retry_share = 0.2
drain = "5s"
[[route]]
prefix = "/lookup"
class = "quick"
repeatable = true
deadline = "5s"
max_body = 100000
[[route]]
prefix = "/book"
class = "quick"
repeatable = false
deadline = "5s"
max_body = 100000
`, service, size, maxUnavailable)
}

// awaitServing waits until at least n VMs of the service's pool are serving.
func awaitServing(c *testkit.Cluster, service string, n int) {
	c.Until(fmt.Sprintf("%d VMs serve in %s", n, service), func() bool {
		return c.Standin.State().Unavailability(service).Serving >= n
	})
}

// startStream starts workers goroutines that each send one request at a time, through all nodes in
// turn. stop ends them and returns all answers.
func startStream(c *testkit.Cluster, workers int, request func(worker, n int) testkit.Request) (stop func() []testkit.Answer) {
	ctx, cancel := context.WithCancel(context.Background())
	var mu sync.Mutex
	var answers []testkit.Answer
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				a := c.Nodes[(w+n)%len(c.Nodes)].Send(context.Background(), request(w, n))
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		})
	}
	return func() []testkit.Answer {
		cancel()
		wg.Wait()
		return answers
	}
}

// Without any fault, callers send bookings and lookups through three entry VMs while a maintenance
// wave reboots every VM of the pool. Each VM must be drained, rebooted once and returned to the
// pool. No request may be interrupted or run twice, and every caller must get the complete answer
// to its own request.
func TestCleanWaveCutsAndDoublesNothing(t *testing.T) {
	const vms = 3
	c := testkit.Start(t, testkit.Options{
		Nodes: []string{"a", "b", "c"},
		Fleet: []testkit.Group{{Prefix: "vm", Count: vms, Zones: []string{"a", "b", "c"}, BootSeconds: 0.3}},
	})
	c.Publish(testDocument("booking", vms, 1))
	awaitServing(c, "booking", vms)
	c.AwaitReady()

	stop := startStream(c, 6, func(worker, n int) testkit.Request {
		r := testkit.Request{Path: "/booking/lookup", Key: testkit.Key(), Work: 20 * time.Millisecond, ReplyBytes: 100 + 997*n%100_000}
		if worker%2 == 0 {
			r.Path = "/booking/book"
		}
		return r
	})
	c.MustCommand("wave", "start", "--pools", "booking", "--deadline", "1h")
	c.Until("the wave is done", func() bool {
		for _, w := range c.Standin.State().Waves {
			return w.Status == ledger.WaveDone
		}
		return false
	})
	answers := stop()

	require.NotEmpty(t, answers)
	for _, a := range answers {
		assert.True(t, a.OK(), "status %d %s %s %v", a.Status, a.Outcome, a.Reason, a.Err)
		assert.Empty(t, a.Problem())
	}
	counters := c.Standin.Counters()
	assert.Zero(t, counters.Backends.CutInFlight)
	assert.LessOrEqual(t, counters.Backends.MaxRunsPerKey, 1)
	assert.Len(t, counters.Reboots, vms)
	for vm, reboots := range counters.Reboots {
		assert.Equal(t, 1, reboots, vm)
	}
}

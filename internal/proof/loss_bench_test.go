package proof

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/outcome"
	"github.com/yuccadrift/yuccadrift/internal/testkit"
)

// BenchmarkLossOfOneOfEight kills one of 8 entry VMs while 64 callers send bookings of 20 ms and
// counts the bookings by outcome, with callers that mark their first attempts and with callers that
// don't. The metrics are per lost entry VM. in-flight is the number of bookings that the VM had in
// progress when it was killed.
func BenchmarkLossOfOneOfEight(b *testing.B) {
	const vms, callers = 8, 64
	for _, markFirst := range []bool{true, false} {
		b.Run(fmt.Sprintf("marked=%t", markFirst), func(b *testing.B) {
			for range b.N {
				c := testkit.Start(b, testkit.Options{
					Nodes: []string{"a", "b", "c", "a", "b", "c", "a", "b"},
					Fleet: []testkit.Group{{Prefix: "vm", Count: 12, Zones: []string{"a", "b", "c"}}},
				})
				c.Publish(testDocument("booking", 12, 1))
				awaitServing(c, "booking", 12)
				c.AwaitReady()
				c.Until("all entry VMs are members", func() bool { return memberCount(c) == vms })
				awaitGrants(c)
				killOneNode(b, c, callers, markFirst)
			}
		})
	}
}

func killOneNode(b *testing.B, c *testkit.Cluster, callers int, markFirst bool) {
	load := newBookingCaller(b, c)
	stop := load.start(callers, markFirst)
	time.Sleep(3 * time.Second) // until the load is steady; no assertion depends on it
	before := load.countLastOutcomes()
	lost := c.Nodes[5]
	inFlight := callers / len(c.Nodes) // each caller has one booking in progress
	killed := time.Now()
	lost.Kill()
	c.Until("the lost VM is evicted", func() bool { return memberCount(c) == len(c.Nodes)-1 })
	b.ReportMetric(time.Since(killed).Seconds(), "s-to-eviction")
	c.Nodes = append(c.Nodes[:5:5], c.Nodes[6:]...)
	awaitGrants(c)
	b.ReportMetric(time.Since(killed).Seconds(), "s-to-all-granted")
	time.Sleep(2 * time.Second)
	stop()
	load.checkRuns()
	after := load.countLastOutcomes()
	b.ReportMetric(float64(after[outcome.Unknown]-before[outcome.Unknown]), "unknown")
	b.ReportMetric(float64(after[outcome.NotRun]-before[outcome.NotRun]), "not-run")
	b.ReportMetric(float64(after[outcome.Ran]-before[outcome.Ran]), "ran")
	b.ReportMetric(float64(inFlight), "in-flight")
	b.ReportMetric(0, "ns/op")
}

// awaitGrants waits until 8 bookings in a row, with new keys, have run at each node.
func awaitGrants(c *testkit.Cluster) {
	c.Until("all keys are granted", func() bool {
		for range 8 {
			for _, n := range c.Nodes {
				if a := n.Send(context.Background(), testkit.Request{Path: "/booking/book", Key: testkit.Key(), Attempt: 1}); !a.OK() {
					return false
				}
			}
		}
		return true
	})
}

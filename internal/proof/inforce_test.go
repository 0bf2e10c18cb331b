package proof

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/testkit"
)

// BenchmarkPublishInForce publishes changed documents and measures the time from the append until
// the slowest of 8 entry processes and 8 stewards acts on the document.
func BenchmarkPublishInForce(b *testing.B) {
	c := testkit.Start(b, testkit.Options{
		Nodes: []string{"a", "b", "c", "d", "a", "b", "c", "d"},
		Fleet: []testkit.Group{{Prefix: "vm", Count: 8, Zones: []string{"a", "b", "c", "d"}}},
	})
	c.Publish(testDocument("booking", 8, 1))
	c.AwaitReady()
	var nodes []string
	for _, n := range c.Nodes {
		nodes = append(nodes, n.EntryPeerAddress(), n.StewardPeerAddress())
	}
	var slowest []time.Duration
	for i := 0; b.Loop(); i++ {
		file := c.WriteFile("next.toml", testDocument("booking", 8, 1+i%2)+fmt.Sprintf("# %d\n", i))
		result := c.MustCommand("--output", "json", "--nodes", strings.Join(nodes, ","), "publish", "--wait-in-force", file)
		var results []struct {
			InForce []struct {
				After time.Duration `json:"after_ns"`
			} `json:"in_force"`
		}
		if err := json.Unmarshal([]byte(result.Stdout), &results); err != nil || len(results[0].InForce) != len(nodes) {
			b.Fatal(err, result.Stdout)
		}
		latest := time.Duration(0)
		for _, n := range results[0].InForce {
			latest = max(latest, n.After)
		}
		slowest = append(slowest, latest)
	}
	slices.Sort(slowest)
	b.ReportMetric(float64(slowest[len(slowest)/2])/1e6, "ms-p50")
	b.ReportMetric(float64(slowest[len(slowest)*99/100])/1e6, "ms-p99")
	b.ReportMetric(float64(slowest[len(slowest)-1])/1e6, "ms-max")
}

package capacity

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/bench/fleet"
	"github.com/yuccadrift/yuccadrift/internal/operator"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/settings"
	"github.com/yuccadrift/yuccadrift/internal/standin"
	"github.com/yuccadrift/yuccadrift/internal/testkit"
)

// inForceNodes is the number of entry VMs of each deployment.
const inForceNodes = 8

// BenchmarkInForce measures the time from the start of the append of a document
// until the entry processes of all entry VMs use it. It publishes one document
// after the other, for one service of the fleet after the other.
func BenchmarkInForce(b *testing.B) {
	for _, slow := range []time.Duration{0, 100 * time.Millisecond} {
		b.Run("log-delay="+slow.String(), func(b *testing.B) { measureInForce(b, slow) })
	}
}

func measureInForce(b *testing.B, logDelay time.Duration) {
	var h *fleet.History
	c := startCluster(b, 1000, inForceNodes, func(s *testkit.Standin) { h = seedLog(b, s) })
	var clients []*operator.Client
	for _, n := range c.Nodes {
		client, err := operator.NewClient(n.EntryPeerAddress())
		require.NoError(b, err)
		defer client.Close()
		clients = append(clients, client)
	}
	time.Sleep(settleTime)
	if logDelay > 0 {
		c.Standin.InjectFaults(standin.Fault{Kind: standin.LogSlow, DelayMS: logDelay.Milliseconds()})
	}
	var took []time.Duration
	for b.Loop() {
		took = append(took, publishAndWait(b, c, h, clients, len(took)))
	}
	slices.Sort(took)
	for name, share := range map[string]float64{"p50-ms": 0.5, "p99-ms": 0.99, "max-ms": 1} {
		i := min(len(took)-1, int(share*float64(len(took))))
		b.ReportMetric(float64(took[i].Microseconds())/1e3, name)
	}
}

func publishAndWait(b *testing.B, c *testkit.Cluster, h *fleet.History, clients []*operator.Client, i int) time.Duration {
	name := fleet.Service(i % fleet.Pools)
	text := h.State.Services[name].Text + "# changed\n"
	rec := h.Record(record.SubjectService, name, record.DocumentPublish{Text: text})
	rec.Base, rec.Seen = h.Revisions[name], h.State.Offset
	data, err := record.Encode(rec)
	require.NoError(b, err)
	began := time.Now()
	offset, err := c.Standin.Client.Append(b.Context(), settings.DefaultStream, [][]byte{data})
	require.NoError(b, err)
	h.Revisions[name] = record.Revision(offset)
	type reply struct {
		status operator.Status
		err    error
	}
	replies := make(chan reply, len(clients))
	for _, client := range clients {
		go func() {
			status, err := client.StatusAfter(b.Context(), uint64(offset), time.Minute)
			replies <- reply{status, err}
		}()
	}
	for range clients {
		r := <-replies
		require.NoError(b, r.err)
		require.GreaterOrEqual(b, r.status.ActingOffset, uint64(offset))
		require.Equal(b, record.Revision(offset), r.status.Revision(name), "the document must take effect")
	}
	return time.Since(began)
}

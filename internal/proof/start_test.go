package proof

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/operator"
	"github.com/yuccadrift/yuccadrift/internal/settings"
	"github.com/yuccadrift/yuccadrift/internal/standin"
	"github.com/yuccadrift/yuccadrift/internal/testkit"
)

// Both processes of an entry VM are killed and restarted while the platform's log is unavailable.
// The processes have no disk and can't read the log, so they must get the state from the processes
// of the other VM and serve the documents in force, no older ones. When the log is available again
// they must follow it.
func TestProcessesStartFromPeersWhileTheLogIsOut(t *testing.T) {
	c := testkit.Start(t, testkit.Options{
		Nodes: []string{"a", "b"},
		Fleet: []testkit.Group{{Prefix: "vm", Count: 4, Zones: []string{"a", "b"}}},
	})
	c.Publish(testDocument("booking", 4, 1))
	awaitServing(c, "booking", 4)
	peer, restarted := c.Nodes[0], c.Nodes[1]
	c.Until("both nodes have applied the same entries", func() bool {
		return offsetOf(t, peer.EntryPeerAddress()) == offsetOf(t, restarted.EntryPeerAddress())
	})
	outage := c.Standin.InjectFaults(standin.Fault{Kind: standin.LogRefuse, Target: settings.DefaultStream},
		standin.Fault{Kind: standin.LogRefuse, Target: settings.DefaultSnapshotStream})
	want := offsetOf(t, peer.EntryPeerAddress())
	require.NotZero(t, want)

	restarted.Kill()
	restarted.Start()
	for _, address := range []string{restarted.EntryPeerAddress(), restarted.StewardPeerAddress()} {
		c.Until(address+" has the state of its peer", func() bool { return offsetOf(t, address) >= want })
	}
	c.Standin.ClearFaults(outage...)
	c.Publish(testDocument("booking", 4, 2))
	published := c.Standin.State().Offset
	for _, address := range []string{restarted.EntryPeerAddress(), restarted.StewardPeerAddress()} {
		c.Until(address+" follows the log", func() bool { return offsetOf(t, address) >= published })
	}
}

// offsetOf returns the offset up to which a process has applied the log, 0 if it doesn't answer.
func offsetOf(t *testing.T, address string) uint64 {
	client, err := operator.NewClient(address)
	require.NoError(t, err)
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	s, err := client.Status(ctx)
	if err != nil {
		return 0
	}
	return s.Offset
}

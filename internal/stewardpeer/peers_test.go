package stewardpeer

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
)

// Every steward calls every other, so the number of hello calls grows with the
// square of the number of stewards. Beyond hellosPerInterval peers, each is
// called less often and counts as alive for longer.
func TestHellosPerSecondAreBounded(t *testing.T) {
	for peers, interval := range map[int]time.Duration{0: 1, 1: 1, 7: 1, 8: 1, 9: 2, 23: 3, 95: 12} {
		var addresses []string
		for i := range peers {
			addresses = append(addresses, fmt.Sprintf("127.0.0.1:%d", 10000+i))
		}
		p, err := NewPeers(addresses, hclog.NewNullLogger())
		require.NoError(t, err)
		require.Equal(t, interval*time.Second, p.interval, "%d peers", peers)
		for _, peer := range p.peers {
			require.Greater(t, peer.aliveTimeout, 2*p.interval)
		}
		p.Close()
	}
}

package entry_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/load"
	"github.com/yuccadrift/yuccadrift/internal/routing"
	"github.com/yuccadrift/yuccadrift/internal/standin"
)

// Sizes of the overload measurement: 8 entry VMs before 8 backend servers of 8
// slots. At load 1 the requests ask for all slots, quick ones for 70 % of them.
const (
	overloadEntries  = 8
	overloadBackends = 8
	overloadSlots    = 8 * overloadBackends
	quickShare       = 0.7
	quickWork        = 50 * time.Millisecond
	longWork         = 2 * time.Second
	overloadTime     = 6 * time.Second
	overloadWarm     = 2 * time.Second
)

// BenchmarkOverload measures goodput and latency of quick requests beside long
// ones, for each way to share slots, with healthy backend servers and with one
// slow by 5 and one that fails at once. One iteration is one run; use
// -benchtime 1x -count 3. YUCCADRIFT_LOADS picks the loads.
func BenchmarkOverload(b *testing.B) {
	sharings := []struct {
		name string
		way  routing.Sharing
	}{{"fixed", routing.SharingFixed}, {"choices", routing.SharingChoices}}
	for _, faulty := range []bool{false, true} {
		for _, multiple := range loads() {
			for _, sharing := range sharings {
				b.Run(fmt.Sprintf("faulty=%v/load=%v/%s", faulty, multiple, sharing.name), func(b *testing.B) {
					for i := range b.N {
						overload(b, sharing.way, multiple, faulty, uint64(i+1))
					}
				})
			}
		}
	}
}

func loads() []float64 {
	if one, err := strconv.ParseFloat(os.Getenv("YUCCADRIFT_LOADS"), 64); err == nil {
		return []float64{one}
	}
	return []float64{0.5, 1, 2, 5}
}

func overload(b *testing.B, sharing routing.Sharing, multiple float64, faulty bool, seed uint64) {
	r := newRigOf(b, rigOptions{
		zones: []string{"a", "b"}, backends: overloadBackends, entries: overloadEntries,
		sharing: sharing, claims: localClaims(),
	})
	if faulty {
		list, err := r.fake.List(b.Context())
		require.NoError(b, err)
		r.order(standin.Fault{Kind: standin.BackendSlow, Target: list.VMs[0].ID, Factor: 5})
		r.order(standin.Fault{Kind: standin.BackendError, Target: list.VMs[1].ID})
	}
	report, err := load.Run(b.Context(), load.Plan{
		Targets: r.targets, Duration: overloadTime, Warm: overloadWarm, InFlight: 3000, Seed: seed,
		Routes: []load.Route{
			{Name: "quick", Path: "/booking/lookup", Rate: multiple * quickShare * overloadSlots / quickWork.Seconds(), Work: quickWork, ReplyBytes: 500},
			{Name: "long", Path: "/booking/audit", Rate: multiple * (1 - quickShare) * overloadSlots / longWork.Seconds(), Work: longWork, ReplyBytes: 500},
		},
	})
	require.NoError(b, err)
	require.Zero(b, report.Wrong())
	b.Logf("quick %v, long %v, refused by backends %d, cut connections %d", report.Route("quick").Reasons, report.Route("long").Reasons,
		r.server.Counters(false).Backends.Refused, r.server.Counters(false).Backends.RefusedConnections)
	quick, long := report.Route("quick"), report.Route("long")
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(quick.GoodPerSecond, "quick-good/s")
	b.ReportMetric(100*float64(quick.Good)/float64(max(1, quick.Sent)), "quick-good-%")
	b.ReportMetric(quick.P50.Seconds()*1000, "quick-p50-ms")
	b.ReportMetric(quick.P99.Seconds()*1000, "quick-p99-ms")
	b.ReportMetric(quick.P99NotRun.Seconds()*1000, "not-run-p99-ms")
	b.ReportMetric(long.GoodPerSecond, "long-good/s")
	b.ReportMetric(100*float64(quick.Failed+quick.Unknown+quick.Broken)/float64(max(1, quick.Sent)), "quick-bad-%")
}

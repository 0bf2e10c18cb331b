//go:build faults

package proof

import (
	"testing"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/testkit"
)

// The long form of TestFaultsTogetherShort: the documents of both deployments, 8 entry VMs in 4
// zones, 100 backend servers, and two waves while VMs move between pools.
func TestFaultsTogether(t *testing.T) {
	fleet := func(prefix string, count, cores, memory int, linked bool, zones ...string) testkit.Group {
		return testkit.Group{Prefix: prefix, Count: count, Cores: cores, MemoryMB: memory, Linked: linked, Zones: zones, BootSeconds: 1}
	}
	runFaults(t, uint64(time.Now().UnixNano()), faultPlan{
		nodes: []string{"a", "b", "c", "d", "a", "b", "c", "d"},
		documents: []string{
			"ramcharan/booking", "ramcharan/fitting", "ramcharan/returns", "ramcharan/dispatch", "ramcharan/back-office",
			"feldkamm/preview", "feldkamm/compare", "feldkamm/conversion", "feldkamm/export", "feldkamm/catalogue",
		},
		fleet: []testkit.Group{
			fleet("rc", 44, 32, 64<<10, false, "a", "b", "c"),
			fleet("rl", 6, 32, 64<<10, true, "a", "b", "c"),
			fleet("fk", 44, 64, 256<<10, false, "a", "b", "c", "d"),
			fleet("fl", 6, 64, 256<<10, true, "a", "b", "c", "d"),
		},
		// The default intervals of stewards. With the shorter ones of other tests 8 stewards would
		// check 108 VMs ten times a second.
		steward:          testkit.Settings{"planning.interval": `"1s"`, "planning.list_interval": `"2s"`},
		crashableVMs:     10,
		duration:         2 * time.Minute,
		faultInterval:    time.Second,
		operatorInterval: 1500 * time.Millisecond,
		callersPerRoute:  3,
		thinkTime:        50 * time.Millisecond,
		waves:            [][]string{{"fitting", "preview"}, {"dispatch", "compare"}},
		permanentMove:    []string{"booking", "returns"},
	})
}

package pool

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/ledger"

	"github.com/yuccadrift/yuccadrift/internal/testkit/randomcheck"
)

func TestMain(m *testing.M) { randomcheck.Main(m, 20261202, 500) }

// score rates an assignment by the number of VMs, in total and of each tier.
type score struct {
	total int
	tiers [4]int
}

// better reports whether s has more VMs than o, or as many but more of the lower
// tiers.
func (s score) better(o score) bool {
	if s.total != o.total {
		return s.total > o.total
	}
	for t := range s.tiers {
		if s.tiers[t] != o.tiers[t] {
			return s.tiers[t] > o.tiers[t]
		}
	}
	return false
}

// exhaustiveSearch returns the best score of all possible assignments.
func exhaustiveSearch(gaps []*gap, classes []*class) score {
	a := &assignment{gaps: gaps, classes: classes}
	remaining := make([]int, len(gaps))
	for j, g := range gaps {
		remaining[j] = g.shortage()
	}
	var try func(c, left int) score
	try = func(c, left int) score {
		if c == len(classes) {
			return score{}
		}
		if left == 0 {
			next := 0
			if c+1 < len(classes) {
				next = len(classes[c+1].vms)
			}
			return try(c+1, next)
		}
		result := try(c, left-1) // leaves this VM unassigned
		for j, g := range gaps {
			if remaining[j] == 0 || !a.fits(c, g) {
				continue
			}
			remaining[j]--
			s := try(c, left-1)
			remaining[j]++
			s.total++
			s.tiers[classes[c].tier]++
			if s.better(result) {
				result = s
			}
		}
		return result
	}
	return try(0, len(classes[0].vms))
}

// The assignment must fill gaps with the greatest possible number of VMs and,
// among such assignments, cause the least disturbance. Random small instances
// are compared with an exhaustive search.
func TestAssignMatchesExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var gaps []*gap
		for range rapid.IntRange(1, 3).Draw(rt, "gaps") {
			need := document.Pool{MinCores: rapid.IntRange(1, 3).Draw(rt, "need")}
			gaps = append(gaps, &gap{
				pool:    &Pool{Name: "g", Doc: document.Document{Pool: need}},
				want:    rapid.IntRange(1, 2).Draw(rt, "short"),
				mayMove: rapid.Bool().Draw(rt, "mayMove"),
			})
		}
		var classes []*class
		surplus := map[string]int{}
		for tier := tierFree; tier <= tierServing; tier++ {
			n := rapid.IntRange(0, 2).Draw(rt, "supply")
			if n == 0 {
				continue
			}
			vm := &VM{VM: ledger.VM{Cores: rapid.IntRange(1, 3).Draw(rt, "cores")}}
			c := &class{tier: tier, remaining: n}
			for range n {
				c.vms = append(c.vms, vm)
			}
			if tier != tierFree {
				c.donor = tier.String()
				surplus[c.donor] = n
			}
			classes = append(classes, c)
		}
		if len(classes) == 0 {
			return
		}
		want := exhaustiveSearch(gaps, classes)
		a := assign(gaps, classes, surplus, DefaultMaxProposals)
		var got score
		for i, c := range classes {
			for j := range gaps {
				got.total += a.flow[i][j]
				got.tiers[c.tier] += a.flow[i][j]
			}
		}
		require.Equal(rt, want, got)
	})
}

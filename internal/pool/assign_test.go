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

// score is an assignment's worth: VMs given away, and how many of each tier.
type score struct {
	total int
	tiers [4]int
}

// better prefers more VMs, then more of the lower tiers.
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

// best tries every assignment.
func best(gaps []*gap, classes []*class) score {
	a := &assignment{gaps: gaps, classes: classes}
	room := make([]int, len(gaps))
	for j, g := range gaps {
		room[j] = g.short()
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
		top := try(c, left-1) // this VM stays
		for j, g := range gaps {
			if room[j] == 0 || !a.fits(c, g) {
				continue
			}
			room[j]--
			s := try(c, left-1)
			room[j]++
			s.total++
			s.tiers[classes[c].tier]++
			if s.better(top) {
				top = s
			}
		}
		return top
	}
	return try(0, len(classes[0].vms))
}

// Gaps are filled with as many VMs as any assignment could, and with the least
// disturbance among those: every small instance is held against a full search.
func TestAssignIsTheLeastDisturbing(t *testing.T) {
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
		for tier := tierFree; tier <= tierServe; tier++ {
			n := rapid.IntRange(0, 2).Draw(rt, "supply")
			if n == 0 {
				continue
			}
			vm := &VM{VM: ledger.VM{Cores: rapid.IntRange(1, 3).Draw(rt, "cores")}}
			c := &class{tier: tier, left: n}
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
		want := best(gaps, classes)
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

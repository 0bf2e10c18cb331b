package waves

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/bench/figure"
)

// turnCount is the VMs of one flow shop.
const turnCount = 50

// turn is a VM's way through a wave as a two-stage flow shop: its requests and
// jobs end, then it takes a reboot place. expected is what a planner believes.
type turn struct {
	drain, reboot                 time.Duration
	expectedDrain, expectedReboot time.Duration
}

// hmhsPriority is the priority of HMHS, a modified Johnson's rule: Sgn(p1-p2)/min(p1,p2),
// smallest first (Hybrid Multistage Heuristic Scheduling, section 3.1).
func hmhsPriority(t turn) float64 {
	first, second := t.expectedDrain.Seconds(), t.expectedReboot.Seconds()
	return float64(cmp.Compare(first, second)) / math.Min(first, second)
}

// activeTurn is a turn under way.
type activeTurn struct {
	turn
	began, until time.Duration
	rebooting    bool
}

// flowShop plays turns in order.
type flowShop struct {
	places  int // VMs that may reboot at once
	running []*activeTurn
	now     time.Duration
	// What has been measured: when the last VM was back, and the time out of
	// service over all VMs.
	makespan, outOfService time.Duration
	rebooting              int
}

// runFlowShop runs turns in order with at most out VMs out and places reboot places,
// which go to the VM that has waited longest. It returns when the last one is
// back and the time out of service over all VMs.
func runFlowShop(turns []turn, maxOut, places int) (makespan, outOfService time.Duration) {
	s := &flowShop{places: places}
	for len(turns) > 0 || len(s.running) > 0 {
		for len(turns) > 0 && len(s.running) < maxOut {
			s.running = append(s.running, &activeTurn{turn: turns[0], began: s.now, until: s.now + turns[0].drain})
			turns = turns[1:]
		}
		s.reboot()
		s.advance()
	}
	return s.makespan, s.outOfService
}

// reboot gives the free places to drained VMs, the longest waiting first.
func (s *flowShop) reboot() {
	slices.SortStableFunc(s.running, func(a, b *activeTurn) int { return cmp.Compare(a.until, b.until) })
	for _, b := range s.running {
		if !b.rebooting && b.until <= s.now && s.rebooting < s.places {
			b.rebooting, b.until = true, s.now+b.turn.reboot
			s.rebooting++
		}
	}
}

// advance moves on to the next end of a drain or reboot.
func (s *flowShop) advance() {
	next := time.Duration(math.MaxInt64)
	for _, b := range s.running {
		if b.until > s.now {
			next = min(next, b.until)
		}
	}
	s.now = next
	s.running = slices.DeleteFunc(s.running, func(b *activeTurn) bool {
		if !b.rebooting || b.until > s.now {
			return false
		}
		s.rebooting--
		s.outOfService += s.now - b.began
		s.makespan = s.now
		return true
	})
}

// orders of turns, the baseline first.
var orders = []struct {
	name    string
	compare func(a, b turn) int
}{
	{"first come", func(turn, turn) int { return 0 }},
	{"HMHS Pri", func(a, b turn) int { return cmp.Compare(hmhsPriority(a), hmhsPriority(b)) }},
	{"reversed Pri", func(a, b turn) int { return cmp.Compare(hmhsPriority(b), hmhsPriority(a)) }},
	{"shortest drain", func(a, b turn) int { return cmp.Compare(a.expectedDrain, b.expectedDrain) }},
}

// FlowShop measures what HMHS's order of turns gains where reboot places are
// few, with and without knowledge of the drain times.
func FlowShop(seeds int) ([]figure.Table, error) {
	table := figure.Table{
		Title:      "two-stage flow shop, 50 turns, one drain in five takes minutes",
		Labels:     []string{"out", "places", "knowledge", "order"},
		Quantities: []string{"roll-out min", "VM-s out"},
	}
	for _, shape := range []struct{ out, places int }{{5, 1}, {5, 3}, {10, 2}, {10, 10}} {
		for _, known := range []struct {
			name  string
			noise float64
		}{{"exact", 1}, {"within 5x", 5}} {
			for _, order := range orders {
				samples, err := figure.Collect(seeds, func(seed uint64) ([]float64, error) {
					turns := randomTurns(seed, known.noise)
					slices.SortStableFunc(turns, order.compare)
					makespan, charged := runFlowShop(turns, shape.out, shape.places)
					return []float64{makespan.Minutes(), charged.Seconds()}, nil
				})
				if err != nil {
					return nil, err
				}
				table.Add(samples, strconv.Itoa(shape.out), strconv.Itoa(shape.places), known.name, order.name)
			}
		}
	}
	return []figure.Table{table}, nil
}

// randomTurns returns turns of which a planner knows the times up to a factor.
func randomTurns(seed uint64, noise float64) []turn {
	r := rand.New(rand.NewPCG(seed, 7))
	perturb := func(d time.Duration) time.Duration {
		return time.Duration(float64(d) * math.Pow(noise, 2*r.Float64()-1))
	}
	turns := make([]turn, turnCount)
	for i := range turns {
		d := time.Duration(2+r.IntN(20)) * time.Second
		if r.IntN(5) == 0 {
			d = time.Duration(120+r.IntN(600)) * time.Second
		}
		b := time.Duration(60+r.IntN(90)) * time.Second
		turns[i] = turn{drain: d, reboot: b, expectedDrain: perturb(d), expectedReboot: perturb(b)}
	}
	return turns
}

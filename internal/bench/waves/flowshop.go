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

// turnCount is the number of VMs in a flow shop.
const turnCount = 50

// turn is the maintenance of a VM as a job in a two-stage flow shop: first the VM
// is drained, then it occupies a reboot place. The expected durations are the
// planner's estimates.
type turn struct {
	drain, reboot                 time.Duration
	expectedDrain, expectedReboot time.Duration
}

// hmhsPriority returns the priority Pri of HMHS, a modification of Johnson's rule:
// Sgn(p1-p2)/min(p1,p2). Turns with the smallest value go first (Hybrid Multistage
// Heuristic Scheduling, section 3.1).
func hmhsPriority(t turn) float64 {
	first, second := t.expectedDrain.Seconds(), t.expectedReboot.Seconds()
	return float64(cmp.Compare(first, second)) / math.Min(first, second)
}

// activeTurn is a turn in progress. until is the end of its drain or, while it is
// rebooting, of its reboot.
type activeTurn struct {
	turn
	began, until time.Duration
	rebooting    bool
}

// flowShop simulates turns in a given order.
type flowShop struct {
	places  int // VMs that may reboot at once
	running []*activeTurn
	now     time.Duration
	// makespan is the time at which the last VM was back; outOfService is the sum
	// of the VMs' times out of service.
	makespan, outOfService time.Duration
	rebooting              int
}

// runFlowShop simulates the turns in order, with at most maxOut VMs out of service
// and at most places of them rebooting. A free reboot place goes to the VM that has
// waited longest. It returns the time at which the last VM is back and the sum of
// the VMs' times out of service.
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

// reboot starts reboots of drained VMs while places are free, beginning with the
// VM that has waited longest.
func (s *flowShop) reboot() {
	slices.SortStableFunc(s.running, func(a, b *activeTurn) int { return cmp.Compare(a.until, b.until) })
	for _, b := range s.running {
		if !b.rebooting && b.until <= s.now && s.rebooting < s.places {
			b.rebooting, b.until = true, s.now+b.turn.reboot
			s.rebooting++
		}
	}
}

// advance moves the clock to the next end of a drain or reboot.
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

// orders are the orders of turns. The first one is the baseline.
var orders = []struct {
	name    string
	compare func(a, b turn) int
}{
	{"first come", func(turn, turn) int { return 0 }},
	{"HMHS Pri", func(a, b turn) int { return cmp.Compare(hmhsPriority(a), hmhsPriority(b)) }},
	{"reversed Pri", func(a, b turn) int { return cmp.Compare(hmhsPriority(b), hmhsPriority(a)) }},
	{"shortest drain", func(a, b turn) int { return cmp.Compare(a.expectedDrain, b.expectedDrain) }},
}

// FlowShop compares orders of turns, among them that of HMHS, when reboot places
// are few, with exact and with wrong estimates of the durations.
func FlowShop(seeds int) ([]figure.Table, error) {
	table := figure.Table{
		Title:      "two-stage flow shop, 50 turns, one drain in five takes minutes",
		Labels:     []string{"out", "places", "knowledge", "order"},
		Quantities: []string{"roll-out min", "VM-s out"},
	}
	for _, shape := range []struct{ out, places int }{{5, 1}, {5, 3}, {10, 2}, {10, 10}} {
		for _, knowledge := range []struct {
			name  string
			noise float64
		}{{"exact", 1}, {"within 5x", 5}} {
			for _, order := range orders {
				samples, err := figure.Collect(seeds, func(seed uint64) ([]float64, error) {
					turns := randomTurns(seed, knowledge.noise)
					slices.SortStableFunc(turns, order.compare)
					makespan, outOfService := runFlowShop(turns, shape.out, shape.places)
					return []float64{makespan.Minutes(), outOfService.Seconds()}, nil
				})
				if err != nil {
					return nil, err
				}
				table.Add(samples, strconv.Itoa(shape.out), strconv.Itoa(shape.places), knowledge.name, order.name)
			}
		}
	}
	return []figure.Table{table}, nil
}

// randomTurns returns random turns. Their expected durations are wrong by a factor
// of up to noise in either direction.
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

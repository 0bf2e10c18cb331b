package forecast_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"
)

// turn is a VM's way through a wave as a two-stage flow shop: its requests and
// jobs end, then it takes a reboot place. expected is what a planner believes.
type turn struct {
	drain, reboot        time.Duration
	expectedD, expectedR time.Duration
}

// pri is the priority of HMHS, a modified Johnson's rule: Sgn(p1-p2)/min(p1,p2),
// smallest first (Hybrid Multistage Heuristic Scheduling, section 3.1).
func pri(t turn) float64 {
	first, second := t.expectedD.Seconds(), t.expectedR.Seconds()
	sign := 0.0
	switch {
	case first > second:
		sign = 1
	case first < second:
		sign = -1
	}
	return sign / math.Min(first, second)
}

// flow runs turns in order with at most out VMs out and places reboot places,
// which go to the VM that has waited longest. It returns when the last one is
// back and the time out of service over all VMs.
func flow(turns []turn, out, places int) (makespan, charged time.Duration) {
	type busy struct {
		turn
		began, until time.Duration
		rebooting    bool
	}
	var running []*busy
	now, rebooting := time.Duration(0), 0
	for len(turns) > 0 || len(running) > 0 {
		for len(turns) > 0 && len(running) < out {
			running = append(running, &busy{turn: turns[0], began: now, until: now + turns[0].drain})
			turns = turns[1:]
		}
		slices.SortStableFunc(running, func(a, b *busy) int { return int(a.until - b.until) })
		for _, b := range running { // drained VMs, the longest waiting first
			if !b.rebooting && b.until <= now && rebooting < places {
				b.rebooting, b.until = true, now+b.reboot
				rebooting++
			}
		}
		next := time.Duration(math.MaxInt64)
		for _, b := range running {
			if b.until > now {
				next = min(next, b.until)
			}
		}
		now = next
		running = slices.DeleteFunc(running, func(b *busy) bool {
			if !b.rebooting || b.until > now {
				return false
			}
			rebooting--
			charged += now - b.began
			makespan = now
			return true
		})
	}
	return makespan, charged
}

// measureFlowShop prints what HMHS's order of turns gains where reboot places
// are few, with and without knowledge of the drain times.
func measureFlowShop(t *testing.T) {
	fmt.Printf("\nTwo-stage flow shop, 50 turns, one drain in five takes minutes, %d seeds\n\n", seeds)
	fmt.Println("| out | places | knowledge | order | roll-out min | VM-s out |")
	fmt.Println("|---|---|---|---|---|---|")
	orders := []struct {
		name string
		less func(a, b turn) int
	}{
		{"first come", func(turn, turn) int { return 0 }},
		{"HMHS Pri", func(a, b turn) int { return compare(pri(a), pri(b)) }},
		{"reversed Pri", func(a, b turn) int { return compare(pri(b), pri(a)) }},
		{"shortest drain", func(a, b turn) int { return compare(a.expectedD.Seconds(), b.expectedD.Seconds()) }},
	}
	for _, shape := range []struct{ out, places int }{{5, 1}, {5, 3}, {10, 2}, {10, 10}} {
		for _, noise := range []float64{1, 5} {
			for _, order := range orders {
				var makespan, charged spread
				for seed := range uint64(seeds) {
					turns := randomTurns(seed, noise)
					slices.SortStableFunc(turns, order.less)
					m, c := flow(turns, shape.out, shape.places)
					makespan = append(makespan, m.Minutes())
					charged = append(charged, c.Seconds())
				}
				known := map[float64]string{1: "exact", 5: "within 5x"}[noise]
				fmt.Printf("| %d | %d | %s | %s | %s | %s |\n", shape.out, shape.places, known, order.name, makespan, charged)
			}
		}
	}
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func randomTurns(seed uint64, noise float64) []turn {
	r := rand.New(rand.NewPCG(seed, 7))
	blur := func(d time.Duration) time.Duration {
		return time.Duration(float64(d) * math.Pow(noise, 2*r.Float64()-1))
	}
	turns := make([]turn, 50)
	for i := range turns {
		d := time.Duration(2+r.IntN(20)) * time.Second
		if r.IntN(5) == 0 {
			d = time.Duration(120+r.IntN(600)) * time.Second
		}
		b := time.Duration(60+r.IntN(90)) * time.Second
		turns[i] = turn{drain: d, reboot: b, expectedD: blur(d), expectedR: blur(b)}
	}
	return turns
}

func TestMeasureFlowShop(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Skip("set " + measureEnv + "=1 to print the table")
	}
	measureFlowShop(t)
}

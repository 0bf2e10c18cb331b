package scheduler_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// runReplacementHistory runs a history in which the owner is replaced every few seconds without knowing
// it, and its successor can't reach some workers at first. The replaced owner can reach the store: its
// node goes on to store jobs.
func runReplacementHistory(w *world) *world {
	w.maxReadDelay = 100 * time.Millisecond // as long as the tail pauses
	for i := range 6 {
		w.addWorker("worker-"+strconv.Itoa(i), workload.Resources{CPU: 32000, MemoryMB: 64000})
	}
	w.takeOver()
	for at := time.Duration(0); at < 20*time.Second; at += w.durationBetween(20*time.Millisecond, 250*time.Millisecond) {
		w.after(at, func() {
			steps := []workload.Step{{Count: 1 + w.rng.IntN(3), Resources: workload.Resources{CPU: 500, MemoryMB: 500}, EstimateMS: 1500 + w.rng.Int64N(2500)}}
			if w.rng.IntN(4) == 0 {
				steps = append(steps, workload.Step{Count: 2, Resources: workload.Resources{CPU: 500, MemoryMB: 500}, EstimateMS: 500, DependsOn: []int{0}})
			}
			w.submit(workload.Spec{Payload: "work", Steps: steps}, "quick")
		})
	}
	for at := 2 * time.Second; at < 20*time.Second; at += w.durationBetween(2*time.Second, 6*time.Second) {
		w.after(at, func() {
			w.takeOver()
			next := w.owner
			next.links = w.drawLinkFaults(0.4)
			w.after(w.durationBetween(time.Second, 6*time.Second), func() { next.links = nil })
		})
	}
	w.after(24*time.Second, func() { w.faultsStopped = true })
	w.runUntil(60 * time.Second)
	return w
}

// earlyStarts returns how many tasks owners started while runs of earlier owners were unknown.
func (w *world) earlyStarts() int {
	n := 0
	for _, o := range w.owners {
		if o.coreStarted {
			n += o.core.Counts.EarlyStarts
		}
	}
	return n
}

// A replaced owner that starts a job behind its successor's takeover, on a worker that the successor
// can't reach, would run it twice: the successor starts such jobs at once.
func TestNewJobsRunOnceBesideAReplacedOwner(t *testing.T) {
	early := 0
	for _, seed := range historySeeds(historyCount(t)) {
		w := runReplacementHistory(newWorld(seed, faults{lostAnswer: 0.01, lostWriteAnswer: 0.02}))
		require.Empty(t, w.violations, "seed %d", seed)
		for _, j := range w.jobs {
			state, _ := w.owner.core.JobState(j.id)
			require.Equal(t, workload.Completed, state, "seed %d: job %s", seed, j.id)
		}
		early += w.earlyStarts()
	}
	require.NotZero(t, early)
	t.Log(early, "early starts")
}

// The histories above must be able to show the fault: without either half of the rule that owners start
// jobs in the order of the partition's records, tasks run twice.
func TestReplacementHistoriesShowStartsOutOfOrder(t *testing.T) {
	for name, breakRule := range map[string]func(w *world){
		"takeovers are ignored": func(w *world) { w.replacedIgnoreTakeovers = true },
		"gaps are ignored":      func(w *world) { w.replacedIgnoreGaps = true },
	} {
		violations := 0
		for seed := range uint64(80) {
			w := newWorld(seed, faults{})
			breakRule(w)
			violations += len(runReplacementHistory(w).violations)
		}
		require.NotZero(t, violations, name)
		t.Log(name, violations)
	}
}

package scheduler_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// linkFault is a fault of the link between an owner and a worker.
type linkFault int

const (
	linkHealthy     linkFault = iota
	linkDown                  // orders and answers are lost
	linkAnswersLost           // orders arrive, answers are lost
)

// membershipTTL is how long after its last membership announcement an owner may still own its
// partition.
const membershipTTL = 1150 * time.Millisecond

// drawLinkFaults draws a fault for each of an owner's links to the workers with the given probability.
func (w *world) drawLinkFaults(probability float64) map[string]linkFault {
	links := map[string]linkFault{}
	for _, id := range w.workerIDs() {
		if w.rng.Float64() >= probability {
			continue
		}
		links[id] = linkDown
		if w.rng.IntN(4) == 0 {
			links[id] = linkAnswersLost
		}
	}
	return links
}

// disconnectOwnerFromStore disconnects the owner from the store and from some workers for some seconds.
// Another owner takes over the partition; it can't reach some workers either.
func (w *world) disconnectOwnerFromStore() {
	old := w.owner
	if old.stopped || !old.coreStarted || old.storeUnreachable {
		return
	}
	old.storeUnreachable = true
	old.links = w.drawLinkFaults(0.2)
	w.after(w.durationBetween(4*time.Second, 10*time.Second), func() { old.storeUnreachable = false })
	w.after(membershipTTL+w.durationBetween(0, 500*time.Millisecond), func() {
		if w.owner != old {
			return
		}
		w.takeOver()
		next := w.owner
		next.links = w.drawLinkFaults(0.5)
		w.after(w.durationBetween(time.Second, 10*time.Second), func() { next.links = nil })
	})
}

// runLinkHistory runs a history in which jobs are submitted for 25 s while owners lose their
// connections to the store and to single workers. All faults end at 36 s, the history at 86 s.
func runLinkHistory(seed uint64, f faults, injectFault func(w *world)) *world {
	return runLinkScenario(newWorld(seed, f), injectFault)
}

func runLinkScenario(w *world, injectFault func(w *world)) *world {
	w.replacedOwnersStop = true
	for i := range 6 {
		w.addWorker("worker-"+strconv.Itoa(i), workload.Resources{CPU: 32000, MemoryMB: 64000})
	}
	w.takeOver()
	for at := time.Duration(0); at < 25*time.Second; at += w.durationBetween(20*time.Millisecond, 400*time.Millisecond) {
		w.after(at, func() { w.submit(w.randomJobSpec(), "quick") })
	}
	for range 3 {
		w.after(w.durationBetween(2*time.Second, 24*time.Second), w.disconnectOwnerFromStore)
	}
	if injectFault != nil {
		w.after(w.durationBetween(2*time.Second, 24*time.Second), func() { injectFault(w) })
	}
	w.after(36*time.Second, func() {
		w.faultsStopped = true
		w.store.unavailable = false
		for _, o := range w.owners {
			o.storeUnreachable, o.links = false, nil
		}
		for _, f := range w.workers {
			f.partitioned = false
		}
	})
	w.runUntil(86 * time.Second)
	return w
}

// If an owner that can't reach the store continued to renew leases, a task could still run on a worker
// that the owner's successor can't reach, while the successor starts it again on another worker.
func TestOwnerDisconnectedFromTheStoreBesideASuccessorDisconnectedFromWorkers(t *testing.T) {
	for _, seed := range historySeeds(historyCount(t)) {
		w := runLinkHistory(seed, faults{}, nil)
		require.Empty(t, w.violations, "seed %d", seed)
		for _, j := range w.jobs {
			if w.longRunningMemoryShare() > 0.8 {
				break // long-running tasks fill the workers: others may wait forever
			}
			state, _ := w.owner.core.JobState(j.id)
			require.True(t, state == workload.Completed || j.submission.Spec.Steps[0].LongRunning, "seed %d: job %s is %s", seed, j.id, state)
		}
	}
}

// The same with lost answers, workers that lose their VMs or are partitioned, owners that are killed or
// hand over, and an unavailable store.
func TestOwnersDisconnectedFromTheStoreBesideOtherFaults(t *testing.T) {
	for _, seed := range historySeeds(historyCount(t)) {
		w := runLinkHistory(seed, faults{lostAnswer: 0.01, failedTask: 0.01, lostWriteAnswer: 0.02}, (*world).injectRandomFault)
		require.Empty(t, w.violations, "seed %d", seed)
	}
}

// The earlier owner sends its successor the records that it could not store. Without them tasks would
// run twice and jobs would be lost.
func TestNoTaskRunsTwiceAfterDirectHandovers(t *testing.T) {
	directHandovers := 0
	for _, seed := range historySeeds(historyCount(t)) {
		w := newWorld(seed, faults{lostAnswer: 0.01, failedTask: 0.01, lostWriteAnswer: 0.02})
		w.previousOwnerReachableProbability = 0.8
		runLinkScenario(w, (*world).injectRandomFault)
		directHandovers += w.directHandovers
		require.Empty(t, w.violations, "seed %d", seed)
		for _, j := range w.jobs {
			if w.longRunningMemoryShare() > 0.8 {
				break // long-running tasks fill the workers: others may wait forever
			}
			state, known := w.owner.core.JobState(j.id)
			require.True(t, known && (state.IsTerminal() || j.submission.Spec.Steps[0].LongRunning), "seed %d: job %s is %s", seed, j.id, state)
		}
	}
	require.NotZero(t, directHandovers)
	t.Log(directHandovers, "direct handovers")
}

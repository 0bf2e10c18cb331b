package scheduler_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// linkFault is what is wrong with the link between one owner and one worker.
type linkFault int

const (
	linkUp   linkFault = iota
	linkCut            // nothing arrives either way
	linkDeaf           // orders arrive, answers don't
)

// memberTTL is after how long without a join the group gives an owner's partition away.
const memberTTL = 1150 * time.Millisecond

// links draws the faults of an owner's links to all workers.
func (w *world) links(share float64) map[string]linkFault {
	links := map[string]linkFault{}
	for _, id := range w.workerIDs() {
		if w.rng.Float64() >= share {
			continue
		}
		links[id] = linkCut
		if w.rng.IntN(4) == 0 {
			links[id] = linkDeaf
		}
	}
	return links
}

// cutOwnerOff cuts the owner off from the store for a while, and some of its links to
// workers; the group gives its partition to another one, some of whose links are cut, too.
func (w *world) cutOwnerOff() {
	old := w.owner
	if old.dead || !old.loaded || old.noStore {
		return
	}
	old.noStore = true
	old.links = w.links(0.2)
	w.after(w.between(4*time.Second, 10*time.Second), func() { old.noStore = false })
	w.after(memberTTL+w.between(0, 500*time.Millisecond), func() {
		if w.owner != old {
			return
		}
		w.takeOver()
		next := w.owner
		next.links = w.links(0.5)
		w.after(w.between(time.Second, 10*time.Second), func() { next.links = nil })
	})
}

// linkHistory plays 25 s of jobs while owners are cut off from the store and from workers,
// each link by itself, and 60 s without faults.
func linkHistory(seed uint64, f faults, trouble func(w *world)) *world {
	return playLinks(newWorld(seed, f), trouble)
}

func playLinks(w *world, trouble func(w *world)) *world {
	w.joins = true
	for i := range 6 {
		w.addWorker("worker-"+strconv.Itoa(i), workload.Resources{CPU: 32000, MemoryMB: 64000})
	}
	w.takeOver()
	for at := time.Duration(0); at < 25*time.Second; at += w.between(20*time.Millisecond, 400*time.Millisecond) {
		w.after(at, func() { w.submit(w.randomSpec(), "quick") })
	}
	for range 3 {
		w.after(w.between(2*time.Second, 24*time.Second), w.cutOwnerOff)
	}
	if trouble != nil {
		w.after(w.between(2*time.Second, 24*time.Second), func() { trouble(w) })
	}
	w.after(36*time.Second, func() {
		w.quiet = true
		w.store.down = false
		for _, o := range w.owners {
			o.noStore, o.links = false, nil
		}
		for _, f := range w.workers {
			f.dark = false
		}
	})
	w.run(86 * time.Second)
	return w
}

// Guards against a task running on a worker that its owner's successor can't reach, and
// once more on another one: the earlier owner, cut off from the store, renews its leases on.
func TestOwnerWithoutTheStoreBesideASuccessorWithoutWorkers(t *testing.T) {
	for _, seed := range seeds(histories(t)) {
		w := linkHistory(seed, faults{}, nil)
		require.Empty(t, w.broken, "seed %d", seed)
		for _, j := range w.jobs {
			if w.lastingShare() > 0.8 {
				break // lasting tasks fill the workers: others may wait for ever
			}
			state, _ := w.owner.core.State(j.id)
			require.True(t, state == workload.Completed || j.sub.Spec.Steps[0].Lasting, "seed %d: job %s is %s", seed, j.id, state)
		}
	}
}

// Guards against the same beside answers that get lost, workers that crash or are cut off
// from all, owners that are killed or hand over, and a store that is away.
func TestOwnersWithoutTheStoreBesideOtherFaults(t *testing.T) {
	for _, seed := range seeds(histories(t)) {
		w := linkHistory(seed, faults{lostAnswer: 0.01, failedTask: 0.01, storeLost: 0.02}, (*world).trouble)
		require.Empty(t, w.broken, "seed %d", seed)
	}
}

// Guards against tasks that run twice, and jobs that are forgotten, where the earlier owner
// tells its successor what it leaves: what it could not store is known to these two only.
func TestOwnersThatTellTheirSuccessorRunNothingTwice(t *testing.T) {
	told := 0
	for _, seed := range seeds(histories(t)) {
		w := newWorld(seed, faults{lostAnswer: 0.01, failedTask: 0.01, storeLost: 0.02})
		w.reached = 0.8
		playLinks(w, (*world).trouble)
		told += w.told
		require.Empty(t, w.broken, "seed %d", seed)
		for _, j := range w.jobs {
			if w.lastingShare() > 0.8 {
				break // lasting tasks fill the workers: others may wait for ever
			}
			state, known := w.owner.core.State(j.id)
			require.True(t, known && (state.Ended() || j.sub.Spec.Steps[0].Lasting), "seed %d: job %s is %s", seed, j.id, state)
		}
	}
	require.NotZero(t, told)
	t.Log(told, "owners told what they left")
}

package scheduler_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// workspaceLoad is what one workspace sends in a history: lookups a second, and the factor of their size.
type workspaceLoad struct {
	weight, perSecond float64
	size              int
}

// runWorkspaces plays 10 s of lookups of several workspaces. jobsOf returns the jobs by workspace.
func runWorkspaces(t *testing.T, seed uint64, workers int, loads []workspaceLoad, disturb func(w *world)) (w *world, jobsOf map[string][]*fakeJob) {
	return runWorkspacesFor(t, 12*time.Second, seed, workers, loads, disturb)
}

// runWorkspacesFor is runWorkspacesWith with a workspace for each load, until an offset from historyStart.
func runWorkspacesFor(t *testing.T, length time.Duration, seed uint64, workers int, loads []workspaceLoad, disturb func(w *world)) (w *world, jobsOf map[string][]*fakeJob) {
	workspaces := workload.NewWorkspaces()
	for i, l := range loads {
		require.NoError(t, workspaces.Add(workload.Workspace{Name: strconv.Itoa(i), Weight: l.weight}, nil))
	}
	return runWorkspacesWith(t, length, seed, workers, workspaces, loads, disturb)
}

// runWorkspacesWith plays a history with the given workspaces in the configuration, nil for none.
func runWorkspacesWith(t *testing.T, length time.Duration, seed uint64, workers int, workspaces *workload.Workspaces, loads []workspaceLoad, disturb func(w *world)) (w *world, jobsOf map[string][]*fakeJob) {
	fleet := newPartitionFleet(seed, 1, faults{}, nil)
	w = fleet.worlds[0]
	config := *w.visibleConfig
	config.Workspaces = workspaces
	w.visibleConfig = &config
	for i := range workers {
		w.addWorker("worker-"+strconv.Itoa(1000+i), workload.Resources{CPU: 32000, MemoryMB: 64000})
	}
	w.takeOver()
	const tick = 5 * time.Millisecond
	jobsOf = map[string][]*fakeJob{}
	for at := 2 * time.Second; at < length; at += tick {
		for i, l := range loads {
			if w.rng.Float64() < l.perSecond*tick.Seconds() {
				w.after(at, func() {
					name := strconv.Itoa(i)
					fleet.workspaces = []string{name}
					spec := w.randomLookupSpec()
					for s := range spec.Steps {
						spec.Steps[s].Count *= l.size
					}
					jobsOf[name] = append(jobsOf[name], w.submit(spec, "quick"))
				})
			}
		}
	}
	if disturb != nil {
		disturb(w)
	}
	w.runUntil(length + 5*time.Second)
	assert.Empty(t, fleet.violations())
	return w, jobsOf
}

// quietLoads are 20 workspaces that use about four fifths of 60 workers.
func quietLoads() []workspaceLoad {
	loads := make([]workspaceLoad, 20)
	for i := range loads {
		loads[i] = workspaceLoad{weight: 4, perSecond: 2, size: 1}
	}
	return loads
}

// meanInTime returns the mean share in time of all workspaces but the first.
func meanInTime(jobsOf map[string][]*fakeJob) float64 {
	sum := 0.0
	for name, jobs := range jobsOf {
		if name != "0" {
			sum += shareInTime(jobs)
		}
	}
	return sum / float64(len(jobsOf)-1)
}

// Guards against quiet workspaces that lose what one takes that sends seven times its usual, or jobs seven
// times as large: they lose no more than 0.02 of their jobs in time.
func TestQuietWorkspacesBesideAHotOne(t *testing.T) {
	for seed := range uint64(3) {
		_, usual := runWorkspaces(t, seed, 60, quietLoads(), nil)
		for name, hot := range map[string]workspaceLoad{
			"seven times its jobs": {weight: 4, perSecond: 14, size: 1},
			"seven times the size": {weight: 4, perSecond: 2, size: 7},
		} {
			loads := quietLoads()
			loads[0] = hot
			_, beside := runWorkspaces(t, seed, 60, loads, nil)
			t.Logf("seed %d, %s: quiet workspaces in time %.3f, usual %.3f; the hot one %.3f", seed, name, meanInTime(beside), meanInTime(usual), shareInTime(beside["0"]))
			assert.GreaterOrEqual(t, meanInTime(beside), meanInTime(usual)-0.02, "seed %d, %s", seed, name)
		}
	}
}

// A burst of large jobs: a workspace that sends its usual otherwise sends twenty jobs of seven times the size within
// a second, 3.5 s of the whole service. The quiet workspaces lose no more than 0.02 of their jobs in time.
func TestQuietWorkspacesBesideABurstOfLargeJobs(t *testing.T) {
	for seed := range uint64(3) {
		_, usual := runWorkspaces(t, seed, 60, quietLoads(), nil)
		_, beside := runWorkspaces(t, seed, 60, quietLoads(), func(w *world) {
			for i := range 20 {
				w.after(6*time.Second+time.Duration(i)*50*time.Millisecond, func() {
					w.fleet.workspaces = []string{"0"}
					spec := w.randomLookupSpec()
					for s := range spec.Steps {
						spec.Steps[s].Count *= 7
					}
					w.submit(spec, "quick")
				})
			}
		})
		t.Logf("seed %d: quiet workspaces in time %.3f, usual %.3f", seed, meanInTime(beside), meanInTime(usual))
		assert.GreaterOrEqual(t, meanInTime(beside), meanInTime(usual)-0.02, "seed %d", seed)
	}
}

// One workspace sends seven times its usual while the owner is lost in the middle and its successor knows nothing of what each has had.
func TestQuietWorkspacesBesideAHotOneWhoseOwnerIsLost(t *testing.T) {
	lose := func(w *world) { w.after(7*time.Second, func() { w.killOwner(300 * time.Millisecond) }) }
	for seed := range uint64(2) {
		_, usual := runWorkspaces(t, seed, 60, quietLoads(), lose)
		loads := quietLoads()
		loads[0].perSecond *= 7
		_, beside := runWorkspaces(t, seed, 60, loads, lose)
		assert.GreaterOrEqual(t, meanInTime(beside), meanInTime(usual)-0.02, "seed %d", seed)
	}
}

// Guards against shares that cost what they are not needed for: 20 workspaces of very uneven size all ask
// for more than the service has, each in the ratio of its weight. As many jobs are in time as without shares.
func TestSharesCostNothingIfAllAskByWeight(t *testing.T) {
	inTime := func(seed uint64, weighted bool) (share float64) {
		loads := make([]workspaceLoad, 20)
		for i := range loads {
			loads[i] = workspaceLoad{perSecond: 30 / float64(i+1), size: 1}
			if weighted {
				loads[i].weight = 1.9 * loads[i].perSecond
			}
		}
		var all []*fakeJob
		_, jobsOf := runWorkspaces(t, seed, 50, loads, nil)
		for _, jobs := range jobsOf {
			all = append(all, jobs...)
		}
		return shareInTime(all)
	}
	const seeds = 4
	with, without := 0.0, 0.0
	for seed := range uint64(seeds) {
		with += inTime(seed, true) / seeds
		without += inTime(seed, false) / seeds
	}
	t.Logf("in time %.3f with shares, %.3f without", with, without)
	assert.GreaterOrEqual(t, with, without-0.02)
}

// Guards against shares and prospects that change decisions where no weight asks for them: without workspaces and
// with workspaces of no weight, all decisions of a full service are the same.
func TestDecisionsWithoutWeightsAreThoseWithoutWorkspaces(t *testing.T) {
	loads := evenLoads(8, 6)
	for i := range loads {
		loads[i].weight = 0
	}
	lose := func(w *world) { w.after(7*time.Second, func() { w.killOwner(300 * time.Millisecond) }) }
	for seed := range uint64(2) {
		var without, weightless []scheduler.Decision
		runWorkspacesWith(t, 10*time.Second, seed, 12, nil, loads, func(w *world) {
			lose(w)
			w.onDecision = func(d scheduler.Decision) { without = append(without, d) }
		})
		runWorkspacesFor(t, 10*time.Second, seed, 12, loads, func(w *world) {
			lose(w)
			w.onDecision = func(d scheduler.Decision) { weightless = append(weightless, d) }
		})
		assert.Greater(t, len(without), 1000)
		assert.Equal(t, without, weightless, "seed %d", seed)
	}
}

package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

const capTestPartitions = 4

// capOfCores returns a cap in cores, with a GB of memory for each.
func capOfCores(cores int) workload.Resources {
	return workload.Resources{CPU: 1000 * cores, MemoryMB: 2000 * cores}
}

func (p *partitionFleet) addWorkers(perPartition int) {
	for _, w := range p.worlds {
		for i := range perPartition {
			w.addWorker(w.service+"-worker-"+string(rune('a'+i)), workload.Resources{CPU: 32000, MemoryMB: 64000})
		}
		w.takeOver()
	}
}

// randomCapJob draws a job as randomJobSpec does, sometimes with copies or best-effort tasks.
func (w *world) randomCapJob() workload.Spec {
	spec := w.randomJobSpec()
	for i := range spec.Steps {
		s := &spec.Steps[i]
		switch {
		case s.LongRunning:
			s.BestEffortCPU = w.rng.IntN(3) == 0
		case w.rng.IntN(6) == 0:
			s.Speculative = true
		}
	}
	return spec
}

// injectCapFault injects one random fault in one partition.
func (w *world) injectCapFault() {
	switch w.rng.IntN(4) {
	case 0:
		w.disconnectOwnerFromStore()
	case 1:
		if o := w.owner; !o.stopped {
			o.slowUntil = w.now.Add(w.durationBetween(time.Second, 4*time.Second))
		}
	default:
		w.injectRandomFault()
	}
}

// runCapHistory runs a history of several partitions in which one after the other is at its peak.
func runCapHistory(seed uint64) *partitionFleet {
	caps := map[string]workload.Resources{"large": capOfCores(60), "medium": capOfCores(20), "tiny": {CPU: 900}, "free": {}}
	p := newPartitionFleet(seed, capTestPartitions, faults{lostAnswer: 0.01, lateOrder: 0.01, failedTask: 0.01, lostWriteAnswer: 0.02}, caps)
	p.loanFaults = loanFaults{lost: 0.03, lostAnswer: 0.03, doubled: 0.03, staleOwner: 0.02}
	p.workspaces = []string{"large", "large", "large", "medium", "medium", "tiny", "free"}
	p.addWorkers(4)
	for i, w := range p.worlds {
		w.replacedOwnersStop = true
		for at := time.Duration(0); at < 25*time.Second; {
			atPeak := int(at/(4*time.Second))%capTestPartitions == i
			w.after(at, func() {
				j := w.submit(w.randomCapJob(), "quick")
				if w.rng.IntN(8) == 0 {
					w.after(w.durationBetween(0, 3*time.Second), func() { w.cancelJob(j) })
				}
			})
			if atPeak {
				at += w.durationBetween(10*time.Millisecond, 120*time.Millisecond)
			} else {
				at += w.durationBetween(200*time.Millisecond, 2*time.Second)
			}
		}
		for range 3 {
			w.after(w.durationBetween(time.Second, 25*time.Second), w.injectCapFault)
		}
	}
	first := p.worlds[0]
	first.after(first.durationBetween(8*time.Second, 14*time.Second), func() {
		caps["large"] = capOfCores(25)
		delete(caps, "medium")
		p.publish(caps)
	})
	first.after(first.durationBetween(15*time.Second, 22*time.Second), func() {
		caps["large"] = capOfCores(80)
		caps["medium"] = capOfCores(20)
		p.publish(caps)
	})
	first.after(36*time.Second, func() {
		p.loanFaults = loanFaults{}
		for _, w := range p.worlds {
			w.faultsStopped = true
			w.store.unavailable = false
			for _, o := range w.owners {
				o.storeUnreachable, o.links = false, nil
			}
			for _, f := range w.workers {
				f.partitioned = false
			}
		}
	})
	p.runUntil(historyEnd - maxIdleTime)
	for at := historyEnd - maxIdleTime; at <= historyEnd; at += 50 * time.Millisecond {
		p.runUntil(at)
		p.recordHalfUsedCaps()
	}
	return p
}

const (
	historyEnd = 110 * time.Second
	// maxIdleTime is how long a job may wait with nothing running while its workspace uses less than half of
	// its cap.
	maxIdleTime = 3 * time.Second
)

// keptCapSeeds are seeds in which a workspace's backlog outlasts the history.
var keptCapSeeds = []uint64{52, 243}

// Guards against workspaces that run more than their caps on the workers of all partitions, while
// owners are killed, replaced, cut off and slow, requests between them are lost, late and doubled, and
// caps change; and against tasks that wait although their workspace's cap is free.
func TestWorkspacesStayWithinTheirCapsInRandomHistories(t *testing.T) {
	loans := 0
	for _, seed := range append(historySeeds(historyCount(t)/15), keptCapSeeds...) {
		p := runCapHistory(seed)
		loans += p.loans
		require.Empty(t, p.violations(), "seed %d", seed)
		for i, w := range p.worlds {
			for _, job := range w.jobs {
				state, known := w.owner.core.JobState(job.id)
				require.True(t, known, "seed %d: job %s", seed, job.id)
				if job.submission.Spec.Steps[0].LongRunning && job.cancelledAt.IsZero() || w.longRunningMemoryShare() > 0.8 {
					continue
				}
				if name := job.submission.Workspace; !state.IsTerminal() {
					require.True(t, p.usedHalfOfCap[name], "seed %d: job %s of %s in partition %d is %s, the workspace runs %s", seed, job.id, name, i, state, p.reservedBy(name))
				}
			}
		}
	}
	assert.NotZero(t, loans)
}

// recordHalfUsedCaps records the workspaces whose runs reserve at least half of a resource of their cap now.
// Their other tasks may wait.
func (p *partitionFleet) recordHalfUsedCaps() {
	for _, w := range p.config.Workspaces.List() {
		bound, used := unboundedIfZero(w.Cap), p.reservedBy(w.Name)
		if 2*used.CPU >= bound.CPU || 2*used.MemoryMB >= bound.MemoryMB {
			p.usedHalfOfCap[w.Name] = true
		}
	}
}

// runPeak runs four partitions of which one asks for all of the workspace's cap, while the others ask for
// little. It returns the most that the workspace's runs reserved, in cores.
func runPeak(fixedShares bool) (p *partitionFleet, most int) {
	p = newPartitionFleet(1, capTestPartitions, faults{}, map[string]workload.Resources{"ward": capOfCores(100)})
	p.fixedShares = fixedShares
	p.workspaces = []string{"ward"}
	p.addWorkers(4)
	peak := p.worlds[2]
	job := func(tasks int) workload.Spec {
		return workload.Spec{Steps: []workload.Step{{Count: tasks, Resources: workload.Resources{CPU: 1000, MemoryMB: 100}, EstimateMS: 800}}}
	}
	for at := 2 * time.Second; at < 6*time.Second; at += 50 * time.Millisecond {
		peak.after(at, func() { peak.submit(job(8), "quick") })
	}
	for at := time.Duration(0); at < 6*time.Second; at += 500 * time.Millisecond {
		p.worlds[0].after(at, func() { p.worlds[0].submit(job(2), "quick") })
	}
	for at := 2 * time.Second; at < 6*time.Second; at += 20 * time.Millisecond {
		peak.after(at, func() { most = max(most, p.reservedBy("ward").CPU/1000) })
	}
	p.runUntil(30 * time.Second)
	return p, most
}

// Guards against a workspace that gets only its partition's share of its cap while one service is at its
// peak and the others are idle.
func TestPeakOfOneServiceMayUseMostOfTheCap(t *testing.T) {
	p, most := runPeak(false)
	require.Empty(t, p.violations())
	assert.GreaterOrEqual(t, most, 90, "of 100 cores")
	p, fixed := runPeak(true)
	require.Empty(t, p.violations())
	assert.LessOrEqual(t, fixed, 30, "a share and what the quiet service runs")
}

// Guards against a service that can't get its own share back from the one that has borrowed it: the
// lender's demand comes while the borrower could use all of the cap.
func TestLenderGetsItsShareBackWhileTheBorrowerIsBusy(t *testing.T) {
	p := newPartitionFleet(1, capTestPartitions, faults{}, map[string]workload.Resources{"ward": capOfCores(100)})
	p.workspaces = []string{"ward"}
	p.addWorkers(4)
	job := workload.Spec{Steps: []workload.Step{{Count: 8, Resources: workload.Resources{CPU: 1000, MemoryMB: 100}, EstimateMS: 800}}}
	borrower, lender := p.worlds[2], p.worlds[0]
	for at := time.Second; at < 12*time.Second; at += 40 * time.Millisecond {
		borrower.after(at, func() { borrower.submit(job, "quick") })
	}
	for at := 5 * time.Second; at < 10*time.Second; at += 100 * time.Millisecond {
		lender.after(at, func() { lender.submit(job, "quick") })
	}
	p.runUntil(8 * time.Second)
	running := 0
	for _, f := range lender.workers {
		running += len(f.runs)
	}
	assert.GreaterOrEqual(t, running, 20, "of a share of 25 cores, two runs after its demand began")
	p.runUntil(90 * time.Second)
	require.Empty(t, p.violations())
	for _, w := range p.worlds {
		for _, j := range w.jobs {
			state, _ := w.owner.core.JobState(j.id)
			require.Equal(t, workload.Completed, state)
		}
	}
}

// Guards against tasks and gangs that never start, or start beside others, because they exceed their
// workspace's cap: a task then runs alone, a gang waits.
func TestTaskLargerThanTheCapRunsAlone(t *testing.T) {
	p := newPartitionFleet(3, capTestPartitions, faults{}, map[string]workload.Resources{"ward": {CPU: 1500}})
	p.workspaces = []string{"ward"}
	p.addWorkers(2)
	large := workload.Spec{Steps: []workload.Step{{Count: 3, Resources: workload.Resources{CPU: 4000, MemoryMB: 100}, EstimateMS: 500}}}
	for _, w := range p.worlds {
		w.after(time.Second, func() { w.submit(large, "quick") })
		w.after(time.Second, func() { w.submit(workload.Spec{Steps: []workload.Step{batchStep(4, 300)}}, "quick") })
	}
	p.runUntil(60 * time.Second)
	require.Empty(t, p.violations())
	for _, w := range p.worlds {
		for _, j := range w.jobs {
			state, _ := w.owner.core.JobState(j.id)
			assert.Equal(t, workload.Completed, state, "partition %d", w.partition)
		}
	}
}

// Guards against a lender that forgets its loans with its memory, and lends the same allowance twice:
// all owners are lost at the peak, the borrower's runs go on.
func TestLoansOutliveTheOwners(t *testing.T) {
	for seed := range uint64(20) {
		p := newPartitionFleet(seed, capTestPartitions, faults{}, map[string]workload.Resources{"ward": capOfCores(40)})
		p.workspaces = []string{"ward"}
		p.addWorkers(4)
		job := workload.Spec{Steps: []workload.Step{{Count: 8, Resources: workload.Resources{CPU: 1000, MemoryMB: 100}, EstimateMS: 2500}}}
		for i, w := range p.worlds {
			for at := time.Second + time.Duration(i)*2*time.Second; at < 12*time.Second; at += 100 * time.Millisecond {
				w.after(at, func() { w.submit(job, "quick") })
			}
			for _, at := range []time.Duration{3500 * time.Millisecond, 6 * time.Second, 9 * time.Second} {
				w.after(at+w.durationBetween(0, 300*time.Millisecond), func() {
					if !w.owner.stopped {
						w.killOwner(w.durationBetween(300*time.Millisecond, 3*time.Second))
					}
				})
			}
		}
		p.runUntil(40 * time.Second)
		require.Empty(t, p.violations(), "seed %d", seed)
	}
}

// Guards against a takeover that waits for the owners of all partitions: the caps of a partition without
// jobs had settled, but weren't stored, and another partition has no owner.
func TestSettledCapsNeedNoConfirmationAfterATakeover(t *testing.T) {
	p := newPartitionFleet(1, capTestPartitions, faults{}, map[string]workload.Resources{"ward": capOfCores(100)})
	p.workspaces = []string{"ward"}
	p.addWorkers(2)
	p.runUntil(5 * time.Second)
	p.worlds[3].owner.stopped, p.worlds[3].owner.killed = true, true // and nobody takes over
	idle := p.worlds[0]
	idle.killOwner(time.Second)
	p.runUntil(12 * time.Second)
	j := idle.submit(workload.Spec{Steps: []workload.Step{batchStep(4, 1000)}}, "quick")
	p.runUntil(14 * time.Second)
	state, _ := idle.owner.core.JobState(j.id)
	assert.Equal(t, workload.Completed, state)
}

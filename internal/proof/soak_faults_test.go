package proof_test

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/joblog"
	"github.com/yuccadrift/yuccadrift/internal/testkit"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform/standin"
)

// injectFault begins a random fault, which ends after a random time. A target that already has a
// fault is skipped; faults of different targets overlap.
func (s *soak) injectFault() {
	n := s.cluster.Nodes[s.faultRand.IntN(len(s.cluster.Nodes))]
	vms := s.cluster.Platform.VMs()
	vm := vms[s.faultRand.IntN(len(vms))]
	duration := s.randomDuration(300*time.Millisecond, 3500*time.Millisecond)
	switch s.faultRand.IntN(10) {
	case 0:
		s.applyFault(n.Name, "killed", s.randomDuration(0, 1500*time.Millisecond), n.Kill, n.Start)
	case 1:
		s.applyFault(n.Name, "paused", duration, n.Pause, n.Resume)
	case 2:
		s.applyFault(n.Name, "sent SIGTERM", 0, n.Terminate, func() { s.awaitExitAndStart(n) })
	case 3:
		s.applyFault(n.Name+" settings", "sent SIGHUP", 0, n.Hangup, func() {})
	case 4:
		s.injectLinkFault(n.Name+" store", n.Store, duration)
	case 5:
		s.injectLinkFault(n.Name+" VMs", n.VMService, duration)
	case 6:
		fault := []standin.StoreFault{standin.Busy, standin.Silent, standin.LoseWriteAnswers}[s.faultRand.IntN(3)]
		s.applyFault("store", "unavailable or loses answers", duration,
			func() { s.cluster.Platform.Store.SetFault(fault, "") },
			func() { s.cluster.Platform.Store.SetFault(standin.NoStoreFault, "") })
	case 7:
		if worker := vm.Worker; worker != nil {
			fault := []standin.WorkerFault{standin.LoseAnswers, standin.Unreachable, standin.DelayStarts}[s.faultRand.IntN(3)]
			s.applyFault(worker.Info.ID, "unreachable or late", duration,
				func() { worker.SetFault(fault) },
				func() { worker.SetFault(standin.NoWorkerFault) })
		}
	case 8:
		s.applyFault(vm.ID, "crashed", time.Second, func() { s.cluster.Platform.CrashVM(vm, 500*time.Millisecond) }, func() {})
	case 9:
		s.applyFault("history", "dropped", 0, func() { s.cluster.Platform.Store.DropHistory(joblog.JobsTopic) }, func() {})
		if err := s.cluster.Platform.Publish("returns"); err != nil {
			s.t.Errorf("configuration: %v", err)
		}
	}
}

// restartWorker kills the process of a random worker and starts a new one under the same ID.
func (s *soak) restartWorker(rng *rand.Rand) {
	vms := s.cluster.Platform.VMs()
	vm := vms[rng.IntN(len(vms))]
	downtime := time.Duration(300+rng.IntN(900)) * time.Millisecond
	s.applyFault(vm.ID, "worker restarts under its ID", downtime, func() { s.cluster.Platform.RestartWorker(vm, downtime) }, func() {})
}

// applyFault begins a fault of a target and ends it after duration. It does nothing if the target
// already has a fault.
func (s *soak) applyFault(target, fault string, duration time.Duration, begin, end func()) {
	s.mu.Lock()
	alreadyFaulty := s.faulty[target]
	s.faulty[target] = true
	s.mu.Unlock()
	if alreadyFaulty {
		return
	}
	s.t.Logf("%6.2fs %s: %s for %s", time.Since(s.startedAt).Seconds(), target, fault, duration.Round(time.Millisecond))
	begin()
	s.activeFaults.Go(func() {
		time.Sleep(duration)
		end()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.faulty, target)
	})
}

// isolateNode cuts a random node off from the store and makes about half of the workers
// unreachable for later owners, the successor of that node among them.
func (s *soak) isolateNode(rng *rand.Rand) {
	n := s.cluster.Nodes[rng.IntN(len(s.cluster.Nodes))]
	duration := time.Second + time.Duration(rng.Int64N(int64(5*time.Second)))
	s.applyFault(n.Name+" store", "held", duration, n.Store.Blackhole, n.Store.Heal)
	for _, vm := range s.cluster.Platform.VMs() {
		worker := vm.Worker
		if worker == nil || rng.IntN(2) == 0 {
			continue
		}
		s.applyFault(worker.Info.ID, "unreachable for later owners", duration+2*time.Second,
			func() { worker.SetFault(standin.KnownOwnersOnly) },
			func() { worker.SetFault(standin.NoWorkerFault) })
	}
}

// awaitExitAndStart waits until a terminated node exits and starts it again.
func (s *soak) awaitExitAndStart(n *testkit.JobNode) {
	if err := n.Wait(); err != nil {
		s.t.Errorf("%s exited with an error after SIGTERM: %v", n.Name, err)
	}
	n.Start()
}

// injectLinkFault begins a random fault of a link.
func (s *soak) injectLinkFault(target string, l *testkit.Link, duration time.Duration) {
	delay := s.randomDuration(20*time.Millisecond, 400*time.Millisecond)
	faults := []struct {
		name  string
		begin func()
	}{
		{"cut", l.Cut},
		{"held", l.Blackhole},
		{"without replies", l.BlackholeReplies},
		{"slow", func() { l.Delay(delay, delay/2) }},
	}
	f := faults[s.faultRand.IntN(len(faults))]
	s.applyFault(target, f.name, duration, f.begin, l.Heal)
}

// awaitJobsSettled waits until all accepted jobs are in their expected state and the wave is
// completed.
func (s *soak) awaitJobsSettled() {
	s.cluster.AwaitReady()
	for _, j := range s.jobs {
		switch {
		case j.acceptedAt.IsZero():
		case j.cancelSent:
			s.cluster.Until("cancel of job "+string(j.id)+" is confirmed", func() bool { return s.cancel(j, s.cluster.Nodes[0]) })
			s.cluster.Until("no task runs of cancelled job "+string(j.id), func() bool { return s.cluster.Platform.RunningTasksOf(j.id) == 0 })
		case j.crashesWorkers:
			s.cluster.AwaitState(j.service, j.id, workload.Failed)
		case j.longRunning:
			s.cluster.Until("every task of long-running job "+string(j.id)+" runs", func() bool { return s.cluster.Platform.RunningTasksOf(j.id) == j.tasks })
		default:
			s.cluster.AwaitState(j.service, j.id, workload.Completed)
		}
	}
	s.cluster.Until("the wave is completed", func() bool { return s.cluster.Platform.IsWaveCompleted(1) })
}

// logPlatformOnFailure logs the VMs and the violations if the run has failed, also when it has failed
// before the violations were checked.
func (s *soak) logPlatformOnFailure() {
	if !s.t.Failed() {
		return
	}
	for _, vm := range s.cluster.Platform.VMs() {
		worker := "no worker"
		if vm.Worker != nil {
			worker = vm.Worker.Info.ID
		}
		s.t.Logf("%s in pool %s: %s, %s", vm.ID, vm.Pool, vm.State, worker)
	}
	s.t.Logf("violations: %q", s.cluster.Platform.Violations())
}

// checkJobs checks the jobs' final states on all nodes, that no refused job ran, and that no
// violation was recorded.
func (s *soak) checkJobs() {
	accepted, refused := 0, 0
	for _, j := range s.jobs {
		for _, n := range s.cluster.Nodes {
			s.checkState(j, n)
		}
		if !j.acceptedAt.IsZero() {
			accepted++
		}
		if j.acceptedAt.IsZero() && (!j.possiblyAccepted || j.lastRefused) {
			refused++
			status, body := s.cluster.Call(s.cluster.Nodes[0], http.MethodGet, standin.QueuePrefix(j.service)+string(j.id), "")
			assert.Equal(s.t, http.StatusGone, status, "job %s was refused: %s", j.id, body)
			assert.Zero(s.t, s.cluster.Platform.DoneTasksOf(j.id), "job %s was refused", j.id)
		}
	}
	s.t.Logf("seed %d: %d jobs accepted, %d refused, %d tasks done", s.seed, accepted, refused, s.cluster.Platform.DoneTasks())
	require.NotZero(s.t, accepted)
	assert.Empty(s.t, s.violations)
	assert.Empty(s.t, s.cluster.Platform.Violations())
}

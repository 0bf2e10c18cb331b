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

// trouble draws a fault and begins it; it ends by itself after a while. What
// suffers one already is left alone, other things suffer at the same time.
func (s *soak) trouble() {
	n := s.c.Nodes[s.rng.IntN(len(s.c.Nodes))]
	vms := s.c.Platform.VMs()
	vm := vms[s.rng.IntN(len(vms))]
	lasts := s.between(300*time.Millisecond, 3500*time.Millisecond)
	switch s.rng.IntN(10) {
	case 0:
		s.during(n.Name, "killed", s.between(0, 1500*time.Millisecond), n.Kill, n.Start)
	case 1:
		s.during(n.Name, "paused", lasts, n.Pause, n.Resume)
	case 2:
		s.during(n.Name, "told to stop", 0, n.Terminate, func() { s.restart(n) })
	case 3:
		s.during(n.Name+" settings", "hung up", 0, n.Hangup, func() {})
	case 4:
		s.link(n.Name+" store", n.Store, lasts)
	case 5:
		s.link(n.Name+" VMs", n.VMs, lasts)
	case 6:
		fault := []standin.StoreFault{standin.Busy, standin.Silent, standin.LoseWriteAnswers}[s.rng.IntN(3)]
		s.during("store", "away or loses answers", lasts,
			func() { s.c.Platform.Store.SetFault(fault, "") },
			func() { s.c.Platform.Store.SetFault(standin.NoStoreFault, "") })
	case 7:
		if worker := vm.Worker; worker != nil {
			fault := []standin.WorkerFault{standin.LoseAnswers, standin.Unreachable, standin.DelayStarts}[s.rng.IntN(3)]
			s.during(worker.Info.ID, "cut off or late", lasts,
				func() { worker.SetFault(fault) },
				func() { worker.SetFault(standin.NoWorkerFault) })
		}
	case 8:
		s.during(vm.ID, "crashed", time.Second, func() { s.c.Platform.CrashVM(vm, 500*time.Millisecond) }, func() {})
	case 9:
		s.during("history", "dropped", 0, func() { s.c.Platform.Store.DropHistory(joblog.JobsTopic) }, func() {})
		if err := s.c.Platform.Publish("returns"); err != nil {
			s.t.Errorf("configuration: %v", err)
		}
	}
}

// restartWorker has a worker's process end and come back under its ID.
func (s *soak) restartWorker(rng *rand.Rand) {
	vms := s.c.Platform.VMs()
	vm := vms[rng.IntN(len(vms))]
	away := time.Duration(300+rng.IntN(900)) * time.Millisecond
	s.during(vm.ID, "worker restarts under its ID", away, func() { s.c.Platform.RestartWorker(vm, away) }, func() {})
}

// during has something suffer a fault for a while.
func (s *soak) during(what, fault string, lasts time.Duration, begin, end func()) {
	s.mu.Lock()
	busy := s.busy[what]
	s.busy[what] = true
	s.mu.Unlock()
	if busy {
		return
	}
	s.t.Logf("%6.2fs %s: %s for %s", time.Since(s.began).Seconds(), what, fault, lasts.Round(time.Millisecond))
	begin()
	s.faults.Go(func() {
		time.Sleep(lasts)
		end()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.busy, what)
	})
}

// cutOwnerOff cuts a node off from the store, and the path of later owners to half of the
// workers: its own successor is one of them.
func (s *soak) cutOwnerOff(rng *rand.Rand) {
	n := s.c.Nodes[rng.IntN(len(s.c.Nodes))]
	lasts := time.Second + time.Duration(rng.Int64N(int64(5*time.Second)))
	s.during(n.Name+" store", "held", lasts, n.Store.Blackhole, n.Store.Heal)
	for _, vm := range s.c.Platform.VMs() {
		worker := vm.Worker
		if worker == nil || rng.IntN(2) == 0 {
			continue
		}
		s.during(worker.Info.ID, "cut off from later owners", lasts+2*time.Second,
			func() { worker.SetFault(standin.KnownOwnersOnly) },
			func() { worker.SetFault(standin.NoWorkerFault) })
	}
}

func (s *soak) restart(n *testkit.JobNode) {
	if err := n.Wait(); err != nil {
		s.t.Errorf("%s ended with an error after it was told to stop: %v", n.Name, err)
	}
	n.Start()
}

// link draws a fault of a link.
func (s *soak) link(what string, l *testkit.Link, lasts time.Duration) {
	delay := s.between(20*time.Millisecond, 400*time.Millisecond)
	faults := []struct {
		name  string
		begin func()
	}{
		{"cut", l.Cut},
		{"held", l.Blackhole},
		{"without replies", l.BlackholeReplies},
		{"slow", func() { l.Delay(delay, delay/2) }},
	}
	f := faults[s.rng.IntN(len(faults))]
	s.during(what, f.name, lasts, f.begin, l.Heal)
}

// calm waits until all that was taken is finished.
func (s *soak) calm() {
	s.c.AwaitReady()
	for _, j := range s.jobs {
		switch {
		case j.accepted.IsZero():
		case j.cancelled:
			s.c.Until("cancel of job "+string(j.id)+" is answered", func() bool { return s.cancel(j, s.c.Nodes[0]) })
			s.c.Until("nothing runs of cancelled job "+string(j.id), func() bool { return s.c.Platform.RunningTasksOf(j.id) == 0 })
		case j.crashes:
			s.c.AwaitState(j.service, j.id, workload.Failed)
		case j.lasting:
			s.c.Until("all of lasting job "+string(j.id)+" runs", func() bool { return s.c.Platform.RunningTasksOf(j.id) == j.tasks })
		default:
			s.c.AwaitState(j.service, j.id, workload.Completed)
		}
	}
	s.c.Until("the wave is completed", func() bool { return s.c.Platform.IsWaveCompleted(1) })
}

// finish checks what can be told at the end.
func (s *soak) finish() {
	taken, refused := 0, 0
	for _, j := range s.jobs {
		for _, n := range s.c.Nodes {
			s.ask(j, n)
		}
		if !j.accepted.IsZero() {
			taken++
		}
		if j.accepted.IsZero() && !j.maybe {
			refused++
			status, body := s.c.Call(s.c.Nodes[0], http.MethodGet, standin.Prefix(j.service)+string(j.id), "")
			assert.Equal(s.t, http.StatusGone, status, "job %s was refused: %s", j.id, body)
			assert.Zero(s.t, s.c.Platform.DoneTasksOf(j.id), "job %s was refused", j.id)
		}
	}
	s.t.Logf("seed %d: %d jobs taken, %d refused, %d tasks done", s.seed, taken, refused, s.c.Platform.DoneTasks())
	require.NotZero(s.t, taken)
	assert.Empty(s.t, s.broken)
	assert.Empty(s.t, s.c.Platform.Violations())
}

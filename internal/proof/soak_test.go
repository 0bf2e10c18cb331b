package proof_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/testkit"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform/standin"
)

// Sizes of a soak.
const (
	soakNodes   = 3
	soakCallers = 3
	soakTrouble = 8 * time.Second // with faults
	// soakKnown is how long after it was taken a job may be unknown to a node.
	soakKnown = 3 * time.Second
	// soakCrashing is of how many jobs one crashes its workers; there are six of them.
	soakCrashing = 60
	// soakAtOnce is how many seeds are played at once.
	soakAtOnce = 4
)

// soakSeed is a seed that each run of the tests plays, and the failure that it has shown and
// guards against.
type soakSeed struct {
	seed   uint64
	guards string
}

var soakSeeds = []soakSeed{
	{1, "the mixture of faults; it has shown none"},
	{2, "SIGHUP ends a node that is stopping"},
	{108, "a VM is ordered while its worker runs tasks: on an old word, on a worker that is not listed yet, on one that has ended"},
	{352, "an owner inherits runs of a cancelled job and lets them go on"},
	{5002, "a VM is ordered whose worker was forgotten; an owner that was paused shows an old state"},
	{5019, "lasting tasks are away for long beside jobs that crash workers"},
	{5046, "the same, with other faults"},
	{7001, "a job that crashes workers runs on"},
	{9302, "the stand-in's workers answer after their end"},
}

// seedsOfSoak returns the seeds to play. YUCCADRIFT_SOAK_SEEDS=N plays N seeds that
// begin at YUCCADRIFT_SOAK_FIRST.
func seedsOfSoak(t *testing.T) []soakSeed {
	text := os.Getenv("YUCCADRIFT_SOAK_SEEDS")
	if text == "" {
		return soakSeeds
	}
	n, err := strconv.ParseUint(text, 10, 64)
	require.NoError(t, err)
	first := uint64(0)
	if text := os.Getenv("YUCCADRIFT_SOAK_FIRST"); text != "" {
		first, err = strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
	}
	var seeds []soakSeed
	for i := range n {
		seeds = append(seeds, soakSeed{first + i, "what nobody has seen yet"})
	}
	return seeds
}

// TestSoak plays random faults against nodes as processes, in series and at once:
// kills, pauses, planned stops, hang-ups, links to the store and to the service
// for VMs that are cut, held, slow or one-way, a store that is away, loses answers
// or drops its history, workers that crash, by themselves or by a job, are cut off or answer late, owners
// that reach workers which their successors don't; all that
// through a wave of maintenance and changes of the configuration. Callers see each
// job that was taken be known and be completed, or failed if it crashes workers, none
// that was refused run, and
// none shown as completed before all its tasks were; workers see no task twice.
func TestSoak(t *testing.T) {
	gate := make(chan struct{}, soakAtOnce)
	for _, seed := range seedsOfSoak(t) {
		t.Run(fmt.Sprint("seed ", seed.seed), func(t *testing.T) {
			t.Parallel()
			t.Log("guards against: ", seed.guards)
			gate <- struct{}{}
			defer func() { <-gate }()
			playSoak(t, seed.seed)
		})
	}
}

func playSoak(t *testing.T, seed uint64) {
	s := &soak{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 0)), busy: map[string]bool{}, began: time.Now()}
	s.c = testkit.StartLinkedJobs(t, jobOptions(), soakNodes)
	var vms []string
	for _, vm := range s.c.Platform.VMs() {
		vms = append(vms, vm.ID)
	}
	require.NoError(t, s.c.Platform.PublishWave(1, vms, 20*time.Second, 2))
	stop := make(chan struct{})
	// Restarts of workers, and owners that are cut off, are drawn by themselves, so that the other choices of a seed stay
	// as they are.
	restarts := rand.New(rand.NewPCG(seed, 200))
	cuts := rand.New(rand.NewPCG(seed, 300))
	var callers sync.WaitGroup
	for i := range soakCallers {
		callers.Go(func() { s.call(rand.New(rand.NewPCG(seed, uint64(i+1))), uint64(i+1), stop) })
	}
	for until := time.Now().Add(soakTrouble); time.Now().Before(until); {
		time.Sleep(s.between(100*time.Millisecond, 900*time.Millisecond))
		s.trouble()
		if restarts.IntN(3) == 0 {
			s.restartWorker(restarts)
		}
		if cuts.IntN(6) == 0 {
			s.cutOwnerOff(cuts)
		}
	}
	s.faults.Wait()
	close(stop)
	callers.Wait()
	s.calm()
	s.finish()
}

// soakJob is a job as its caller knows it.
type soakJob struct {
	id      workload.JobID
	service string
	tasks   int
	lasting bool

	mu        sync.Mutex
	crashes   bool // its task crashes each worker that starts it
	maybe     bool // a call got no answer, or one that leaves open whether it was taken
	accepted  time.Time
	cancelled bool // a cancel was sent; whether it was taken is another matter
	completed bool // was shown so
}

type soak struct {
	t      *testing.T
	c      *testkit.JobCluster
	seed   uint64
	rng    *rand.Rand // of the faults
	began  time.Time
	faults sync.WaitGroup

	mu     sync.Mutex
	busy   map[string]bool // what suffers a fault now
	jobs   []*soakJob
	broken []string
}

func (s *soak) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

// breaks notes what a caller must not see.
func (s *soak) breaks(j *soakJob, what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, fmt.Sprintf("%.2fs job %s: %s", time.Since(s.began).Seconds(), j.id, what))
}

// call is one caller: it submits jobs, asks for their states and cancels some.
func (s *soak) call(rng *rand.Rand, caller uint64, stop chan struct{}) {
	var own []*soakJob
	// Jobs that crash workers are drawn by themselves, so that the other choices of a
	// seed stay as they are.
	crashing := rand.New(rand.NewPCG(s.seed, 100+caller))
	for n := uint64(1); ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.Int64N(int64(150 * time.Millisecond)))):
		}
		j := &soakJob{id: workload.JobID(fmt.Sprintf("%08x%08x", caller, n)), service: []string{"booking", "returns"}[rng.IntN(2)]}
		j.crashes = crashing.IntN(soakCrashing) == 0
		s.submit(j, rng)
		own = append(own, j)
		s.mu.Lock()
		s.jobs = append(s.jobs, j)
		s.mu.Unlock()
		for range 2 {
			s.ask(own[rng.IntN(len(own))], s.c.Nodes[rng.IntN(len(s.c.Nodes))])
		}
		if rng.IntN(10) == 0 {
			s.cancel(own[rng.IntN(len(own))], s.c.Nodes[rng.IntN(len(s.c.Nodes))])
		}
	}
}

// submit tries nodes until one takes the job, or gives it up after some refusals.
func (s *soak) submit(j *soakJob, rng *rand.Rand) {
	spec := testkit.Chain(time.Duration(20+rng.IntN(300))*time.Millisecond, 1+rng.IntN(4), 1+rng.IntN(3))
	if rng.IntN(12) == 0 {
		j.lasting = true
		spec = workload.Spec{Payload: standin.Payload(0), Steps: []workload.Step{{
			Count: 3, Resources: workload.Resources{CPU: 500, MemoryMB: 500}, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 2,
		}}}
	}
	if j.crashes {
		j.lasting = false
		spec = workload.Spec{Payload: standin.CrashPayload, Steps: []workload.Step{{Count: 1, Resources: workload.Resources{CPU: 500, MemoryMB: 500}, EstimateMS: 100}}}
	}
	for _, step := range spec.Steps {
		j.tasks += step.Count
	}
	body := testkit.Body(s.t, spec)
	for range 1 + rng.IntN(6) {
		n := s.c.Nodes[rng.IntN(len(s.c.Nodes))]
		status, _ := s.c.Call(n, http.MethodPost, standin.Prefix(j.service)+string(j.id), body)
		switch status {
		case http.StatusOK:
			j.mu.Lock()
			j.accepted = time.Now()
			j.mu.Unlock()
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			j.mu.Lock()
			j.maybe = true
			j.mu.Unlock()
		}
	}
}

// ask asks a node for a job's state and checks the answer.
func (s *soak) ask(j *soakJob, n *testkit.JobNode) {
	asked := time.Now()
	status, body := s.c.Call(n, http.MethodGet, standin.Prefix(j.service)+string(j.id), "")
	j.mu.Lock()
	defer j.mu.Unlock()
	taken := !j.accepted.IsZero() && asked.Sub(j.accepted) > soakKnown
	switch {
	case status == http.StatusGone && taken && !j.cancelled:
		s.breaks(j, "is not known to "+n.Name+" though it was taken")
	case status != http.StatusOK:
	case body == stateBody(workload.Completed):
		j.completed = true
		if done := s.c.Platform.DoneTasksOf(j.id); done < j.tasks {
			s.breaks(j, fmt.Sprintf("is shown as completed by %s with %d of %d tasks done", n.Name, done, j.tasks))
		}
	case j.completed && !j.cancelled:
		s.breaks(j, "was completed and is now "+body)
	case body == stateBody(workload.Failed) && j.crashes:
	case body == stateBody(workload.Cancelled) && !j.cancelled, body == stateBody(workload.Failed):
		s.breaks(j, "has ended without cause: "+body)
	}
}

func stateBody(state workload.JobState) string { return `{"state":"` + string(state) + `"}` }

// cancel cancels a job and tells whether that was answered. The caller repeats a
// cancel without an answer, as its job may run on.
func (s *soak) cancel(j *soakJob, n *testkit.JobNode) bool {
	j.mu.Lock()
	j.cancelled = true
	j.mu.Unlock()
	status, _ := s.c.Call(n, http.MethodDelete, standin.Prefix(j.service)+string(j.id), "")
	return status == http.StatusOK || status == http.StatusGone
}

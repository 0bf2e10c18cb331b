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
	soakNodes         = 3
	soakCallers       = 3
	soakFaultDuration = 8 * time.Second // with faults
	// soakVisibilityDelay is how long after it was taken a job may be unknown to a node.
	soakVisibilityDelay = 3 * time.Second
	// soakJobsPerCrashJob is of how many jobs one crashes its workers; there are six of them.
	soakJobsPerCrashJob = 60
	// soakParallelism is how many seeds are played at once.
	soakParallelism = 4
)

// soakSeed is a seed that each run of the tests plays, and the failure that it has shown and
// guards against.
type soakSeed struct {
	seed          uint64
	guardsAgainst string
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

// seedsToRun returns the seeds to play. YUCCADRIFT_SOAK_SEEDS=N plays N seeds that
// begin at YUCCADRIFT_SOAK_FIRST.
func seedsToRun(t *testing.T) []soakSeed {
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
	running := make(chan struct{}, soakParallelism)
	for _, seed := range seedsToRun(t) {
		t.Run(fmt.Sprint("seed ", seed.seed), func(t *testing.T) {
			t.Parallel()
			t.Log("guards against: ", seed.guardsAgainst)
			running <- struct{}{}
			defer func() { <-running }()
			runSoak(t, seed.seed)
		})
	}
}

func runSoak(t *testing.T, seed uint64) {
	s := &soak{t: t, seed: seed, faultRand: rand.New(rand.NewPCG(seed, 0)), faulty: map[string]bool{}, startedAt: time.Now()}
	s.cluster = testkit.StartLinkedJobs(t, smallPlatform(), soakNodes)
	var vms []string
	for _, vm := range s.cluster.Platform.VMs() {
		vms = append(vms, vm.ID)
	}
	require.NoError(t, s.cluster.Platform.PublishWave(1, vms, 20*time.Second, 2))
	stop := make(chan struct{})
	// Restarts of workers, and owners that are cut off, are drawn by themselves, so that the other choices of a seed stay
	// as they are.
	restartRand := rand.New(rand.NewPCG(seed, 200))
	isolationRand := rand.New(rand.NewPCG(seed, 300))
	var callers sync.WaitGroup
	for i := range soakCallers {
		callers.Go(func() { s.runCaller(rand.New(rand.NewPCG(seed, uint64(i+1))), uint64(i+1), stop) })
	}
	for until := time.Now().Add(soakFaultDuration); time.Now().Before(until); {
		time.Sleep(s.randomDuration(100*time.Millisecond, 900*time.Millisecond))
		s.injectFault()
		if restartRand.IntN(3) == 0 {
			s.restartWorker(restartRand)
		}
		if isolationRand.IntN(6) == 0 {
			s.isolateNode(isolationRand)
		}
	}
	s.activeFaults.Wait()
	close(stop)
	callers.Wait()
	s.awaitJobsSettled()
	s.checkJobs()
}

// soakJob is a job as its caller knows it.
type soakJob struct {
	id          workload.JobID
	service     string
	tasks       int
	longRunning bool

	mu               sync.Mutex
	crashesWorkers   bool // its task crashes each worker that starts it
	possiblyAccepted bool // a call got no answer, or one that leaves open whether it was taken
	acceptedAt       time.Time
	cancelSent       bool // a cancel was sent; whether it was taken is another matter
	shownCompleted   bool // was shown so
}

type soak struct {
	t            *testing.T
	cluster      *testkit.JobCluster
	seed         uint64
	faultRand    *rand.Rand // of the faults
	startedAt    time.Time
	activeFaults sync.WaitGroup

	mu         sync.Mutex
	faulty     map[string]bool // what suffers a fault now
	jobs       []*soakJob
	violations []string
}

func (s *soak) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.faultRand.Int64N(int64(high-low)))
}

// recordViolation notes what a caller must not see.
func (s *soak) recordViolation(j *soakJob, what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf("%.2fs job %s: %s", time.Since(s.startedAt).Seconds(), j.id, what))
}

// runCaller is one caller: it submits jobs, asks for their states and cancels some.
func (s *soak) runCaller(rng *rand.Rand, caller uint64, stop chan struct{}) {
	var ownJobs []*soakJob
	// Jobs that crash workers are drawn by themselves, so that the other choices of a
	// seed stay as they are.
	crashRand := rand.New(rand.NewPCG(s.seed, 100+caller))
	for n := uint64(1); ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.Int64N(int64(150 * time.Millisecond)))):
		}
		j := &soakJob{id: workload.JobID(fmt.Sprintf("%08x%08x", caller, n)), service: []string{"booking", "returns"}[rng.IntN(2)]}
		j.crashesWorkers = crashRand.IntN(soakJobsPerCrashJob) == 0
		s.submit(j, rng)
		ownJobs = append(ownJobs, j)
		s.mu.Lock()
		s.jobs = append(s.jobs, j)
		s.mu.Unlock()
		for range 2 {
			s.checkState(ownJobs[rng.IntN(len(ownJobs))], s.cluster.Nodes[rng.IntN(len(s.cluster.Nodes))])
		}
		if rng.IntN(10) == 0 {
			s.cancel(ownJobs[rng.IntN(len(ownJobs))], s.cluster.Nodes[rng.IntN(len(s.cluster.Nodes))])
		}
	}
}

// submit tries nodes until one takes the job, or gives it up after some refusals.
func (s *soak) submit(j *soakJob, rng *rand.Rand) {
	spec := testkit.Chain(time.Duration(20+rng.IntN(300))*time.Millisecond, 1+rng.IntN(4), 1+rng.IntN(3))
	if rng.IntN(12) == 0 {
		j.longRunning = true
		spec = workload.Spec{Payload: standin.Payload(0), Steps: []workload.Step{{
			Count: 3, Resources: workload.Resources{CPU: 500, MemoryMB: 500}, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 2,
		}}}
	}
	if j.crashesWorkers {
		j.longRunning = false
		spec = workload.Spec{Payload: standin.CrashPayload, Steps: []workload.Step{{Count: 1, Resources: workload.Resources{CPU: 500, MemoryMB: 500}, EstimateMS: 100}}}
	}
	for _, step := range spec.Steps {
		j.tasks += step.Count
	}
	body := testkit.Body(s.t, spec)
	for range 1 + rng.IntN(6) {
		n := s.cluster.Nodes[rng.IntN(len(s.cluster.Nodes))]
		status, _ := s.cluster.Call(n, http.MethodPost, standin.Prefix(j.service)+string(j.id), body)
		switch status {
		case http.StatusOK:
			j.mu.Lock()
			j.acceptedAt = time.Now()
			j.mu.Unlock()
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			j.mu.Lock()
			j.possiblyAccepted = true
			j.mu.Unlock()
		}
	}
}

// checkState asks a node for a job's state and checks the answer.
func (s *soak) checkState(j *soakJob, n *testkit.JobNode) {
	askedAt := time.Now()
	status, body := s.cluster.Call(n, http.MethodGet, standin.Prefix(j.service)+string(j.id), "")
	j.mu.Lock()
	defer j.mu.Unlock()
	mustBeKnown := !j.acceptedAt.IsZero() && askedAt.Sub(j.acceptedAt) > soakVisibilityDelay
	switch {
	case status == http.StatusGone && mustBeKnown && !j.cancelSent:
		s.recordViolation(j, "is not known to "+n.Name+" though it was taken")
	case status != http.StatusOK:
	case body == stateBody(workload.Completed):
		j.shownCompleted = true
		if done := s.cluster.Platform.DoneTasksOf(j.id); done < j.tasks {
			s.recordViolation(j, fmt.Sprintf("is shown as completed by %s with %d of %d tasks done", n.Name, done, j.tasks))
		}
	case j.shownCompleted && !j.cancelSent:
		s.recordViolation(j, "was completed and is now "+body)
	case body == stateBody(workload.Failed) && j.crashesWorkers:
	case body == stateBody(workload.Cancelled) && !j.cancelSent, body == stateBody(workload.Failed):
		s.recordViolation(j, "has ended without cause: "+body)
	}
}

func stateBody(state workload.JobState) string { return `{"state":"` + string(state) + `"}` }

// cancel cancels a job and tells whether that was answered. The caller repeats a
// cancel without an answer, as its job may run on.
func (s *soak) cancel(j *soakJob, n *testkit.JobNode) bool {
	j.mu.Lock()
	j.cancelSent = true
	j.mu.Unlock()
	status, _ := s.cluster.Call(n, http.MethodDelete, standin.Prefix(j.service)+string(j.id), "")
	return status == http.StatusOK || status == http.StatusGone
}

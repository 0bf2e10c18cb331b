package proof_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/testkit"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform/standin"
)

// Parameters of a soak run.
const (
	soakNodes         = 3
	soakCallers       = 3
	soakFaultDuration = 8 * time.Second // how long faults are injected
	// soakVisibilityDelay is how long a node may not know a job after another node accepted it.
	soakVisibilityDelay = 3 * time.Second
	// One job in soakJobsPerCrashJob crashes its workers. The two services have six workers.
	soakJobsPerCrashJob = 60
	// soakParallelism is the number of seeds that run at once.
	soakParallelism = 4
)

// soakSeed is a seed and the failure that it once revealed.
type soakSeed struct {
	seed          uint64
	guardsAgainst string
}

// soakSeeds are the seeds that TestSoak runs by default.
var soakSeeds = []soakSeed{
	{1, "the mixture of faults; it has revealed no failure"},
	{2, "SIGHUP ends a node that is stopping"},
	{108, "a VM is ordered away while its worker runs tasks: on a stale report, with a worker that is not listed yet, with one that has exited"},
	{352, "a new owner lets the runs of a cancelled job continue"},
	{5002, "a VM is ordered away although its worker is no longer tracked; an owner that was paused reports a stale state"},
	{5019, "long-running tasks are down for long while other jobs crash workers"},
	{5046, "the same as seed 5019, with other faults"},
	{7001, "a job that crashes workers is never failed"},
	{9302, "the stand-in's workers answer after they have exited"},
}

// seedsToRun returns soakSeeds, or with YUCCADRIFT_SOAK_SEEDS=N the N seeds from
// YUCCADRIFT_SOAK_FIRST on.
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
		seeds = append(seeds, soakSeed{first + i, "unknown failures"})
	}
	return seeds
}

// TestSoak injects random faults, one after another and at once, during a maintenance wave and
// configuration changes:
//   - nodes are killed, paused, terminated and sent SIGHUP;
//   - links to the store and to the VM service are cut, blackholed, slow or one-way;
//   - the store is unavailable, loses answers or drops its history;
//   - workers crash, by themselves or through a job, are unreachable or answer late;
//   - owners reach workers that their successors can't reach.
//
// Each accepted job must stay known and complete, or fail if it crashes workers. No refused job
// may run, no job may be refused after it was accepted, no job may be reported as completed before all its tasks are done, and no task may run
// twice.
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
	t.Cleanup(s.logPlatformOnFailure)
	var vms []string
	for _, vm := range s.cluster.Platform.VMs() {
		vms = append(vms, vm.ID)
	}
	require.NoError(t, s.cluster.Platform.PublishWave(1, vms, 20*time.Second, 2))
	stop := make(chan struct{})
	// Worker restarts and isolated nodes have generators of their own, so that they don't change
	// the other choices of a seed.
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

// soakJob is a job and what its caller knows about it.
type soakJob struct {
	id          workload.JobID
	service     string
	tasks       int
	longRunning bool
	body        string // of its submission

	mu               sync.Mutex
	crashesWorkers   bool // its task crashes each worker that starts the task
	possiblyAccepted bool // a submission got no answer, or one that leaves open whether the job was accepted
	lastRefused      bool // the last answer to a submission was a refusal
	acceptedAt       time.Time
	cancelSent       bool // a cancel was sent; it may not have been accepted
	shownCompleted   bool // a node reported the job as completed
}

// soak is one run of TestSoak with one seed.
type soak struct {
	t            *testing.T
	cluster      *testkit.JobCluster
	seed         uint64
	faultRand    *rand.Rand
	startedAt    time.Time
	activeFaults sync.WaitGroup

	mu         sync.Mutex
	faulty     map[string]bool // targets with an active fault
	jobs       []*soakJob
	violations []string
}

func (s *soak) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.faultRand.Int64N(int64(high-low)))
}

// recordViolation records an answer about j that no caller may get.
func (s *soak) recordViolation(j *soakJob, what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf("%.2fs job %s: %s", time.Since(s.startedAt).Seconds(), j.id, what))
}

// runCaller submits jobs, checks their states and cancels some until stop is closed.
func (s *soak) runCaller(rng *rand.Rand, caller uint64, stop chan struct{}) {
	var ownJobs []*soakJob
	// Jobs that crash workers have a generator of their own, so that they don't change the other
	// choices of a seed.
	crashRand := rand.New(rand.NewPCG(s.seed, 100+caller))
	repeatRand := rand.New(rand.NewPCG(s.seed, 400+caller)) // for repeated submissions, likewise
	for n := uint64(1); ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.Int64N(int64(150 * time.Millisecond)))):
		}
		j := &soakJob{id: workload.JobID(fmt.Sprintf("%08x%08x", caller, n)), service: []string{"booking", "returns"}[rng.IntN(2)]}
		j.crashesWorkers = crashRand.IntN(soakJobsPerCrashJob) == 0
		s.submit(j, rng)
		s.submitAgain(ownJobs, repeatRand)
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

// submit submits the job to random nodes until one accepts it, at most six times.
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
	j.body = testkit.Body(s.t, spec)
	for range 1 + rng.IntN(6) {
		if s.sendOnce(j, s.cluster.Nodes[rng.IntN(len(s.cluster.Nodes))]) == http.StatusOK {
			return
		}
	}
}

// submitAgain submits one in four jobs once more, whatever became of it.
func (s *soak) submitAgain(jobs []*soakJob, rng *rand.Rand) {
	if len(jobs) > 0 && rng.IntN(4) == 0 {
		s.sendOnce(jobs[rng.IntN(len(jobs))], s.cluster.Nodes[rng.IntN(len(s.cluster.Nodes))])
	}
}

// sendOnce submits a job to a node and records a refusal that contradicts what the caller knows. A node
// without a configuration knows no job and has to refuse all: its refusals say nothing of the job.
func (s *soak) sendOnce(j *soakJob, n *testkit.JobNode) int {
	status, body := s.cluster.Call(n, http.MethodPost, standin.QueuePrefix(j.service)+string(j.id), j.body)
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case status == http.StatusOK:
		if j.acceptedAt.IsZero() {
			j.acceptedAt = time.Now()
		}
	case (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) && strings.Contains(body, "no configuration"):
		return status
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		j.lastRefused = true
		if !j.acceptedAt.IsZero() {
			s.recordViolation(j, "is refused by "+n.Name+" although it was accepted: "+body)
		}
		return status
	default:
		j.possiblyAccepted = true
	}
	j.lastRefused = false
	return status
}

// checkState gets a job's state from a node and records an answer that contradicts what the
// caller knows.
func (s *soak) checkState(j *soakJob, n *testkit.JobNode) {
	askedAt := time.Now()
	status, body := s.cluster.Call(n, http.MethodGet, standin.QueuePrefix(j.service)+string(j.id), "")
	j.mu.Lock()
	defer j.mu.Unlock()
	mustBeKnown := !j.acceptedAt.IsZero() && askedAt.Sub(j.acceptedAt) > soakVisibilityDelay
	switch {
	case status == http.StatusGone && mustBeKnown && !j.cancelSent:
		s.recordViolation(j, "is unknown to "+n.Name+" although it was accepted")
	case status != http.StatusOK:
	case body == stateBody(workload.Completed):
		j.shownCompleted = true
		if done := s.cluster.Platform.DoneTasksOf(j.id); done < j.tasks {
			s.recordViolation(j, fmt.Sprintf("is reported as completed by %s with %d of %d tasks done", n.Name, done, j.tasks))
		}
	case j.shownCompleted && !j.cancelSent:
		s.recordViolation(j, "was reported as completed and is now "+body)
	case body == stateBody(workload.Failed) && j.crashesWorkers:
	case body == stateBody(workload.Cancelled) && !j.cancelSent, body == stateBody(workload.Failed):
		s.recordViolation(j, "has ended without a reason: "+body)
	}
}

func stateBody(state workload.JobState) string { return `{"state":"` + string(state) + `"}` }

// cancel cancels a job and reports whether the node confirmed it. Without a confirmation the job
// may still run, so the caller must retry.
func (s *soak) cancel(j *soakJob, n *testkit.JobNode) bool {
	j.mu.Lock()
	j.cancelSent = true
	j.mu.Unlock()
	status, _ := s.cluster.Call(n, http.MethodDelete, standin.QueuePrefix(j.service)+string(j.id), "")
	return status == http.StatusOK || status == http.StatusGone
}

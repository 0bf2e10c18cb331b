package proof

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/operator"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/settings"
	"github.com/yuccadrift/yuccadrift/internal/standin"
	"github.com/yuccadrift/yuccadrift/internal/testkit"
	"github.com/yuccadrift/yuccadrift/internal/trace"
)

// traceDirVariable is the environment variable that names the directory for the traces of
// TestRecordTraces. It is not set in CI. Recorded traces are committed, and internal/trace replays
// them to compare a new build with an old run.
const traceDirVariable = "YUCCADRIFT_RECORD_TRACES"

// jobSections are the sections of a document that let team proof run jobs.
const jobSections = `[[quota]]
team = "proof"
cores = 256.0
memory_mb = 65536
[jobs]
on_drain = "wait"
urgent_cores = 0.0
lease = "2s"
`

// requestPause is a caller's pause between two requests. It keeps traces small.
const requestPause = 100 * time.Millisecond

// recording is a cluster whose run is recorded.
type recording struct {
	*testkit.Cluster
	t   *testing.T
	vms int
	mu  sync.Mutex
	// requests holds the requests by key. The backend servers' counts are added at the end.
	requests map[string]trace.Request
}

// scenario is a run to record.
type scenario struct {
	name string
	note string
	opts testkit.Options
	run  func(r *recording)
}

var scenarios = []scenario{
	{"conflicting-publish", "two operators publish on the same revision at once", testkit.Options{}, conflictingPublish},
	{"wave-rack-lost", "a rack is lost in the middle of a wave and comes back", testkit.Options{}, waveRackLost},
	{"log-outage", "the log is out in the middle of a wave, a VM fails meanwhile, then nodes rejoin", testkit.Options{}, logOutage},
	{"outage-rejoin", "nobody reaches the platform for 25 s, which stand for hours: 60 leases of 0.4 s; an operator aborts the wave and publishes meanwhile; then all rejoin", testkit.Options{
		Entry: testkit.Settings{"claims.lease": `"400ms"`, "claims.clock_allowance": `"100ms"`},
	}, outageRejoin},
	{"paused-holder", "an entry VM is paused past its lease, evicted, and wakes up", testkit.Options{}, pausedOwner},
	{"lapsed-lease", "all stewards are paused past the leases of two jobs, one of them repeatable", testkit.Options{}, lapsedLease},
	{"cancellation-burst", "most of a burst of jobs is cancelled at once", testkit.Options{}, cancellationBurst},
	{"black-hole-worker", "one worker fails every task at once and is set aside", testkit.Options{}, failingWorker},
	{"retention-gap", "a node is cut off for longer than the log retains", testkit.Options{
		Standin: testkit.Settings{"log.retention_entries": "150"},
	}, retentionGap},
	{"lost-replies", "replies of the log and of VM actions are lost after their effect", testkit.Options{}, lostReplies},
}

// TestRecordTraces records each scenario from real processes. Run it by hand:
//
//	YUCCADRIFT_RECORD_TRACES=$PWD/testdata/traces go test ./internal/proof -run TestRecordTraces
func TestRecordTraces(t *testing.T) {
	dir := os.Getenv(traceDirVariable)
	if dir == "" {
		t.Skipf("records only when %s names a directory", traceDirVariable)
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) { recordScenario(t, dir, s) })
	}
}

func recordScenario(t *testing.T, dir string, s scenario) {
	const vms = 8
	if s.opts.Nodes == nil {
		s.opts.Nodes = []string{"a", "b", "c"}
	}
	s.opts.Fleet = []testkit.Group{{Prefix: "vm", Count: vms, Zones: []string{"a", "b"}, BootSeconds: 0.3}}
	r := &recording{Cluster: testkit.Start(t, s.opts), t: t, vms: vms, requests: map[string]trace.Request{}}
	file := filepath.Join(dir, s.name+".jsonl.gz")
	out, err := os.Create(file)
	require.NoError(t, err)
	defer out.Close()
	rec, err := trace.NewRecorder(r.Standin.Client, settings.DefaultStream, s.note, nil, out)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- rec.Follow(ctx) }()

	r.Publish(testDocument("booking", vms, 4) + jobSections)
	awaitServing(r.Cluster, "booking", vms)
	s.run(r)
	cancel()
	require.NoError(t, <-ended)
	require.NoError(t, rec.RecordEntries(t.Context()))
	require.NoError(t, rec.RecordVMList(t.Context()))
	counters := r.Standin.Counters().Backends.Keys
	for key, q := range r.requests {
		q.Runs, q.Seen = counters[key].Runs, counters[key].Seen
		require.NoError(t, rec.RecordRequest(q))
	}
	_, err = rec.Close()
	require.NoError(t, err)
	replayed, err := os.Open(file)
	require.NoError(t, err)
	defer replayed.Close()
	result, err := trace.Replay(replayed)
	require.NoError(t, err)
	require.Empty(t, result.Differences)
	t.Logf("%s: %d entries, %d VM events, %d requests, %v", s.name, result.Entries, result.VMEvents, result.Requests, result.Statuses)
}

// startLookups sends lookups through all nodes until the returned function is called.
func (r *recording) startLookups() (stop func()) {
	return r.startRequests("/booking/lookup", true)
}

func (r *recording) startRequests(path string, repeatable bool) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for w := range r.Nodes {
		wg.Go(func() {
			for ctx.Err() == nil {
				key := testkit.Key()
				at := time.Now().UTC()
				a := r.Nodes[w].Send(ctx, testkit.Request{Path: path, Key: key, Work: 20 * time.Millisecond})
				if a.Err != nil && ctx.Err() != nil {
					return
				}
				r.mu.Lock()
				r.requests[key] = trace.Request{At: at, Key: key, Service: "booking", Outcome: string(a.Outcome), Repeatable: repeatable}
				r.mu.Unlock()
				time.Sleep(requestPause)
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// startWave starts a maintenance wave over the pool.
func (r *recording) startWave() {
	r.MustCommand("wave", "start", "--name", "w1", "--pools", "booking", "--deadline", "1h")
}

// awaitWave waits until the wave is done.
func (r *recording) awaitWave() {
	r.Until("the wave is done", func() bool { return r.Standin.State().Waves["w1"].Status == ledger.WaveDone })
}

func (r *recording) awaitBack(n int) {
	r.Until(fmt.Sprintf("%d VMs are back", n), func() bool {
		back := 0
		for _, progress := range r.Standin.State().Waves["w1"].VMs {
			if progress == ledger.WaveBack {
				back++
			}
		}
		return back >= n
	})
}

func (r *recording) revision() record.Revision { return r.Standin.State().Services["booking"].Revision }

func conflictingPublish(r *recording) {
	base := strconv.FormatUint(uint64(r.revision()), 10)
	codes := make(chan int, 4)
	for i := range cap(codes) {
		file := r.WriteFile(fmt.Sprintf("rival-%d.toml", i), testDocument("booking", r.vms, 1+i%3))
		go func() { codes <- r.Command("publish", "--based-on", base, file).ExitCode }()
	}
	counts := map[int]int{}
	for range cap(codes) {
		counts[<-codes]++
	}
	require.Equal(r.t, map[int]int{0: 1, 3: 3}, counts, "one publish must be accepted and the others void")
}

func waveRackLost(r *recording) {
	stop := r.startLookups()
	defer stop()
	r.startWave()
	r.awaitBack(2)
	rack := r.Standin.List().VMs[r.vms-1].Rack
	r.Standin.InjectFaults(standin.Fault{Kind: standin.VMCrash, Target: "rack/" + rack})
	r.Until("the rack's VMs are down", func() bool { return r.Standin.State().Unavailability("booking").Short > 2 })
	r.Standin.InjectFaults(standin.Fault{Kind: standin.VMRecover, Target: "rack/" + rack})
	r.awaitWave()
	awaitServing(r.Cluster, "booking", r.vms)
}

func logOutage(r *recording) {
	stop := r.startLookups()
	defer stop()
	r.startWave()
	r.awaitBack(1)
	outage := r.Standin.InjectFaults(standin.Fault{Kind: standin.LogRefuse})
	vm := r.Standin.List().VMs[r.vms-1].ID
	r.Standin.InjectFaults(standin.Fault{Kind: standin.VMCrash, Target: vm})
	time.Sleep(8 * time.Second) // longer than a state counts as current
	r.Standin.ClearFaults(outage...)
	r.Until("the failure is on the log", func() bool { return r.Standin.State().VMs[vm].Down })
	r.Standin.InjectFaults(standin.Fault{Kind: standin.VMRecover, Target: vm})
	r.awaitWave()
	awaitServing(r.Cluster, "booking", r.vms)
}

// outageRejoin cuts all processes off from the platform during a wave, while the operator still
// reaches the log. After the outage the nodes must apply the operator's records before they decide.
func outageRejoin(r *recording) {
	r.Until("three entry VMs are members", func() bool { return len(r.Standin.State().Members) == 3 })
	stop := r.startLookups()
	defer stop()
	book := r.startRequests("/booking/book", false)
	defer book()
	members := r.Standin.State().MemberNames()
	r.startWave()
	r.awaitBack(1)
	for _, n := range r.Nodes {
		n.CutPlatform()
	}
	vm := r.Standin.List().VMs[r.vms-1].ID
	r.Standin.InjectFaults(standin.Fault{Kind: standin.VMCrash, Target: vm})
	time.Sleep(6 * time.Second) // until no state counts as current
	cut := r.Standin.State()
	reboots := r.Standin.Counters().Reboots
	time.Sleep(17 * time.Second)
	r.MustCommand("wave", "abort", "w1")
	r.MustCommand("publish", r.WriteFile("next.toml", testDocument("booking", r.vms, 2)+jobSections))
	tail := r.Standin.State()
	require.Equal(r.t, cut.Offset+2, tail.Offset, "only the operator may have written")
	require.Equal(r.t, reboots, r.Standin.Counters().Reboots)
	time.Sleep(2 * time.Second)
	for _, n := range r.Nodes {
		n.HealPlatform()
	}
	r.Until("the failure is on the log", func() bool { return r.Standin.State().VMs[vm].Down })
	r.Standin.InjectFaults(standin.Fault{Kind: standin.VMRecover, Target: vm})
	awaitServing(r.Cluster, "booking", r.vms)
	for _, n := range r.Nodes {
		r.Until(n.Name+" has rejoined", func() bool { return r.offset(n) > tail.Offset })
	}
	end := r.Standin.State()
	require.Equal(r.t, members, end.MemberNames(), "no member may be evicted")
	require.Equal(r.t, ledger.WaveAborted, end.Waves["w1"].Status)
}

func pausedOwner(r *recording) {
	r.Until("three entry VMs are members", func() bool { return len(r.Standin.State().Members) == 3 })
	stop := r.startRequests("/booking/book", false)
	defer stop()
	r.Nodes[0].Pause()
	r.Until("the paused member is evicted", func() bool { return len(r.Standin.State().Members) == 2 })
	r.Nodes[0].Resume()
	r.Until("the resumed member has joined again", func() bool { return len(r.Standin.State().Members) == 3 })
}

func lostReplies(r *recording) {
	r.Standin.InjectFaults(
		standin.Fault{Kind: standin.LogLoseReply, Count: 20},
		// These appear in the log after their author has appended them again.
		standin.Fault{Kind: standin.LogLate, Skip: 20, Count: 6, DelayMS: 2500},
		standin.Fault{Kind: standin.APILoseReply, Count: 12},
	)
	stop := r.startLookups()
	defer stop()
	r.startWave()
	r.MustCommand("publish", r.WriteFile("next.toml", testDocument("booking", r.vms, 2)))
	r.awaitWave()
}

// submit submits a job that takes runTime.
func (r *recording) submit(name string, runTime time.Duration, flags ...string) {
	// A node's state is needed if the log has been trimmed and there is no snapshot yet.
	args := []string{"--nodes", r.Nodes[1].EntryPeerAddress(), "jobs", "submit", "--service", "booking", "--team", "proof", "--memory-mb", "256", "--run-time", runTime.String()}
	r.MustCommand(append(append(args, flags...), name)...)
}

// forEachJob calls f concurrently for n job names and waits for all calls.
func forEachJob(n int, f func(name string)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { f(fmt.Sprintf("job-%02d", i)) })
	}
	wg.Wait()
}

// awaitJobs waits until every job has ended.
func (r *recording) awaitJobs() {
	r.Until("all jobs have ended", func() bool {
		for _, j := range r.Standin.State().Jobs {
			if !j.Ended() {
				return false
			}
		}
		return true
	})
}

func lapsedLease(r *recording) {
	r.submit("once", time.Minute)
	r.submit("again", 4*time.Second, "--repeatable")
	r.Until("both jobs run", func() bool {
		jobs := r.Standin.State().Jobs
		return jobs["once"].Status == ledger.JobPlaced && jobs["again"].Status == ledger.JobPlaced && len(r.Standin.Counters().JobStarts) == 2
	})
	for _, n := range r.Nodes {
		n.Steward.Pause()
	}
	time.Sleep(4 * time.Second) // twice the lease
	for _, n := range r.Nodes {
		n.Steward.Resume()
	}
	r.awaitJobs()
	starts := r.Standin.Counters().JobStarts
	require.Equal(r.t, 1, starts["once"], "a job that is not repeatable must start once")
}

func cancellationBurst(r *recording) {
	const burst, kept = 24, 4
	forEachJob(burst, func(name string) { r.submit(name, 3*time.Second, "--repeatable") })
	forEachJob(burst-kept, func(name string) { r.MustCommand("jobs", "cancel", "--reason", "burst", name) })
	r.awaitJobs()
}

func failingWorker(r *recording) {
	worker := r.Standin.List().VMs[0].ID
	r.Standin.InjectFaults(standin.Fault{Kind: standin.WorkerFails, Target: worker})
	// The jobs of one burst may have failed for one common reason, so several bursts are needed to
	// quarantine a worker. Each job occupies a whole worker, so that the suspected worker is used too.
	burst := 0
	r.Until("the worker is quarantined", func() bool {
		burst++
		forEachJob(10, func(name string) {
			r.submit(fmt.Sprintf("%s-%d", name, burst), 500*time.Millisecond, "--repeatable", "--cores", "30")
		})
		time.Sleep(time.Second)
		return r.Standin.State().VMs[worker].Quarantined
	})
	r.awaitJobs()
}

// retentionGap cuts one entry process off from the log while others append more entries than are
// retained. When it reaches the log again, it must continue from a snapshot or a peer's state.
func retentionGap(r *recording) {
	const jobs = 70 // three records each
	r.Until("three entry VMs are members", func() bool { return len(r.Standin.State().Members) == 3 })
	n := r.Nodes[0]
	n.EntryPlatform.Cut()
	before := r.offset(n)
	forEachJob(jobs, func(name string) { r.submit(name, 100*time.Millisecond, "--repeatable") })
	r.Until("the entries that the node has not read are trimmed", func() bool {
		batch, _ := r.Standin.Client.Read(r.t.Context(), settings.DefaultStream, 1, 1, 0)
		return uint64(batch.First) > before+1
	})
	n.EntryPlatform.Heal()
	r.Until("the node has caught up", func() bool { return r.offset(n) >= r.offset(r.Nodes[1]) })
}

// offset returns the offset up to which an entry has applied the log.
func (r *recording) offset(n *testkit.Node) uint64 {
	client, err := operator.NewClient(n.EntryPeerAddress())
	require.NoError(r.t, err)
	defer client.Close()
	status, err := client.Status(r.t.Context())
	require.NoError(r.t, err)
	return status.Offset
}

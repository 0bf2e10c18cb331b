package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/placement"
	"github.com/yuccadrift/yuccadrift/internal/record"

	"github.com/yuccadrift/yuccadrift/internal/testkit/randomcheck"
)

func TestMain(m *testing.M) { randomcheck.Main(m, 20260301, 0) }

var now = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func size(cores, memoryMB int) ledger.Resources {
	return ledger.Resources{MilliCores: cores * 1000, MemoryMB: memoryMB}
}

// newPool returns a pool of equal workers, and one team "a" with a quota for
// all of it.
func newPool(workers, cores, memoryMB int) *placement.Pool {
	p := &placement.Pool{Name: "p", Admitted: []ledger.Resources{size(cores, memoryMB)}}
	for i := range workers {
		p.Workers = append(p.Workers, placement.Worker{
			ID:       fmt.Sprintf("w%02d", i),
			Capacity: size(cores, memoryMB),
			Free:     size(cores, memoryMB),
			Slots:    8,
		})
	}
	p.Teams = map[string]placement.Quota{"a": {Limit: size(workers*cores, workers*memoryMB)}}
	p.Prepare()
	return p
}

func newJob(id string, cores, memoryMB int) placement.Job {
	s := size(cores, memoryMB)
	return placement.Job{ID: id, Team: "a", Want: s, Declared: s, Repeatable: true, Submitted: now, Queued: now, RunTime: time.Hour}
}

// addRunning adds a running job to worker i.
func addRunning(p *placement.Pool, i int, id string, cores int, change func(*placement.Running)) {
	r := placement.Running{Job: id, Team: "a", Reserved: size(cores, 1), FullMilliCores: cores * 1000, Started: now.Add(-time.Hour)}
	if change != nil {
		change(&r)
	}
	w := &p.Workers[i]
	w.Running = append(w.Running, r)
	w.Free = w.Free.Add(r.Reserved, -1)
	w.Slots--
	p.Prepare()
}

func TestUnplaceableJobHasAReason(t *testing.T) {
	p := newPool(2, 32, 65536)
	p.Teams["b"] = placement.Quota{Limit: size(4, 65536)}
	for want, change := range map[string]func(*placement.Job){
		"more than any worker": func(j *placement.Job) { j.Declared = size(33, 1) },
		"whole quota":          func(j *placement.Job) { j.Team = "b" },
		"has no quota":         func(j *placement.Job) { j.Team = "c" },
	} {
		j := newJob("j", 8, 1)
		change(&j)
		r := placement.Plan(p, []placement.Job{j}, placement.Policy{}, now)
		require.Len(t, r.Decisions, 1)
		assert.Equal(t, placement.Unplaceable, r.Decisions[0].Kind)
		assert.Contains(t, r.Decisions[0].Reason, want)
	}
}

func TestExplainStatesWhatAJobWaitsFor(t *testing.T) {
	p := newPool(3, 32, 65536)
	addRunning(p, 0, "x", 30, nil)
	p.Workers[1].Standing = placement.Excluded
	p.UrgentReserve, p.UrgentJobSize = 32000, size(32, 1)
	p.Prepare()
	j := newJob("j", 8, 1)
	assert.Empty(t, placement.Plan(p, []placement.Job{j}, placement.Policy{}, now).Decisions)
	assert.Equal(t, "waits for room (8 cores, 1 MB): of 3 workers 1 set aside, 1 without the cores, "+
		"1 with room that is held back for urgent work", p.Explain(&j, placement.Policy{}))
}

func TestUrgentJobUsesTheUrgentReserveAndOthersDoNot(t *testing.T) {
	p := newPool(2, 32, 65536)
	p.UrgentReserve, p.UrgentJobSize = 32000, size(16, 1)
	p.Prepare()
	urgent := newJob("u", 16, 1)
	urgent.Urgent = true
	r := placement.Plan(p, []placement.Job{newJob("a", 16, 1), newJob("b", 16, 1), newJob("c", 16, 1), urgent}, placement.Policy{}, now)
	var placed []string
	for _, d := range r.Decisions {
		placed = append(placed, d.Job)
	}
	assert.Equal(t, []string{"u", "a"}, placed)
}

func TestUrgentJobPreemptsFewestJobsWithLeastProgress(t *testing.T) {
	checkpointable := func(ran time.Duration) func(*placement.Running) {
		return func(r *placement.Running) { r.Checkpointable, r.Repeatable, r.Started = true, true, now.Add(-ran) }
	}
	p := newPool(3, 32, 65536)
	addRunning(p, 0, "old", 30, checkpointable(time.Hour))
	addRunning(p, 1, "young", 30, checkpointable(time.Minute))
	addRunning(p, 2, "half-1", 15, checkpointable(time.Second))
	addRunning(p, 2, "half-2", 15, checkpointable(time.Second))
	urgent := newJob("u", 30, 1)
	urgent.Urgent = true
	r := placement.Plan(p, []placement.Job{urgent, newJob("later", 8, 1)}, placement.Policy{}, now)
	assert.Equal(t, []placement.Preemption{{Victim: "young", Worker: "w01", Action: record.PreemptCheckpoint, For: "u"}}, r.Preemptions)
	assert.Empty(t, r.Decisions, "the capacity that is being freed must not be given to other jobs")
}

// The team's quota is used up by its own long jobs, while workers have free
// capacity: the urgent job must preempt one of them instead of waiting for
// quota that its own team holds. Preempting another team's jobs would not help.
func TestUrgentJobPreemptsItsOwnTeamForQuota(t *testing.T) {
	p := newPool(2, 32, 65536)
	p.Teams["a"] = placement.Quota{Limit: size(16, 1<<20), Used: size(16, 2)}
	p.Teams["b"] = placement.Quota{Limit: size(64, 1<<20), Used: size(20, 1)}
	addRunning(p, 0, "theirs", 20, func(r *placement.Running) { r.Team, r.Checkpointable = "b", true })
	addRunning(p, 1, "own", 16, func(r *placement.Running) { r.Checkpointable = true })
	urgent := newJob("u", 8, 1)
	urgent.Urgent = true
	r := placement.Plan(p, []placement.Job{urgent}, placement.Policy{}, now)
	require.Len(t, r.Preemptions, 1)
	assert.Equal(t, "own", r.Preemptions[0].Victim)
}

func TestUrgentJobThrottlesWorkThatCannotBeCheckpointed(t *testing.T) {
	p := newPool(1, 32, 65536)
	addRunning(p, 0, "long", 32, nil)
	urgent := newJob("u", 20, 1)
	urgent.Urgent = true
	r := placement.Plan(p, []placement.Job{urgent}, placement.Policy{}, now)
	assert.Equal(t, []placement.Preemption{{Victim: "long", Worker: "w00", Action: record.PreemptThrottle, MilliCores: 8000, For: "u"}}, r.Preemptions)

	p = newPool(1, 32, 65536)
	addRunning(p, 0, "long", 8, func(r *placement.Running) { r.FullMilliCores = 32000 })
	r = placement.Plan(p, nil, placement.Policy{}, now)
	assert.Equal(t, []placement.Preemption{{Victim: "long", Worker: "w00", Action: record.PreemptRestore, MilliCores: 32000}}, r.Preemptions)
}

// A large job waits while small jobs take all capacity that is freed. After
// StarvingAfter one worker must be reserved for it, and small jobs are placed
// elsewhere.
func TestLargeJobIsNotStarvedBySmallOnes(t *testing.T) {
	p := newPool(2, 32, 65536)
	addRunning(p, 0, "x", 4, func(r *placement.Running) { r.ExpectedEnd = now.Add(time.Minute) })
	addRunning(p, 1, "y", 4, func(r *placement.Running) { r.ExpectedEnd = now.Add(time.Hour) })
	large := newJob("large", 32, 1)
	large.Queued = now.Add(-placement.StarvingAfter)
	r := placement.Plan(p, []placement.Job{large, newJob("small", 4, 1)}, placement.Policy{}, now)
	require.Len(t, r.Decisions, 1)
	assert.Equal(t, "w01", r.Decisions[0].Worker)
}

func TestTeamsAreQueuedByTheirShareOfQuota(t *testing.T) {
	p := newPool(1, 4, 65536)
	p.Teams["b"] = placement.Quota{Limit: size(4, 65536)}
	var queue []placement.Job
	for i := range 4 {
		queue = append(queue, newJob(fmt.Sprintf("a%d", i), 1, 1))
	}
	for i := range 2 {
		j := newJob(fmt.Sprintf("b%d", i), 1, 1)
		j.Team, j.Submitted = "b", now.Add(time.Second)
		queue = append(queue, j)
	}
	var placed []string
	for _, d := range placement.Plan(p, queue, placement.Policy{}, now).Decisions {
		placed = append(placed, d.Job)
	}
	assert.Equal(t, []string{"a0", "b0", "a1", "b1"}, placed)
}

func TestDoubtfulWorkerGetsOneRepeatableJobAtATime(t *testing.T) {
	p := newPool(1, 32, 65536)
	p.Workers[0].Standing = placement.Doubtful
	notRepeatable := newJob("a-once", 1, 1)
	notRepeatable.Repeatable = false
	r := placement.Plan(p, []placement.Job{notRepeatable, newJob("b", 1, 1), newJob("c", 1, 1)}, placement.Policy{}, now)
	require.Len(t, r.Decisions, 1)
	assert.Equal(t, "b", r.Decisions[0].Job)
}

// For any snapshot and queue: no worker, slot or quota is exceeded, other jobs
// do not take the urgent reserve, and a job waits only if it fits no worker.
func TestPlanKeepsEveryLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, queue := randomPool(t)
		pol := placement.Policy{Rank: placement.Rank(rapid.IntRange(0, 2).Draw(t, "rank")), NoPreempt: true}
		before := usableByUrgent(p)
		for i := range queue {
			queue[i].Urgent = queue[i].Urgent && p.UrgentReserve == 0
		}
		round := placement.Plan(p, queue, pol, now)
		require.GreaterOrEqual(t, usableByUrgent(p), min(before, p.UrgentReserve), "other jobs took the urgent reserve")
		for _, w := range p.Workers {
			require.True(t, ledger.Resources{}.Within(w.Free), "worker %s is over its capacity: %+v", w.ID, w.Free)
			require.GreaterOrEqual(t, w.Slots, 0)
		}
		for team, q := range p.Teams {
			require.True(t, q.Used.Within(q.Limit), "team %s holds %+v of %+v", team, q.Used, q.Limit)
		}
		decided := map[string]bool{}
		for _, d := range round.Decisions {
			decided[d.Job] = true
		}
		for i := range queue {
			if !decided[queue[i].ID] && len(round.Decisions) < 64 {
				require.NotEqual(t, "is about to be placed", p.Explain(&queue[i], pol), queue[i].ID)
			}
		}
	})
}

// usableByUrgent returns the free capacity for urgent jobs of the size
// UrgentJobSize, in millicores.
func usableByUrgent(p *placement.Pool) int {
	n := 0
	for _, w := range p.Workers {
		if w.Standing == placement.Open {
			n += max(0, min(w.Slots, w.Free.MilliCores/p.UrgentJobSize.MilliCores, w.Free.MemoryMB/p.UrgentJobSize.MemoryMB))
		}
	}
	return n * p.UrgentJobSize.MilliCores
}

func randomPool(t *rapid.T) (*placement.Pool, []placement.Job) {
	p := newPool(rapid.IntRange(1, 6).Draw(t, "workers"), 16, 4096)
	p.Teams["b"] = placement.Quota{Limit: size(rapid.IntRange(1, 40).Draw(t, "quota"), 1<<20)}
	for i := range p.Workers {
		p.Workers[i].Standing = placement.Standing(rapid.SampledFrom([]int{0, 0, 0, 1, 2, 3}).Draw(t, "standing"))
		for k := range rapid.IntRange(0, 3).Draw(t, "running") {
			addRunning(p, i, fmt.Sprintf("r%d-%d", i, k), rapid.IntRange(1, 5).Draw(t, "cores"), nil)
		}
	}
	p.UrgentReserve = 1000 * rapid.SampledFrom([]int{0, 4, 16, 32}).Draw(t, "hold")
	p.UrgentJobSize = size(rapid.IntRange(1, 16).Draw(t, "piece"), 64)
	p.Prepare()
	var queue []placement.Job
	for i := range rapid.IntRange(0, 30).Draw(t, "queue") {
		j := newJob(fmt.Sprintf("j%02d", i), rapid.IntRange(1, 16).Draw(t, "cores"), rapid.IntRange(1, 4096).Draw(t, "memory"))
		j.Team = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team")
		j.Urgent = rapid.Bool().Draw(t, "urgent")
		j.Repeatable = rapid.Bool().Draw(t, "repeatable")
		j.Queued = now.Add(-time.Duration(rapid.IntRange(0, 20).Draw(t, "waited")) * time.Minute)
		queue = append(queue, j)
	}
	return p, queue
}

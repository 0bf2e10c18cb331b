package workshare

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// job is a job of a model service that runs one job of work on each group of cores.
type job struct {
	workspace string
	work      float64
	arrived   int // tick
}

// service is a model of a service with free cores in ticks of 10 ms. It starts the waiting jobs by turn,
// then by work; by work alone if division is nil.
type service struct {
	cores    float64
	division *Division
	weights  map[string]float64
	waiting  []job
	endsAt   map[int]float64 // cores that are freed, by tick
	free     float64
	started  map[string]float64 // work
	delays   map[string][]float64
}

const (
	jobCores     = 8.0
	ticksPerSec  = 100
	ticksPerRank = 10
)

func newService(cores float64, fair bool, weights map[string]float64) *service {
	s := &service{cores: cores, free: cores, weights: weights, endsAt: map[int]float64{}, started: map[string]float64{}, delays: map[string][]float64{}}
	if fair {
		s.division = &Division{}
	}
	return s
}

func (s *service) submit(j job) {
	s.waiting = append(s.waiting, j)
	if s.division != nil {
		s.division.Arrive(j.workspace, s.weights[j.workspace], j.work)
	}
}

func (s *service) tick(now int) {
	s.free += s.endsAt[now]
	delete(s.endsAt, now)
	if now%ticksPerRank == 0 {
		s.rank(now)
	}
	for len(s.waiting) > 0 && s.free >= jobCores {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.free -= jobCores
		s.endsAt[now+max(1, int(j.work/jobCores*ticksPerSec))] += jobCores
		s.started[j.workspace] += j.work
		s.delays[j.workspace] = append(s.delays[j.workspace], float64(now-j.arrived)/ticksPerSec)
		if s.division != nil {
			s.division.Charge(j.workspace, s.weights[j.workspace], j.work)
		}
	}
}

func (s *service) rank(tick int) {
	now := time.UnixMilli(int64(tick) * 1000 / ticksPerSec)
	slices.SortStableFunc(s.waiting, func(a, b job) int { return int(math.Copysign(1, a.work-b.work)) })
	if s.division == nil {
		return
	}
	if float64(len(s.waiting))*jobCores <= s.free {
		s.division.Reset(now)
		return
	}
	waiting := map[string]bool{}
	for _, j := range s.waiting {
		waiting[j.workspace] = true
	}
	var demands []Demand
	for name := range waiting {
		demands = append(demands, Demand{Workspace: name, Weight: s.weights[name]})
	}
	s.division.Begin(demands, s.cores, now)
	turns := make(map[job]int, len(s.waiting))
	order := make([]int, len(s.waiting))
	for i, j := range s.waiting {
		order[i] = s.division.Turn(j.workspace, s.weights[j.workspace], j.work)
		turns[j] = order[i]
	}
	slices.SortStableFunc(s.waiting, func(a, b job) int { return turns[a] - turns[b] })
}

// inTime returns the share of a workspace's jobs that start within half a second.
func (s *service) inTime(workspace string) float64 {
	n := 0
	for _, d := range s.delays[workspace] {
		if d <= 0.5 {
			n++
		}
	}
	return float64(n) / float64(len(s.delays[workspace]))
}

// runHot plays 20 s of 20 workspaces that together use 0.8 of the service. The first sends factor times
// its usual.
func runHot(seed uint64, fair bool, factor float64) *service {
	weights := map[string]float64{}
	for i := range 20 {
		weights[strconv.Itoa(i)] = 1 + float64(i%4)
	}
	s := newService(400, fair, weights)
	rng := rand.New(rand.NewPCG(seed, 3))
	for now := range 20 * ticksPerSec {
		for i := range 20 {
			name := strconv.Itoa(i)
			rate := weights[name] * 0.8 * s.cores / jobCores / 50 / ticksPerSec
			if i == 0 {
				rate *= factor
			}
			for ; rate > 0; rate-- {
				if rng.Float64() < rate {
					s.submit(job{name, jobCores * (0.3 + 1.4*rng.Float64()), now})
				}
			}
		}
		s.tick(now)
	}
	return s
}

// One workspace sends seven and more times its usual beside 19 quiet ones. The quiet ones lose no more
// than 0.02 of their jobs in time.
func TestHotWorkspaceBesideQuietOnes(t *testing.T) {
	for seed := range uint64(3) {
		quiet := func(s *service) float64 {
			sum := 0.0
			for i := 1; i < 20; i++ {
				sum += s.inTime(strconv.Itoa(i))
			}
			return sum / 19
		}
		usual, fair, unfair := quiet(runHot(seed, true, 1)), quiet(runHot(seed, true, 30)), quiet(runHot(seed, false, 30))
		t.Logf("seed %d: quiet workspaces in time %.3f, beside a hot one %.3f, by work alone %.3f", seed, usual, fair, unfair)
		assert.GreaterOrEqual(t, fair, usual-0.02, "seed %d", seed)
	}
}

// Two large rivals each ask for twice the service. Over any 5 s each has its weight's share within a tenth.
func TestRivalsAtTwiceTheRoomGetTheirWeights(t *testing.T) {
	weights := map[string]float64{"a": 3, "b": 1}
	s := newService(400, true, weights)
	rng := rand.New(rand.NewPCG(1, 1))
	var startedA, startedB []float64
	for now := range 30 * ticksPerSec {
		for _, name := range []string{"a", "b"} {
			s.submit(job{name, jobCores * (0.3 + 1.4*rng.Float64()), now})
		}
		s.tick(now)
		startedA, startedB = append(startedA, s.started["a"]), append(startedB, s.started["b"])
	}
	const window = 5 * ticksPerSec
	for from := ticksPerSec; from+window < len(startedA); from++ {
		a, b := startedA[from+window]-startedA[from], startedB[from+window]-startedB[from]
		assert.InDelta(t, 0.75, a/(a+b), 0.025, "from %d", from)
	}
}

var start = time.UnixMilli(1_700_000_000_000)

// A workspace alone uses the whole service. When another one comes it goes on at level, also with much more
// work: of what is freed the other gets its share, and not all for what it left unused before.
func TestBorrowedRoomComesBack(t *testing.T) {
	var d Division
	for i := range 100 {
		d.Arrive("busy", 1, 10)
		d.Charge("busy", 1, 10)
		d.Begin([]Demand{{Workspace: "busy", Weight: 1}}, 100, start.Add(time.Duration(i)*100*time.Millisecond))
	}
	d.Arrive("quiet", 1, 10)
	d.Begin([]Demand{{Workspace: "busy", Weight: 1}, {Workspace: "quiet", Weight: 1}}, 100, start.Add(10*time.Second))
	assert.Equal(t, []int{0, 0, 0, 1, 1}, []int{d.Turn("quiet", 1, 10), d.Turn("quiet", 1, 10), d.Turn("busy", 1, 25), d.Turn("busy", 1, 10), d.Turn("busy", 1, 10)})
}

// Guards against a workspace that waits for something else, such as its cap, and makes the others wait for it.
func TestBlockedWorkspaceHoldsNobodyUp(t *testing.T) {
	var d Division
	for i := range 100 {
		d.Arrive("busy", 1, 50)
		d.Begin([]Demand{{Workspace: "blocked", Weight: 1, Blocked: true}, {Workspace: "busy", Weight: 1}}, 100, start.Add(time.Duration(i)*100*time.Millisecond))
		assert.Zero(t, d.Turn("busy", 1, 5), "round %d", i)
		d.Charge("busy", 1, 5)
	}
}

// leadOf returns how far a workspace is ahead of the others.
func leadOf(t *testing.T, d *Division, workspace string) time.Duration {
	for _, s := range d.Shares() {
		if s.Workspace == workspace {
			return s.Lead
		}
	}
	t.Fatalf("%s has no share", workspace)
	return 0
}

// Guards against a workspace that waits for something else, such as its cap, and then takes much of the
// service for the time that it has waited.
func TestBlockedWorkspaceSavesUpNothing(t *testing.T) {
	var d Division
	demands := []Demand{{Workspace: "blocked", Weight: 1, Blocked: true}, {Workspace: "quiet", Weight: 1}}
	round := func(i int) {
		d.Arrive("blocked", 1, 50)
		d.Arrive("quiet", 1, 5)
		d.Begin(demands, 100, start.Add(time.Duration(i)*100*time.Millisecond))
	}
	for i := range 100 {
		round(i)
		d.Charge("quiet", 1, 5)
	}
	demands[0].Blocked = false
	round(100)
	assert.GreaterOrEqual(t, leadOf(t, &d, "blocked"), -turnDuration, "no more than the others had since the last round")
	assert.Equal(t, []int{0, 1, 2}, []int{d.Turn("blocked", 1, 35), d.Turn("blocked", 1, 25), d.Turn("blocked", 1, 25)})
}

// Guards against estimates that are taken back after a time in which the service wasn't full and nobody paid:
// a workspace with estimates that are too high would begin seconds ahead, one with low estimates behind.
func TestForgottenChargesAreNotSettled(t *testing.T) {
	demands := []Demand{{Workspace: "a", Weight: 1}, {Workspace: "b", Weight: 1}}
	for _, isForgotten := range []bool{false, true} {
		var d Division
		d.Begin(demands, 100, start)
		high, low := d.Charge("a", 1, 100), d.Charge("b", 1, 10)
		if isForgotten {
			d.Reset(start)
		}
		d.Settle("a", 1, high, 10)
		d.Settle("b", 1, low, 100)
		d.Begin(demands, 100, start)
		ahead := leadOf(t, &d, "b") - leadOf(t, &d, "a")
		if isForgotten {
			assert.Zero(t, ahead)
		} else {
			assert.InDelta(t, 1.8, ahead.Seconds(), 0.001, "90 core-seconds of two workspaces that share 100 cores")
		}
	}
	var d Division
	assert.Equal(t, Charge{}, d.Charge("none", 0, 10))
	d.Settle("none", 0, Charge{}, 10)
	d.Settle("a", 1, Charge{}, 10)
	assert.Empty(t, d.Shares(), "a run that wasn't charged")
}

// Guards against a small workspace that pays for one large job with many seconds without any.
func TestLargeJobOfASmallWorkspaceIsForgiven(t *testing.T) {
	var d Division
	demands := []Demand{{Workspace: "small", Weight: 0.1}, {Workspace: "large", Weight: 10}}
	for range 30 {
		d.Arrive("small", 0.1, 1000)
		d.Arrive("large", 10, 10)
	}
	d.Begin(demands, 100, start)
	d.Charge("small", 0.1, 1000)
	d.Begin(demands, 100, start)
	turn := d.Turn("small", 0.1, 10)
	assert.Positive(t, turn)
	assert.LessOrEqual(t, turn, int(maxLead/turnDuration))
}

// Guards against small workspaces that wait because their few jobs came together by chance.
func TestFewJobsAreNoExcess(t *testing.T) {
	var d Division
	for range 100 {
		d.Arrive("large", 50, 10)
	}
	for range 1 + excessJobs {
		d.Arrive("small", 1, 10)
	}
	d.Begin([]Demand{{Workspace: "large", Weight: 50}, {Workspace: "small", Weight: 1}}, 100, start)
	for range 1 + excessJobs {
		assert.Zero(t, d.Turn("small", 1, 10))
	}
}

// The state of a successor is empty: all workspaces start level, and the order within a turn stands.
func TestSuccessorStartsLevel(t *testing.T) {
	var d Division
	assert.Zero(t, d.Turn("a", 1, 10), "nobody waits")
	d.Begin([]Demand{{Workspace: "a", Weight: 1}, {Workspace: "none"}}, 100, start)
	assert.False(t, d.IsContended(), "one workspace alone keeps its own order")
	d.Begin([]Demand{{Workspace: "a", Weight: 1}, {Workspace: "b", Weight: 1}}, 100, start)
	assert.Equal(t, []int{0, 0, 0}, []int{d.Turn("a", 1, 1), d.Turn("b", 1, 1), d.Turn("none", 0, 1)})
	assert.Len(t, d.Shares(), 2)
	d.Reset(start)
	assert.Empty(t, d.Shares())
}

func BenchmarkRound640Workspaces(b *testing.B) {
	var d Division
	demands := make([]Demand, 640)
	for i := range demands {
		demands[i] = Demand{Workspace: strconv.Itoa(i), Weight: 1 + float64(i%7)}
	}
	for b.Loop() {
		d.Begin(demands, 4000, start)
		for _, w := range demands {
			d.Arrive(w.Workspace, w.Weight, 10)
			d.Turn(w.Workspace, w.Weight, 10)
			d.Charge(w.Workspace, w.Weight, 10)
		}
	}
}

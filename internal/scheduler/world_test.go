package scheduler_test

import (
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// epochStart is when each history begins.
var epochStart = time.UnixMilli(1_700_000_000_000)

// event is something that happens at a time of a history.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// world is one history in virtual time: workers, a store, owners that follow one
// another, and faults. It checks the promises from what workers and the store
// see, never from what an owner believes.
type world struct {
	now    time.Time
	rng    *rand.Rand
	queue  events
	seq    int
	faults faults
	quiet  bool // no more faults

	store   *fakeStore
	workers map[string]*fakeWorker
	listed  []workload.Worker // the registry
	owner   *fakeOwner
	owners  []*fakeOwner // all that there were
	epoch   int64
	jobs    map[workload.JobID]*fakeJob
	broken  []string
	nextID  int
	starts  int
	// unguarded is set where workers start what exceeds their room.
	unguarded bool
	// crashers are the tasks that crash each worker that starts them, by name.
	crashers map[string]bool
	// restarts is set where a worker that crashes under a task comes back under its ID, and
	// silentCrashes where its VM is lost with it.
	restarts, silentCrashes bool
	// lostRuns counts the runs of others that were lost in such crashes.
	lostRuns int
	// joins is set where an owner that was replaced learns so from the group.
	joins bool
	// reached is the chance that an owner reaches the node of the one before, and told how
	// often one has told what it left.
	reached float64
	told    int
	// processor is that of each owner's node, nil where it costs no time.
	processor *processor
}

// faults are the chances of what goes wrong, each between 0 and 1.
type faults struct {
	lostAnswer float64 // an order is carried out and its answer is lost
	lateOrder  float64 // an order has no answer and is carried out seconds later
	failedTask float64
	storeLost  float64 // a write is done and its answer is lost
}

// fakeJob is what the caller knows.
type fakeJob struct {
	id          workload.JobID
	sub         *workload.Submission
	cancelled   time.Time // when the cancel was stored
	done        map[string]bool
	noted       map[string]bool // ends that were acknowledged
	doneRuns    map[string][]int64
	again       map[string]bool // runs that ended as done before another start
	failed      map[string]int
	crashes     map[string]int       // of workers under a task
	died        map[string]int       // workers under a task, for whatever cause
	early       map[string]int       // those that died soon after its start
	startsAfter map[string]int       // starts after three of these
	ordered     map[string]bool      // lasting tasks that were stopped and are not back
	lastSeen    map[string]time.Time // when a lasting task was last known to run
	givenUp     bool                 // by an owner, as its task crashes workers
	shown       workload.State
	shownAt     time.Time // when that changed last
}

func newWorld(seed uint64, f faults) *world {
	return &world{
		now:     epochStart,
		rng:     rand.New(rand.NewPCG(seed, 7)),
		faults:  f,
		store:   &fakeStore{values: map[string][]byte{}},
		workers: map[string]*fakeWorker{},
		jobs:    map[workload.JobID]*fakeJob{},

		crashers: map[string]bool{},
	}
}

// workerIDs are the IDs of all workers that there were, sorted.
func (w *world) workerIDs() []string {
	return slices.Sorted(maps.Keys(w.workers))
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now.Add(d), seq: w.seq, do: do})
}

// run plays until a time.
func (w *world) run(until time.Duration) {
	end := epochStart.Add(until)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

func (w *world) chance(p float64) bool { return !w.quiet && w.rng.Float64() < p }

// between draws a duration.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)+1))
}

func (w *world) breaks(rule, what string) {
	w.broken = append(w.broken, rule+" at "+w.now.Sub(epochStart).String()+": "+what)
}

// fakeStore keeps the newest record of each key and refuses fenced writers.
type fakeStore struct {
	keys   []string // in the order of their first record
	values map[string][]byte
	log    []string // keys of all records, in order
	epoch  int64
	last   int64 // sequence of the epoch's last write
	down   bool
}

func (s *fakeStore) put(r workload.Record) {
	key, value, err := r.Encode()
	if err != nil {
		panic(err)
	}
	if _, ok := s.values[key]; !ok {
		s.keys = append(s.keys, key)
	}
	s.values[key] = value
	s.log = append(s.log, key)
}

// fence puts an epoch in force.
func (s *fakeStore) fence(epoch int64) bool {
	if s.down || epoch < s.epoch {
		return false
	}
	s.epoch, s.last = epoch, 0
	return true
}

func (s *fakeStore) records() []workload.Record {
	var out []workload.Record
	for _, key := range s.keys {
		r, ok, err := workload.DecodeRecord(key, s.values[key])
		if err != nil {
			panic(err)
		}
		if ok {
			out = append(out, r)
		}
	}
	return out
}

// submit stores a job, as a node does before it tells the caller.
func (w *world) submit(spec workload.Spec, queue string) *fakeJob {
	w.nextID++
	id := workload.JobID([]byte("0000000000000000"))
	digits := []byte(id)
	for i, n := 15, w.nextID; n > 0; i, n = i-1, n/10 {
		digits[i] = byte('0' + n%10)
	}
	id = workload.JobID(digits)
	sub := &workload.Submission{Queue: queue, Service: "service", AcceptedMS: w.now.UnixMilli(), Spec: spec}
	j := &fakeJob{id: id, sub: sub, done: map[string]bool{}, noted: map[string]bool{}, doneRuns: map[string][]int64{}, again: map[string]bool{}, failed: map[string]int{}, crashes: map[string]int{}, died: map[string]int{}, early: map[string]int{}, startsAfter: map[string]int{}, ordered: map[string]bool{}, lastSeen: map[string]time.Time{}}
	w.jobs[id] = j
	w.stored(workload.Record{Job: id, Submission: sub})
	return j
}

func (w *world) cancel(j *fakeJob) {
	if j.cancelled.IsZero() {
		j.cancelled = w.now
		w.stored(workload.Record{Job: j.id, Cancel: true})
	}
}

// stored stores a record of a caller's and tells all owners that live, as each
// follows the log.
func (w *world) stored(r workload.Record) {
	w.store.put(r)
	for _, o := range w.owners {
		w.after(w.between(time.Millisecond, 20*time.Millisecond), func() { o.follow(r) })
	}
}

// look reads what callers are shown.
func (w *world) look() {
	if w.owner == nil || !w.owner.loaded {
		return
	}
	for _, j := range w.jobs {
		state, known := w.owner.core.State(j.id)
		if !known {
			continue
		}
		if state == workload.Completed && j.shown != workload.Completed {
			for o := range j.sub.Spec.Occurrences() {
				for s := range j.sub.Spec.Steps {
					for i := range j.sub.Spec.Steps[s].Count {
						key := workload.TaskKey{Job: j.id, Occurrence: o, Step: s, Index: i}.String()
						if !j.done[key] {
							w.breaks("MIXED", key+" is not done, its job is shown as completed")
						}
					}
				}
			}
		}
		if j.shown.Ended() && state != j.shown {
			w.breaks("MIXED", string(j.id)+" was "+string(j.shown)+" and is "+string(state))
		}
		if state != j.shown {
			j.shownAt = w.now
		}
		j.shown = state
	}
}

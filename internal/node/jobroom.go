package node

import (
	"runtime"
	"runtime/metrics"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/yuccadrift/yuccadrift/internal/membudget"
	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

const (
	// jobStepBytes is what an owner keeps of a step of each open occurrence until its job is forgotten, at least, and
	// jobTaskBytes of each task that waits.
	jobStepBytes = 800
	jobTaskBytes = 9
	// jobMemoryNumerator/jobMemoryDenominator of the memory are for the node's own state, most of which are
	// jobs. With what clients may take, a quarter is left.
	jobMemoryNumerator, jobMemoryDenominator = 3, 8
	// measureInterval is the shortest time between collections that only measure the memory.
	measureInterval = time.Second
)

// jobRoom decides whether an owner on this node has memory for another job.
type jobRoom struct {
	state   *membudget.State
	clients *membudget.Budget
	refused prometheus.Counter

	mu          sync.Mutex
	cycle       uint64 // of the collector, at which kept was measured
	kept        int    // live memory without that of clients
	collectedAt time.Time
}

func newJobRoom(megabytes int, clients *membudget.Budget, r prometheus.Registerer) *jobRoom {
	refused := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "yuccadrift_jobs_without_memory_total",
		Help: "Jobs that were refused since their owner's node had no memory for them.",
	})
	r.MustRegister(refused)
	return &jobRoom{state: membudget.NewState(megabytes << 20 / jobMemoryDenominator * jobMemoryNumerator), clients: clients, refused: refused}
}

// admit returns an error if there is no memory for the job that a record hands in.
func (j *jobRoom) admit(r workload.Record) error {
	if r.Submission == nil {
		return nil
	}
	bytes := jobBytes(&r.Submission.Spec, time.Now())
	if j.state.Admit(bytes, j.measure(false), time.Now()) || j.state.Admit(bytes, j.measure(true), time.Now()) {
		return nil
	}
	j.refused.Inc()
	return membudget.ErrNoRoom
}

// jobBytes returns what an owner keeps of a job as soon as it is accepted.
func jobBytes(spec *workload.Spec, now time.Time) int {
	bytes := 0
	for i := range spec.Steps {
		bytes += jobStepBytes + jobTaskBytes*spec.Steps[i].Count
	}
	return bytes * max(1, scheduler.MaxWaitingOccurrences(spec, now))
}

// measure returns the memory that the node keeps beside that of clients, as of the last collection. It collects
// if exact is set, since the last one may have been at a peak that is over.
func (j *jobRoom) measure(exact bool) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	if exact && time.Since(j.collectedAt) > measureInterval {
		runtime.GC()
		j.collectedAt = time.Now()
	}
	samples := []metrics.Sample{{Name: "/gc/cycles/total:gc-cycles"}, {Name: "/gc/heap/live:bytes"}}
	metrics.Read(samples)
	if cycle := samples[0].Value.Uint64(); cycle != j.cycle {
		j.cycle = cycle
		j.kept = max(0, int(samples[1].Value.Uint64())-j.clients.Usage().Reserved)
	}
	return j.kept
}

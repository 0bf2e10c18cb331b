package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/quarantine"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

var begin = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// poolState is a folded state with a pool of ten workers.
type poolState struct {
	st  *ledger.State
	now time.Time
	n   int
}

func newPoolState() *poolState {
	f := &poolState{st: ledger.New(), now: begin}
	f.st.Services["p"] = &ledger.Service{Doc: document.Document{
		Service: "p",
		Quotas:  []document.Quota{{Team: "a", MilliCores: 1 << 20, MemoryMB: 1 << 20}},
	}}
	for i := range 10 {
		vm := fmt.Sprintf("w%d", i)
		sub := record.Subject{Kind: record.SubjectVM, Name: vm}
		f.apply(sub, record.VMRegister{Zone: "a", Rack: "r", Address: "10.0.0.1:80", Cores: 64, MemoryMB: 1 << 16})
		f.apply(sub, record.VMJoin{Pool: "p"})
		f.apply(sub, record.VMUp{})
	}
	f.advanceClock(time.Second)
	return f
}

func (f *poolState) advanceClock(d time.Duration) { f.now = f.now.Add(d) }

func (f *poolState) apply(sub record.Subject, body record.Body) {
	f.n++
	out := f.st.Apply(uint64(f.n), record.Record{
		ID: fmt.Sprint(f.n), Subject: sub, Base: f.st.Revision(sub), Seen: uint64(f.n - 1), Time: f.now, Body: body,
	})
	if out.Status != ledger.Effective {
		panic(out.Reason)
	}
}

// start places a new job of the shape on the worker and returns a function that
// ends the job.
func (f *poolState) start(shape int, worker string) func(record.JobResult) {
	f.n++
	sub := record.Subject{Kind: record.SubjectJob, Name: fmt.Sprintf("job-%d", f.n)}
	f.apply(sub, record.JobSubmit{Service: "p", Team: "a", MilliCores: shape, MemoryMB: 1})
	f.apply(sub, record.JobPlace{Worker: worker, MilliCores: shape, MemoryMB: 1})
	return func(result record.JobResult) { f.apply(sub, record.JobEnd{Result: result}) }
}

// run places a job that ends after two seconds.
func (f *poolState) run(shape int, worker string, result record.JobResult) {
	end := f.start(shape, worker)
	f.advanceClock(2 * time.Second)
	end(result)
}

func (f *poolState) assess() quarantine.Assessment { return quarantine.Assess(f.st, "p", f.now) }

func (f *poolState) toQuarantine() []string {
	var names []string
	for _, found := range f.assess().ToQuarantine {
		names = append(names, found.Worker)
	}
	return names
}

func TestWorkerFailingJobsThatSucceedElsewhereIsQuarantined(t *testing.T) {
	f := newPoolState()
	f.run(1, "w1", record.JobSucceeded)
	f.run(1, "w0", record.JobFailed)
	f.run(1, "w0", record.JobFailed)
	assert.Empty(t, f.toQuarantine(), "two jobs must not suffice")
	assert.Equal(t, map[string]bool{"w0": true}, f.assess().Doubtful)
	f.run(1, "w0", record.JobFailed)
	assert.Equal(t, []string{"w0"}, f.toQuarantine())
	assert.Len(t, f.assess().ToQuarantine[0].Jobs, quarantine.MinJobs)
}

func TestBrokenJobsAreNoEvidence(t *testing.T) {
	f := newPoolState()
	for i := range 6 {
		f.run(1, fmt.Sprintf("w%d", i%2), record.JobFailed)
	}
	assert.Empty(t, f.toQuarantine(), "the shape has not succeeded on any worker")
	assert.Empty(t, f.assess().Doubtful)
}

func TestSuccessClearsEarlierFailures(t *testing.T) {
	f := newPoolState()
	f.run(1, "w1", record.JobSucceeded)
	f.run(1, "w0", record.JobFailed)
	f.run(1, "w0", record.JobFailed)
	f.run(1, "w0", record.JobSucceeded)
	f.run(1, "w0", record.JobFailed)
	assert.Empty(t, f.toQuarantine())
}

// A worker crashes with five jobs, which all fail at the same time. This is one
// event and must not cause a quarantine.
func TestCrashIsNoEvidence(t *testing.T) {
	f := newPoolState()
	f.run(1, "w1", record.JobSucceeded)
	var ends []func(record.JobResult)
	for range 5 {
		ends = append(ends, f.start(1, "w0"))
		f.advanceClock(time.Minute)
	}
	for _, end := range ends {
		end(record.JobFailed)
	}
	assert.Empty(t, f.toQuarantine())
}

// Half of the pool fails jobs, for example because of a bad image. Quarantine of
// all of them would empty the pool, so only two of ten workers are quarantined and
// the shared cause is reported.
func TestSharedFailureDoesNotEmptyThePool(t *testing.T) {
	f := newPoolState()
	f.run(1, "w9", record.JobSucceeded)
	for range 3 {
		for w := range 5 {
			f.run(1, fmt.Sprintf("w%d", w), record.JobFailed)
		}
	}
	assert.Equal(t, []string{"w0", "w1"}, f.toQuarantine())
	a := f.assess()
	assert.True(t, a.SharedCause)
	assert.Empty(t, a.Doubtful)
}

func TestQuarantineEndsInProbationAndDoubles(t *testing.T) {
	f := newPoolState()
	vm := record.Subject{Kind: record.SubjectVM, Name: "w0"}
	f.apply(vm, record.VMQuarantine{On: true})
	f.advanceClock(quarantine.FirstTerm - time.Second)
	assert.Empty(t, f.assess().ToRelease)
	f.advanceClock(time.Second)
	assert.Equal(t, []string{"w0"}, f.assess().ToRelease)

	f.apply(vm, record.VMQuarantine{})
	f.run(1, "w1", record.JobSucceeded)
	assert.True(t, f.assess().Probation["w0"])
	f.run(1, "w0", record.JobFailed)
	assert.Equal(t, []string{"w0"}, f.toQuarantine(), "one failure must suffice on probation")

	f.apply(vm, record.VMQuarantine{On: true})
	f.advanceClock(2*quarantine.FirstTerm - time.Second)
	assert.Empty(t, f.assess().ToRelease)
	f.advanceClock(time.Second)
	assert.Equal(t, []string{"w0"}, f.assess().ToRelease)
}

package jobrunner_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/bench/jobs"
	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/jobrunner"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/standin"

	"github.com/yuccadrift/yuccadrift/internal/testkit/randomcheck"
)

func TestMain(m *testing.M) { randomcheck.Main(m, 20260301, 0) }

const (
	stepTime = 100 * time.Millisecond
	lease    = 10 * time.Second
	service  = jobs.Service
	// urgentBound is the time within which urgent jobs must start.
	urgentBound = 6700 * time.Millisecond
)

// world runs stewards and the stand-in platform on a virtual clock.
type world struct {
	*jobs.World
	t require.TestingT
}

func newWorld(t require.TestingT, stewards, workers int) *world {
	shape := jobs.WorldConfig{Stewards: stewards, Workers: workers, Cores: 8, MemoryMB: 16384, Doc: defaultDocument(), Tick: stepTime}
	return &world{World: jobs.New(shape), t: t}
}

func defaultDocument() document.Document {
	return document.Document{
		Service: service,
		Pool:    document.Pool{Size: 1},
		Quotas:  []document.Quota{{Team: "a", MilliCores: 24_000, MemoryMB: 1 << 20}, {Team: "b", MilliCores: 8_000, MemoryMB: 1 << 20}},
		Limits:  document.Limits{Slots: 4},
		Jobs:    document.Jobs{Lease: lease, UrgentMilliCores: 4000, OnDrain: document.LongJobsCheckpoint},
	}
}

// editDocument changes the document on every node, as a publish does.
func (w *world) editDocument(change func(*document.Document)) {
	change(&w.Doc)
	w.LogState.Services[service].Doc = w.Doc
	for _, n := range w.Nodes {
		n.State.Services[service].Doc = w.Doc
	}
}

func noUrgentReserve(d *document.Document) { d.Jobs.UrgentMilliCores = 0 }

func vmSubject(id string) record.Subject  { return record.Subject{Kind: record.SubjectVM, Name: id} }
func jobSubject(id string) record.Subject { return record.Subject{Kind: record.SubjectJob, Name: id} }

func (w *world) mustWrite(sub record.Subject, body record.Body) {
	outcome := w.Write(sub, body)
	require.Equal(w.t, ledger.Effective, outcome.Status, outcome.Reason)
}

func (w *world) submit(id string, change func(*record.JobSubmit)) {
	spec := record.JobSubmit{Service: service, Team: "a", MilliCores: 1000, MemoryMB: 512, RunTime: 20 * time.Second, Repeatable: true}
	if change != nil {
		change(&spec)
	}
	w.mustWrite(jobSubject(id), spec)
}

func (w *world) job(id string) *ledger.Job { return w.LogState.Jobs[id] }

// run advances the clock in steps until d has passed or done returns true. It
// reports whether done is nil or returned true.
func (w *world) run(d time.Duration, done func() bool) bool {
	for end := w.Now.Add(d); w.Now.Before(end); {
		if done != nil && done() {
			return true
		}
		w.Step()
	}
	return done == nil || done()
}

// injectFaults injects faults into the stand-in platform.
func (w *world) injectFaults(faults ...standin.Fault) {
	_, err := w.Platform.ActivateFaults(faults...)
	require.NoError(w.t, err)
}

func (w *world) starts(job string) int { return w.Platform.Counters().JobStarts[job] }

// running reports whether the platform runs a task of the job.
func (w *world) running(job string) bool {
	j := w.job(job)
	if j.Worker == "" {
		return false
	}
	statuses, err := w.Platform.Status(context.Background(), j.Worker)
	require.NoError(w.t, err)
	for _, s := range statuses {
		if s.ID == jobrunner.TaskID(job, j.Attempt) {
			return s.Phase == platform.TaskRunning
		}
	}
	return false
}

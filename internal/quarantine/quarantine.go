// Package quarantine finds workers that fail the jobs they start. It is pure.
//
// A worker that fails everything at once is always free, so a placement by free
// room sends it one job after the other. One failure proves nothing about a
// worker: a job may be broken by itself, and a worker that crashed takes all its
// jobs with it. Evidence is therefore several jobs, failed at several times, of
// which jobs of the same shape succeed on other workers.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/usage"
)

// Rules of the evidence.
const (
	// MinJobs is how many different jobs must have failed on a worker since its
	// last success, all of shapes that succeed on other workers.
	MinJobs = 3
	// minEpisodes is at how many different times they must have failed: jobs
	// that end within episodeGap of each other may be one crash.
	minEpisodes = 2
	episodeGap  = time.Second
	// Window is for how long a failure counts.
	Window = 30 * time.Minute
	// DoubtFor is for how long a worker with a fresh failure gets one job at a
	// time.
	DoubtFor = time.Minute
	// MaxShare is the share of a pool's workers that may be set aside, or be
	// doubted: when more look bad, the cause is shared and setting workers
	// aside would only empty the pool.
	MaxShare = 0.2
	// FirstTerm is how long a worker is set aside at first; each further time
	// in a row doubles it up to MaxTerm.
	FirstTerm = 5 * time.Minute
	MaxTerm   = time.Hour
	// probationLimit is after how long without a failure a worker on probation
	// takes jobs as any other, though too few came to prove it.
	probationLimit = 10 * time.Minute
)

// Finding is a worker to be set aside and the jobs that speak against it.
type Finding struct {
	Worker string
	Jobs   []string
}

// Assessment is what was found about a pool's workers.
type Assessment struct {
	// Doubtful workers get one repeatable job at a time.
	Doubtful map[string]bool
	// Probation holds the workers that have not yet proved themselves.
	Probation map[string]bool
	// SetAside and LetBack are the decisions due.
	SetAside []Finding
	LetBack  []string
	// Shared is set when more workers look bad than may be set aside.
	Shared bool
}

// Assess weighs the attempts of a pool's jobs that the state remembers.
func Assess(st *ledger.State, service string, now time.Time) Assessment {
	a := Assessment{Doubtful: map[string]bool{}, Probation: map[string]bool{}}
	h := collectHistory(st, service, now)
	vms := st.PoolVMs(service)
	quarantined, due := 0, 0
	var found []Finding
	for id, vm := range vms {
		switch {
		case vm.Quarantined:
			quarantined++
			if now.Sub(vm.QuarantineChanged) >= quarantineTerm(vm.Quarantines) {
				a.LetBack = append(a.LetBack, id)
				due++
			}
			continue
		case vm.ProbationLeft > 0 && now.Sub(vm.QuarantineChanged) < probationLimit:
			a.Probation[id] = true
		}
		if jobs := h.evidence(vm); len(jobs) > 0 {
			found = append(found, Finding{Worker: id, Jobs: jobs})
		}
		if h.doubtful(vm, now) {
			a.Doubtful[id] = true
		}
	}
	slices.Sort(a.LetBack)
	allowed := int(MaxShare * float64(len(vms)))
	a.SetAside = mostEvidence(found, allowed-quarantined)
	a.Shared = len(found) > len(a.SetAside)
	if len(a.Doubtful) > max(1, allowed) {
		a.Doubtful = map[string]bool{}
		a.Shared = true
	}
	return a
}

// quarantineTerm returns how long a worker stays set aside the nth time in a row.
func quarantineTerm(n int) time.Duration {
	d := FirstTerm
	for ; n > 1 && d < MaxTerm; n-- {
		d *= 2
	}
	return min(d, MaxTerm)
}

// mostEvidence returns at most limit findings, those with the most evidence.
func mostEvidence(found []Finding, limit int) []Finding {
	slices.SortFunc(found, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(len(b.Jobs), len(a.Jobs)), cmp.Compare(a.Worker, b.Worker))
	})
	return found[:max(0, min(limit, len(found)))]
}

// failure is one failed attempt.
type failure struct {
	job   string
	shape usage.Shape
	ledger.Failure
}

// history is what the pool's remembered jobs tell.
type history struct {
	failures    map[string][]failure            // by worker
	lastSuccess map[string]time.Time            // by worker
	succeededOn map[usage.Shape]map[string]bool // workers on which a shape succeeded
	failedOn    map[usage.Shape]map[string]bool
}

func collectHistory(st *ledger.State, service string, now time.Time) history {
	h := history{
		failures:    map[string][]failure{},
		lastSuccess: map[string]time.Time{},
		succeededOn: map[usage.Shape]map[string]bool{},
		failedOn:    map[usage.Shape]map[string]bool{},
	}
	jobs := st.PoolJobs(service)
	for _, j := range jobs {
		for _, f := range j.Failures {
			if now.Sub(f.Ended) <= Window {
				shape := usage.ShapeOf(j.Spec)
				h.failures[f.Worker] = append(h.failures[f.Worker], failure{job: j.ID, shape: shape, Failure: f})
				addWorker(h.failedOn, shape, f.Worker)
			}
		}
	}
	if len(h.failures) == 0 {
		return h
	}
	for _, j := range jobs {
		if !j.Succeeded() || now.Sub(j.EndedAt) > Window {
			continue
		}
		if shape := usage.ShapeOf(j.Spec); h.failedOn[shape] != nil {
			addWorker(h.succeededOn, shape, j.Worker)
		}
		if j.EndedAt.After(h.lastSuccess[j.Worker]) {
			h.lastSuccess[j.Worker] = j.EndedAt
		}
	}
	return h
}

func addWorker(m map[usage.Shape]map[string]bool, shape usage.Shape, worker string) {
	if m[shape] == nil {
		m[shape] = map[string]bool{}
	}
	m[shape][worker] = true
}

// unresolvedFailures returns the failures on a worker that nothing has answered yet: none
// older than its last success, its last change of standing or its last return
// to health.
func (h history) unresolvedFailures(vm *ledger.VM) []failure {
	since := h.lastSuccess[vm.ID]
	for _, t := range []time.Time{vm.QuarantineChanged, vm.HealthSince, vm.MaintainedAt} {
		if t.After(since) {
			since = t
		}
	}
	var list []failure
	for _, f := range h.failures[vm.ID] {
		if f.Started.After(since) || f.Ended.After(since) && f.Started.Equal(since) {
			list = append(list, f)
		}
	}
	return list
}

// evidence returns the jobs that speak against the worker when they suffice.
func (h history) evidence(vm *ledger.VM) []string {
	var jobs []string
	var ends []time.Time
	for _, f := range h.unresolvedFailures(vm) {
		if !onOtherWorker(h.succeededOn[f.shape], vm.ID) {
			continue
		}
		if !slices.Contains(jobs, f.job) {
			jobs = append(jobs, f.job)
		}
		ends = append(ends, f.Ended)
	}
	slices.Sort(jobs)
	if vm.ProbationLeft > 0 && len(jobs) > 0 {
		return jobs
	}
	if len(jobs) < MinJobs || countEpisodes(ends) < minEpisodes {
		return nil
	}
	return jobs
}

// onOtherWorker reports whether a worker other than this one is in the set.
func onOtherWorker(workers map[string]bool, id string) bool {
	if workers[id] {
		return len(workers) > 1
	}
	return len(workers) > 0
}

func countEpisodes(ends []time.Time) int {
	slices.SortFunc(ends, time.Time.Compare)
	n := 0
	var last time.Time
	for _, at := range ends {
		if n == 0 || at.Sub(last) > episodeGap {
			n++
		}
		last = at
	}
	return n
}

// doubtful reports whether a job failed on the worker lately that does not fail
// everywhere.
func (h history) doubtful(vm *ledger.VM, now time.Time) bool {
	return slices.ContainsFunc(h.unresolvedFailures(vm), func(f failure) bool {
		broken := onOtherWorker(h.failedOn[f.shape], vm.ID) && !onOtherWorker(h.succeededOn[f.shape], vm.ID)
		return now.Sub(f.Ended) < DoubtFor && !broken
	})
}

// Package quarantine detects workers that fail the jobs placed on them. It has no
// side effects.
//
// A worker that fails every job at once always has free capacity, so placement by
// free capacity would send it one job after the other. A single failure is no
// evidence against a worker: the job itself may be broken, and a crash of a worker
// fails all its jobs together. The evidence is therefore several jobs that failed
// at several times while jobs of the same shape succeed on other workers.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/usage"
)

// Rules for evidence and quarantine.
const (
	// MinJobs is the minimum number of different jobs that must have failed on a
	// worker since its last success, all of shapes that succeed on other workers.
	MinJobs = 3
	// minEpisodes is the minimum number of separate times at which they must have
	// failed. Failures within episodeGap of each other may be a single crash.
	minEpisodes = 2
	episodeGap  = time.Second
	// Window is how long a failure counts as evidence.
	Window = 30 * time.Minute
	// DoubtDuration is how long a worker gets one job at a time after a failure.
	DoubtDuration = time.Minute
	// MaxShare is the maximum share of a pool's workers in quarantine, and of
	// doubtful workers. If more workers fail jobs, the cause is shared and
	// quarantine would only empty the pool.
	MaxShare = 0.2
	// FirstTerm is the duration of the first quarantine. Each further one in a row
	// lasts twice as long, up to MaxTerm.
	FirstTerm = 5 * time.Minute
	MaxTerm   = time.Hour
	// probationLimit is how long after its quarantine a worker is in
	// Assessment.Probation at most, even if it has completed too few jobs.
	probationLimit = 10 * time.Minute
)

// Finding is a worker to be quarantined and the failed jobs that are the evidence.
type Finding struct {
	Worker string
	Jobs   []string
}

// Assessment is the result of Assess for the workers of a pool.
type Assessment struct {
	// Doubtful holds the workers with a recent failure. They get one repeatable job
	// at a time.
	Doubtful map[string]bool
	// Probation holds the workers that are on probation after a quarantine.
	Probation map[string]bool
	// ToQuarantine lists the workers to quarantine now, ToRelease those whose
	// quarantine ends now.
	ToQuarantine []Finding
	ToRelease    []string
	// SharedCause is set if more workers fail jobs than may be quarantined or doubtful,
	// which indicates a shared cause.
	SharedCause bool
}

// Assess evaluates the attempts of the pool's jobs that the state retains.
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
				a.ToRelease = append(a.ToRelease, id)
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
	slices.Sort(a.ToRelease)
	allowed := int(MaxShare * float64(len(vms)))
	a.ToQuarantine = mostEvidence(found, allowed-quarantined)
	a.SharedCause = len(found) > len(a.ToQuarantine)
	if len(a.Doubtful) > max(1, allowed) {
		a.Doubtful = map[string]bool{}
		a.SharedCause = true
	}
	return a
}

// quarantineTerm returns the duration of the nth quarantine in a row.
func quarantineTerm(n int) time.Duration {
	d := FirstTerm
	for ; n > 1 && d < MaxTerm; n-- {
		d *= 2
	}
	return min(d, MaxTerm)
}

// mostEvidence returns at most limit findings, those with the most jobs as
// evidence.
func mostEvidence(found []Finding, limit int) []Finding {
	slices.SortFunc(found, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(len(b.Jobs), len(a.Jobs)), cmp.Compare(a.Worker, b.Worker))
	})
	return found[:max(0, min(limit, len(found)))]
}

// failure is a failed attempt of a job.
type failure struct {
	job   string
	shape usage.Shape
	ledger.Failure
}

// history holds the successes and failures of the pool's retained jobs.
type history struct {
	failures    map[string][]failure            // by worker
	lastSuccess map[string]time.Time            // by worker
	succeededOn map[usage.Shape]map[string]bool // workers by shape on which a job succeeded
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

// unresolvedFailures returns the failures of attempts on the worker that started
// after its last success, change of quarantine, change of health and maintenance.
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

// evidence returns the failed jobs that justify a quarantine of the worker, or nil
// if they do not suffice. On probation one job suffices.
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

// onOtherWorker reports whether the set contains a worker other than id.
func onOtherWorker(workers map[string]bool, id string) bool {
	if workers[id] {
		return len(workers) > 1
	}
	return len(workers) > 0
}

// countEpisodes returns the number of groups of end times that are more than
// episodeGap apart. It sorts ends.
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

// doubtful reports whether a job failed on the worker within DoubtDuration. Jobs
// whose shape fails on other workers and succeeds on none of them do not count.
func (h history) doubtful(vm *ledger.VM, now time.Time) bool {
	return slices.ContainsFunc(h.unresolvedFailures(vm), func(f failure) bool {
		broken := onOtherWorker(h.failedOn[f.shape], vm.ID) && !onOtherWorker(h.succeededOn[f.shape], vm.ID)
		return now.Sub(f.Ended) < DoubtDuration && !broken
	})
}

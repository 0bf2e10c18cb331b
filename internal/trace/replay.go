package trace

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Difference is a place where the replay differs from what the trace states, or
// where a promise is broken.
type Difference struct {
	Line   int    `json:"line"`
	Offset uint64 `json:"offset"` // of the last entry at or before Line
	What   string `json:"what"`
}

// Result is the result of a replay.
type Result struct {
	Header      Header                `json:"header"`
	Entries     int                   `json:"entries"`
	VMEvents    int                   `json:"vm_events"`
	Requests    int                   `json:"requests"`
	Statuses    map[ledger.Status]int `json:"statuses"`
	Offset      uint64                `json:"offset"`
	Differences []Difference          `json:"differences"`
	// State is the state at the end.
	State *ledger.State `json:"-"`
}

// replayer holds the state of a replay.
type replayer struct {
	Result
	line       int
	boots      map[string]*bootCounts // by VM
	mayHaveRun map[string]bool        // non-repeatable jobs whose last attempt may have run
}

// bootCounts counts a VM's boots and the records that explain them.
type bootCounts struct {
	id        string // latest boot ID
	observed  int    // boots after the first listed one
	explained int    // effective records of reboots and failures
}

// Replay folds the trace's entries again and checks the outcomes and the promises.
// It returns ErrFormat if the trace is malformed or incomplete.
func Replay(from io.Reader) (Result, error) {
	r := &replayer{
		Result:     Result{Statuses: map[ledger.Status]int{}, State: ledger.New()},
		boots:      map[string]*bootCounts{},
		mayHaveRun: map[string]bool{},
	}
	if err := Read(from, r.handleLine); err != nil {
		return r.Result, err
	}
	r.checkBoots()
	return r.Result, nil
}

func (r *replayer) addDifference(format string, args ...any) {
	r.Differences = append(r.Differences, Difference{Line: r.line, Offset: r.State.Offset, What: fmt.Sprintf(format, args...)})
}

func (r *replayer) handleLine(line Line) {
	r.line++
	switch {
	case line.Header != nil:
		r.handleHeader(*line.Header)
	case line.Entry != nil:
		r.replayEntry(*line.Entry)
	case line.VM != nil:
		r.VMEvents++
		r.countBoot(*line.VM)
	case line.Request != nil:
		r.Requests++
		r.checkRequest(*line.Request)
	case line.End != nil:
		r.checkEnd(*line.End)
	}
}

func (r *replayer) handleHeader(h Header) {
	r.Header = h
	r.Header.Snapshot = nil
	if len(h.Snapshot) == 0 {
		return
	}
	state, err := ledger.DecodeSnapshot(h.Snapshot)
	if err != nil {
		r.addDifference("the snapshot that the trace begins with: %v", err)
		return
	}
	r.State = state
}

// replayEntry folds one entry and compares the outcome. Reasons are not compared:
// they are for people and may be reworded.
func (r *replayer) replayEntry(e Entry) {
	r.Entries++
	if e.Offset <= r.State.Offset {
		r.addDifference("offset %d comes after %d", e.Offset, r.State.Offset)
		return
	}
	var before record.Revision
	rec, err := record.Decode(e.Bytes())
	if err == nil {
		before = r.State.Revision(rec.Subject)
	}
	out := r.State.ApplyData(e.Offset, e.Bytes())
	r.Statuses[out.Status]++
	if out.Status != e.Status || out.Current != e.Current {
		r.addDifference("record %s on %s: stated %s with revision %d, replayed %s with revision %d (%s)",
			out.ID, out.Subject, e.Status, e.Current, out.Status, out.Current, out.Reason)
	}
	if out.Status != ledger.Effective {
		return
	}
	if out.Current != 0 && out.Current < before {
		r.addDifference("%s fell from revision %d to %d", out.Subject, before, out.Current)
	}
	r.checkEffective(rec)
}

// checkEffective checks the promises that an effective record concerns.
func (r *replayer) checkEffective(rec record.Record) {
	switch b := rec.Body.(type) {
	case record.VMDown:
		r.bootsOf(rec.Subject.Name).explained++
	case record.VMAdvance:
		if b.To == record.PhaseRebooting {
			r.bootsOf(rec.Subject.Name).explained++
		}
	case record.VMDrain:
		r.checkDrain(rec.Subject.Name)
	case record.VMJoin:
		r.checkJoin(rec.Subject.Name)
	case record.JobPlace, record.JobEnd:
		r.checkAttempts(rec)
	}
}

// checkDrain checks that a planned drain keeps its pool within max_unavailable.
func (r *replayer) checkDrain(vm string) {
	pool := r.State.VMs[vm].Pool
	svc, ok := r.State.Services[pool]
	if !ok {
		return
	}
	u := r.State.Unavailability(pool)
	if u.Short > svc.Doc.Budget.MaxUnavailable {
		r.addDifference("the drain of %s leaves pool %s short of %d VMs, allowed are %d", vm, pool, u.Short, svc.Doc.Budget.MaxUnavailable)
	}
}

// checkJoin checks that the VM is in exactly one pool.
func (r *replayer) checkJoin(vm string) {
	var pools []string
	for name := range maps.Keys(r.State.Services) {
		if _, ok := r.State.PoolVMs(name)[vm]; ok {
			pools = append(pools, name)
		}
	}
	if len(pools) != 1 {
		r.addDifference("VM %s is in %d pools: %v", vm, len(pools), pools)
	}
}

// checkAttempts checks that a non-repeatable job is not placed again after an
// attempt that may have run.
func (r *replayer) checkAttempts(rec record.Record) {
	id := rec.Subject.Name
	j, ok := r.State.Jobs[id]
	if !ok || j.Spec.Repeatable {
		return
	}
	switch b := rec.Body.(type) {
	case record.JobPlace:
		if r.mayHaveRun[id] {
			r.addDifference("job %s is not repeatable and was placed again", id)
		}
		r.mayHaveRun[id] = true
	case record.JobEnd:
		r.mayHaveRun[id] = b.Result != record.JobNotStarted && b.Result != record.JobPreempted
	}
}

func (r *replayer) bootsOf(vm string) *bootCounts {
	b, ok := r.boots[vm]
	if !ok {
		b = &bootCounts{}
		r.boots[vm] = b
	}
	return b
}

// countBoot counts a VM's boot if the boot ID changed while the VM was listed. The
// boot ID of a VM that was not listed before does not count.
func (r *replayer) countBoot(e VM) {
	b := r.bootsOf(e.ID)
	if b.id != "" && e.BootID != "" && b.id != e.BootID {
		b.observed++
	}
	b.id = e.BootID
}

// checkRequest compares the outcome stated to a caller with the runs.
func (r *replayer) checkRequest(q Request) {
	switch {
	case q.Outcome == "not-run" && q.Runs > 0:
		r.addDifference("the caller of %s was told not-run, it ran %d times", q.Key, q.Runs)
	case q.Outcome == "ran" && q.Runs == 0:
		r.addDifference("the caller of %s was told ran, it did not run", q.Key)
	case !q.Repeatable && q.Runs > 1:
		r.addDifference("%s is not repeatable and ran %d times", q.Key, q.Runs)
	}
}

func (r *replayer) checkEnd(e End) {
	if r.State.Offset != e.Offset {
		r.addDifference("the trace states offset %d at its end", e.Offset)
	}
	for _, what := range e.Facts.Diff(FactsOf(r.State)) {
		r.addDifference("%s", what)
	}
	if !maps.Equal(r.Statuses, e.Statuses) {
		r.addDifference("stated %v, replayed %v", e.Statuses, r.Statuses)
	}
}

// checkBoots checks that every boot is explained by a record. It runs at the end of
// the trace, since the platform's list lags behind the log.
func (r *replayer) checkBoots() {
	r.Offset = r.State.Offset
	for _, vm := range slices.Sorted(maps.Keys(r.boots)) {
		if b := r.boots[vm]; b.observed > b.explained {
			r.addDifference("VM %s booted %d times, with %d reboots and failures on the log", vm, b.observed, b.explained)
		}
	}
}

package proof

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/outcome"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/standin"
)

// Bounds that the guarantees state.
const (
	// drainBound is how long after its drain a backend server may still get new requests.
	drainBound = 3 * time.Second
	// inForceBound is how long after its acceptance, or after the node's last fault, a configuration
	// may not yet be in force on a node.
	inForceBound = 13 * time.Second
)

// guarantee is a guarantee of the system and the result of checking it.
type guarantee struct {
	name       string
	cases      int
	violations []string
}

// check counts a case and records a violation unless holds is true.
func (p *guarantee) check(holds bool, format string, args ...any) {
	p.cases++
	if !holds {
		p.violations = append(p.violations, fmt.Sprintf(format, args...))
	}
}

// evidence is everything that was observed in a run.
type evidence struct {
	startedAt  time.Time
	records    []observedRecord
	statuses   []statusReport
	counters   []counterSnapshot
	attempts   []attempt
	nodeFaults []faultInterval
	operators  *operators
	final      standin.Counters
}

func (e *evidence) elapsed(t time.Time) string {
	return fmt.Sprintf("%.2fs", t.Sub(e.startedAt).Seconds())
}

// checkAll checks every guarantee.
func (e *evidence) checkAll() []guarantee {
	return []guarantee{
		e.checkBudgets(), e.checkOnePool(), e.checkOwnAnswers(), e.checkNotRun(), e.checkAtMostOnce(), e.checkDrainedGetNothing(),
		e.checkNoRequestCut(), e.checkLiveNodesAnswer(), e.checkNoRevert(), e.checkInForce(), e.checkOneWinner(), e.checkSameState(), e.checkRebootsOnce(), e.checkJobStartsOnce(),
	}
}

func printTable(out io.Writer, guarantees []guarantee) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "GUARANTEE\tCASES CHECKED\tVIOLATIONS")
	for _, p := range guarantees {
		fmt.Fprintf(table, "%s\t%d\t%d\n", p.name, p.cases, len(p.violations))
	}
	_ = table.Flush()
}

// membership is a period in which a VM belonged to a pool. from is before the join took effect, to
// is after the VM's departure took effect and zero while it belongs to the pool.
type membership struct {
	pool     string
	from, to time.Time
}

func (e *evidence) memberships() map[string][]membership {
	vms := map[string][]membership{}
	end := func(vm string, at time.Time) {
		if spans := vms[vm]; len(spans) > 0 && spans[len(spans)-1].to.IsZero() {
			spans[len(spans)-1].to = at
		}
	}
	for _, l := range e.records {
		if l.outcome.Status != ledger.Effective || l.rec.Subject.Kind != record.SubjectVM {
			continue
		}
		vm := l.rec.Subject.Name
		switch b := l.rec.Body.(type) {
		case record.VMJoin:
			end(vm, l.seenAt)
			vms[vm] = append(vms[vm], membership{pool: b.Pool, from: l.rec.Time})
		case record.VMAdvance:
			if b.To == record.PhaseFree {
				end(vm, l.seenAt)
			}
		case record.VMGone:
			end(vm, l.seenAt)
		}
	}
	return vms
}

// checkOnePool checks that VMs ran only requests of services whose pool they belonged to.
func (e *evidence) checkOnePool() guarantee {
	p := guarantee{name: "a VM belongs to exactly one pool"}
	vms := e.memberships()
	for _, a := range e.attempts {
		if a.VM == "" {
			continue
		}
		member := slices.ContainsFunc(vms[a.VM], func(m membership) bool {
			return m.pool == a.service && m.from.Before(a.endedAt) && (m.to.IsZero() || a.startedAt.Before(m.to.Add(drainBound)))
		})
		p.check(member, "%s %s ran on %s, which was not in the pool", e.elapsed(a.startedAt), a.service, a.VM)
	}
	return p
}

func (e *evidence) checkOwnAnswers() guarantee {
	p := guarantee{name: "the whole answer, and one's own"}
	for _, a := range e.attempts {
		problem := a.Problem()
		p.check(problem == "", "%s %s%s at %s: %s", e.elapsed(a.startedAt), a.service, a.path, a.node, problem)
	}
	return p
}

// checkNotRun checks that a request whose every attempt was answered "not-run" was not run, and that
// every backend server that received it refused it.
func (e *evidence) checkNotRun() guarantee {
	p := guarantee{name: "\"not run\" is true"}
	notRun := map[string]bool{}
	for _, a := range e.attempts {
		previous, known := notRun[a.key]
		notRun[a.key] = (previous || !known) && a.Err == nil && a.Outcome == outcome.NotRun
	}
	for key, all := range notRun {
		if all {
			seen := e.final.Backends.Keys[key]
			p.check(seen.Runs == 0 && seen.Seen == seen.Refused, "key %s: %+v", key, seen)
		}
	}
	return p
}

func (e *evidence) checkAtMostOnce() guarantee {
	p := guarantee{name: "not repeatable runs at most once"}
	tried := map[string]attempt{}
	for _, a := range e.attempts {
		if !a.repeatable {
			tried[a.key] = a
		}
	}
	for key, a := range tried {
		p.check(e.final.Backends.Keys[key].Runs <= 1, "key %s of %s%s: %+v", key, a.service, a.path, e.final.Backends.Keys[key])
	}
	return p
}

// drainPeriod is a period in which a VM was drained. from is when the drain was observed, to is before
// the VM was up again.
type drainPeriod struct {
	vm       string
	from, to time.Time
}

func (e *evidence) drainPeriods() []drainPeriod {
	var all []drainPeriod
	open := map[string]int{} // index in all plus 1, by VM
	for _, l := range e.records {
		if l.outcome.Status != ledger.Effective || l.rec.Subject.Kind != record.SubjectVM {
			continue
		}
		vm := l.rec.Subject.Name
		switch l.rec.Body.(type) {
		case record.VMDrain:
			all = append(all, drainPeriod{vm: vm, from: l.seenAt, to: time.Now()})
			open[vm] = len(all)
		case record.VMUp:
			if i := open[vm]; i > 0 && l.rec.Time.After(all[i-1].from) {
				all[i-1].to = l.rec.Time
				delete(open, vm)
			}
		}
	}
	return all
}

// checkDrainedGetNothing checks that a drained backend server got no new request after drainBound.
func (e *evidence) checkDrainedGetNothing() guarantee {
	p := guarantee{name: "a leaving backend server gets no new work after 3 s"}
	for _, a := range e.drainPeriods() {
		bound := a.from.Add(drainBound)
		var late time.Time
		for _, c := range e.counters {
			if c.askedAt.After(bound) && c.askedAt.Before(a.to) {
				if seen := c.vms[a.vm].LastSeen; seen.After(bound) && seen.Before(a.to) {
					late = seen
				}
			}
		}
		p.check(late.IsZero(), "%s drained at %s saw a request at %s%s", a.vm, e.elapsed(a.from), e.elapsed(late), e.describeFaults(a.from, late))
	}
	return p
}

// describeFaults lists the nodes' faults in a period, for messages.
func (e *evidence) describeFaults(from, to time.Time) string {
	text := ""
	for _, h := range e.nodeFaults {
		if h.from.Before(to) && (h.to.IsZero() || h.to.After(from)) {
			text += fmt.Sprintf("; %s %s %s-%s", h.node, h.fault, e.elapsed(h.from), e.elapsed(h.to))
		}
	}
	return text
}

// checkNoRequestCut checks that planned reboots interrupted no request at a backend server, and that
// every attempt at an entry process that got SIGTERM was answered.
func (e *evidence) checkNoRequestCut() guarantee {
	p := guarantee{name: "planned drains, reboots and stops cut no request"}
	for vm, counts := range e.final.Backends.VMs {
		if e.final.Reboots[vm] > 0 {
			p.check(counts.CutInFlight == 0, "%d requests were in flight at %s when it was rebooted", counts.CutInFlight, vm)
		}
	}
	for _, a := range e.attempts {
		if e.hadFault(a, nodeStopped) && !e.hadFault(a, nodeKilled, nodePaused) {
			p.check(a.Err == nil || a.Status != 0, "%s %s%s at %s after SIGTERM: %v%s", e.elapsed(a.startedAt), a.service, a.path, a.node, a.Err, e.describeFaults(a.startedAt, a.endedAt))
		}
	}
	return p
}

// hadFault reports whether the attempt's node had one of the faults during the attempt.
func (e *evidence) hadFault(a attempt, faults ...nodeFault) bool {
	return slices.ContainsFunc(e.nodeFaults, func(h faultInterval) bool {
		return h.node == a.node && slices.Contains(faults, h.fault) && h.from.Before(a.endedAt) && (h.to.IsZero() || h.to.After(a.startedAt))
	})
}

// checkLiveNodesAnswer checks that an entry process answers every request unless it is down, paused
// or shutting down, whatever other faults there are.
func (e *evidence) checkLiveNodesAnswer() guarantee {
	p := guarantee{name: "a live entry process answers, with an outcome"}
	for _, a := range e.attempts {
		if !e.hadFault(a, nodeKilled, nodePaused, nodeStopped) {
			p.check(a.Err == nil || a.Status != 0, "%s-%s %s%s at %s: %v%s", e.elapsed(a.startedAt), e.elapsed(a.endedAt), a.service, a.path, a.node, a.Err, e.describeFaults(a.startedAt, a.endedAt))
		}
	}
	return p
}

// checkNoRevert checks that a ready daemon, also after a restart, has no older revision in force than
// one that it reported before, and that it still has one.
func (e *evidence) checkNoRevert() guarantee {
	p := guarantee{name: "a configuration never reverts to an older one"}
	highest := map[string]map[string]record.Revision{}
	for _, r := range e.statuses {
		if len(r.Unready) > 0 {
			continue // it doesn't serve yet
		}
		seen := highest[r.daemon]
		if seen == nil {
			seen = map[string]record.Revision{}
			highest[r.daemon] = seen
		}
		for service, revision := range seen {
			p.check(r.Revision(service) >= revision, "%s: %s of %s went from revision %d to %d%s", e.elapsed(r.askedAt), service, r.daemon, revision, r.Revision(service), e.describeFaults(r.askedAt.Add(-inForceBound), r.askedAt))
		}
		for _, d := range r.Documents {
			seen[d.Service] = max(seen[d.Service], d.Revision)
		}
	}
	return p
}

// checkInForce checks that an accepted revision is the effective one in the log, and that it is in
// force on every node within inForceBound of its acceptance or of the node's last fault, and at the
// end of the run.
func (e *evidence) checkInForce() guarantee {
	p := guarantee{name: "an accepted configuration is in force everywhere"}
	effective := map[uint64]string{}
	for _, l := range e.records {
		if b, ok := l.rec.Body.(record.DocumentPublish); ok && l.outcome.Status == ledger.Effective {
			effective[l.offset] = b.Text
		}
	}
	last := map[string]statusReport{}
	for _, r := range e.statuses {
		last[r.daemon] = r
	}
	for _, acc := range e.operators.accepted {
		p.check(effective[uint64(acc.revision)] == acc.text, "%s revision %d was reported as accepted but is not effective in the log", acc.service, acc.revision)
		for daemon, r := range last {
			p.check(r.Revision(acc.service) >= acc.revision, "at the end %s has revision %d of %s, %d was accepted", daemon, r.Revision(acc.service), acc.service, acc.revision)
		}
		for _, r := range e.statuses {
			if r.askedAt.Before(acc.acceptedAt.Add(inForceBound)) || e.hadRecentFault(r) {
				continue
			}
			p.check(r.Revision(acc.service) >= acc.revision, "%s: %s has revision %d of %s, %d was accepted at %s", e.elapsed(r.askedAt), r.daemon, r.Revision(acc.service), acc.service, acc.revision, e.elapsed(acc.acceptedAt))
		}
	}
	return p
}

// hadRecentFault reports whether the daemon's VM had a fault within inForceBound before the report.
func (e *evidence) hadRecentFault(r statusReport) bool {
	return slices.ContainsFunc(e.nodeFaults, func(h faultInterval) bool {
		return h.node == r.node && h.from.Before(r.askedAt) && (h.to.IsZero() || h.to.After(r.askedAt.Add(-inForceBound)))
	})
}

func (e *evidence) checkOneWinner() guarantee {
	return guarantee{name: "of two publishes on one revision one is accepted", cases: e.operators.conflicts, violations: e.operators.bothAccepted}
}

// checkSameState checks that daemons at the same offset have the same state, by its digest.
func (e *evidence) checkSameState() guarantee {
	p := guarantee{name: "all nodes at one offset have the same state"}
	first := map[uint64]statusReport{}
	for _, r := range e.statuses {
		if r.Digest == 0 {
			continue
		}
		f, ok := first[r.Offset]
		if !ok {
			first[r.Offset] = r
			continue
		}
		p.check(f.Digest == r.Digest, "offset %d: %x on %s, %x on %s", r.Offset, f.Digest, f.daemon, r.Digest, r.daemon)
	}
	return p
}

// checkRebootsOnce checks that the platform rebooted no VM more often than was decided.
func (e *evidence) checkRebootsOnce() guarantee {
	p := guarantee{name: "a reboot is decided first and done once"}
	decided := map[string]int{}
	for _, l := range e.records {
		if b, ok := l.rec.Body.(record.VMAdvance); ok && b.To == record.PhaseRebooting && l.outcome.Status == ledger.Effective {
			decided[l.rec.Subject.Name]++
		}
	}
	for _, vm := range slices.Sorted(maps.Keys(e.final.Reboots)) {
		p.check(e.final.Reboots[vm] <= decided[vm], "%s: %d reboots, %d decided", vm, e.final.Reboots[vm], decided[vm])
	}
	return p
}

func (e *evidence) checkJobStartsOnce() guarantee {
	p := guarantee{name: "a not-repeatable job starts at most once"}
	for _, job := range slices.Sorted(maps.Keys(e.final.JobStarts)) {
		p.check(e.final.JobStarts[job] <= 1, "job %s: %d starts", job, e.final.JobStarts[job])
	}
	return p
}

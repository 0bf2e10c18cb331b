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

// Bounds that the promises name.
const (
	// leaveWithin is when a leaving backend server gets no new work any more.
	leaveWithin = 3 * time.Second
	// inForceWithin is when an accepted configuration is in force on every node,
	// counted from when the node was whole.
	inForceWithin = 13 * time.Second
)

// promise is the verdict on one promise.
type promise struct {
	name   string
	tried  int
	broken []string
}

func (p *promise) try(holds bool, format string, args ...any) {
	p.tried++
	if !holds {
		p.broken = append(p.broken, fmt.Sprintf(format, args...))
	}
}

// evidence is all that was seen of a run.
type evidence struct {
	began     time.Time
	log       []logged
	reports   []reported
	counters  []counted
	attempts  []attempt
	harmed    []harmed
	operators *operators
	final     standin.Counters
}

func (e *evidence) since(t time.Time) string { return fmt.Sprintf("%.2fs", t.Sub(e.began).Seconds()) }

// verdict checks every promise.
func (e *evidence) verdict() []promise {
	return []promise{
		e.budgets(), e.onePool(), e.ownAnswers(), e.notRun(), e.atMostOnce(), e.leaving(),
		e.noneCut(), e.always(), e.neverOlder(), e.inForce(), e.oneWinner(), e.sameState(), e.eachActOnce(), e.jobsOnce(),
	}
}

func printTable(out io.Writer, promises []promise) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "PROMISE\tCASES TRIED\tBROKEN")
	for _, p := range promises {
		fmt.Fprintf(table, "%s\t%d\t%d\n", p.name, p.tried, len(p.broken))
	}
	_ = table.Flush()
}

// membership is a stretch of time in which a VM belonged to a pool: from is
// before the join took effect, to after the leave did.
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
	for _, l := range e.log {
		if l.out.Status != ledger.Effective || l.rec.Subject.Kind != record.SubjectVM {
			continue
		}
		vm := l.rec.Subject.Name
		switch b := l.rec.Body.(type) {
		case record.VMJoin:
			end(vm, l.at)
			vms[vm] = append(vms[vm], membership{pool: b.Pool, from: l.rec.Time})
		case record.VMAdvance:
			if b.To == record.PhaseFree {
				end(vm, l.at)
			}
		case record.VMGone:
			end(vm, l.at)
		}
	}
	return vms
}

// onePool: no VM ran a request of a service in whose pool it was not.
func (e *evidence) onePool() promise {
	p := promise{name: "a VM belongs to exactly one pool"}
	vms := e.memberships()
	for _, a := range e.attempts {
		if a.VM == "" {
			continue
		}
		member := slices.ContainsFunc(vms[a.VM], func(m membership) bool {
			return m.pool == a.service && m.from.Before(a.ended) && (m.to.IsZero() || a.began.Before(m.to.Add(leaveWithin)))
		})
		p.try(member, "%s %s ran on %s, which was not in the pool", e.since(a.began), a.service, a.VM)
	}
	return p
}

func (e *evidence) ownAnswers() promise {
	p := promise{name: "the whole answer, and one's own"}
	for _, a := range e.attempts {
		problem := a.Problem()
		p.try(problem == "", "%s %s%s at %s: %s", e.since(a.began), a.service, a.path, a.node, problem)
	}
	return p
}

// notRun: a request whose every attempt was answered "not-run" was run by no
// backend server, and none saw it but to refuse it.
func (e *evidence) notRun() promise {
	p := promise{name: "\"not run\" is true"}
	notRun := map[string]bool{}
	for _, a := range e.attempts {
		before, tried := notRun[a.key]
		notRun[a.key] = (before || !tried) && a.Err == nil && a.Outcome == outcome.NotRun
	}
	for key, all := range notRun {
		if all {
			seen := e.final.Backends.Keys[key]
			p.try(seen.Runs == 0 && seen.Seen == seen.Refused, "key %s: %+v", key, seen)
		}
	}
	return p
}

func (e *evidence) atMostOnce() promise {
	p := promise{name: "not repeatable runs at most once"}
	tried := map[string]attempt{}
	for _, a := range e.attempts {
		if !a.repeatable {
			tried[a.key] = a
		}
	}
	for key, a := range tried {
		p.try(e.final.Backends.Keys[key].Runs <= 1, "key %s of %s%s: %+v", key, a.service, a.path, e.final.Backends.Keys[key])
	}
	return p
}

// absence is a stretch of time in which a VM was drained: from is when that was
// seen, to is before it was taken back.
type absence struct {
	vm       string
	from, to time.Time
}

func (e *evidence) absences() []absence {
	var all []absence
	open := map[string]int{} // index and 1
	for _, l := range e.log {
		if l.out.Status != ledger.Effective || l.rec.Subject.Kind != record.SubjectVM {
			continue
		}
		vm := l.rec.Subject.Name
		switch l.rec.Body.(type) {
		case record.VMDrain:
			all = append(all, absence{vm: vm, from: l.at, to: time.Now()})
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

// leaving: a backend server that is drained saw its last new request within
// seconds.
func (e *evidence) leaving() promise {
	p := promise{name: "a leaving backend server gets no new work after 3 s"}
	for _, a := range e.absences() {
		last := a.from.Add(leaveWithin)
		var late time.Time
		for _, c := range e.counters {
			if c.asked.After(last) && c.asked.Before(a.to) {
				if seen := c.vms[a.vm].LastSeen; seen.After(last) && seen.Before(a.to) {
					late = seen
				}
			}
		}
		p.try(late.IsZero(), "%s drained at %s saw a request at %s%s", a.vm, e.since(a.from), e.since(late), e.harmAround(a.from, late))
	}
	return p
}

// harmAround lists the faults of nodes in a stretch of time.
func (e *evidence) harmAround(from, to time.Time) string {
	text := ""
	for _, h := range e.harmed {
		if h.from.Before(to) && (h.to.IsZero() || h.to.After(from)) {
			text += fmt.Sprintf("; %s %s %s-%s", h.node, h.harm, e.since(h.from), e.since(h.to))
		}
	}
	return text
}

// noneCut: planned reboots cut no request at a backend server, and no attempt at
// an entry process that was told to stop broke off.
func (e *evidence) noneCut() promise {
	p := promise{name: "planned drains, reboots and stops cut no request"}
	for vm, counts := range e.final.Backends.VMs {
		if e.final.Reboots[vm] > 0 {
			p.try(counts.CutInFlight == 0, "%d requests were in flight at %s when it was rebooted", counts.CutInFlight, vm)
		}
	}
	for _, a := range e.attempts {
		if e.suffers(a, harmStopped) && !e.suffers(a, harmKilled, harmPaused) {
			p.try(a.Err == nil || a.Status != 0, "%s %s%s at %s which was told to stop: %v%s", e.since(a.began), a.service, a.path, a.node, a.Err, e.harmAround(a.began, a.ended))
		}
	}
	return p
}

// suffers reports whether the attempt's node suffered one of the harms during it.
func (e *evidence) suffers(a attempt, harms ...harm) bool {
	return slices.ContainsFunc(e.harmed, func(h harmed) bool {
		return h.node == a.node && slices.Contains(harms, h.harm) && h.from.Before(a.ended) && (h.to.IsZero() || h.to.After(a.began))
	})
}

// always: an entry process that is neither gone nor paused answers every
// request, whatever else is out of order.
func (e *evidence) always() promise {
	p := promise{name: "a live entry process answers, with an outcome"}
	for _, a := range e.attempts {
		if !e.suffers(a, harmKilled, harmPaused, harmStopped) {
			p.try(a.Err == nil || a.Status != 0, "%s-%s %s%s at %s: %v%s", e.since(a.began), e.since(a.ended), a.service, a.path, a.node, a.Err, e.harmAround(a.began, a.ended))
		}
	}
	return p
}

// neverOlder: once a daemon of a VM had a revision in force, none of that VM's
// later runs of it has an older one, or none, while it is ready.
func (e *evidence) neverOlder() promise {
	p := promise{name: "a configuration never reverts to an older one"}
	highest := map[string]map[string]record.Revision{}
	for _, r := range e.reports {
		if len(r.Unready) > 0 {
			continue // it serves nothing yet
		}
		seen := highest[r.daemon]
		if seen == nil {
			seen = map[string]record.Revision{}
			highest[r.daemon] = seen
		}
		for service, revision := range seen {
			p.try(r.Revision(service) >= revision, "%s: %s of %s went from revision %d to %d%s", e.since(r.asked), service, r.daemon, revision, r.Revision(service), e.harmAround(r.asked.Add(-inForceWithin), r.asked))
		}
		for _, d := range r.Documents {
			seen[d.Service] = max(seen[d.Service], d.Revision)
		}
	}
	return p
}

// inForce: an accepted revision is the one that the log made effective, and is
// in force on every node within seconds of its acceptance, or of the end of the
// node's last fault. At the end of the run every node has it.
func (e *evidence) inForce() promise {
	p := promise{name: "an accepted configuration is in force everywhere"}
	effective := map[uint64]string{}
	for _, l := range e.log {
		if b, ok := l.rec.Body.(record.DocumentPublish); ok && l.out.Status == ledger.Effective {
			effective[l.offset] = b.Text
		}
	}
	last := map[string]reported{}
	for _, r := range e.reports {
		last[r.daemon] = r
	}
	for _, acc := range e.operators.accepted {
		p.try(effective[uint64(acc.revision)] == acc.text, "%s revision %d was called accepted, the log says otherwise", acc.service, acc.revision)
		for daemon, r := range last {
			p.try(r.Revision(acc.service) >= acc.revision, "at the end %s has revision %d of %s, %d was accepted", daemon, r.Revision(acc.service), acc.service, acc.revision)
		}
		for _, r := range e.reports {
			if r.asked.Before(acc.at.Add(inForceWithin)) || e.harmNear(r) {
				continue
			}
			p.try(r.Revision(acc.service) >= acc.revision, "%s: %s has revision %d of %s, %d was accepted at %s", e.since(r.asked), r.daemon, r.Revision(acc.service), acc.service, acc.revision, e.since(acc.at))
		}
	}
	return p
}

// harmNear reports whether the daemon's VM suffered anything in the time that it
// has to catch up.
func (e *evidence) harmNear(r reported) bool {
	return slices.ContainsFunc(e.harmed, func(h harmed) bool {
		return h.node == r.node && h.from.Before(r.asked) && (h.to.IsZero() || h.to.After(r.asked.Add(-inForceWithin)))
	})
}

func (e *evidence) oneWinner() promise {
	return promise{name: "of two publishes on one revision one is accepted", tried: e.operators.rounds, broken: e.operators.bothWon}
}

// sameState: daemons at the same offset have the same state.
func (e *evidence) sameState() promise {
	p := promise{name: "all nodes at one offset have the same state"}
	first := map[uint64]reported{}
	for _, r := range e.reports {
		if r.Digest == 0 {
			continue
		}
		f, ok := first[r.Offset]
		if !ok {
			first[r.Offset] = r
			continue
		}
		p.try(f.Digest == r.Digest, "offset %d: %x on %s, %x on %s", r.Offset, f.Digest, f.daemon, r.Digest, r.daemon)
	}
	return p
}

// eachActOnce: the platform rebooted a VM as often as that was decided.
func (e *evidence) eachActOnce() promise {
	p := promise{name: "a reboot is decided first and done once"}
	decided := map[string]int{}
	for _, l := range e.log {
		if b, ok := l.rec.Body.(record.VMAdvance); ok && b.To == record.PhaseRebooting && l.out.Status == ledger.Effective {
			decided[l.rec.Subject.Name]++
		}
	}
	for _, vm := range slices.Sorted(maps.Keys(e.final.Reboots)) {
		p.try(e.final.Reboots[vm] <= decided[vm], "%s: %d reboots, %d decided", vm, e.final.Reboots[vm], decided[vm])
	}
	return p
}

func (e *evidence) jobsOnce() promise {
	p := promise{name: "a not-repeatable job starts at most once"}
	for _, job := range slices.Sorted(maps.Keys(e.final.JobStarts)) {
		p.try(e.final.JobStarts[job] <= 1, "job %s: %d starts", job, e.final.JobStarts[job])
	}
	return p
}

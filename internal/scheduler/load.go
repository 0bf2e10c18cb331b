package scheduler

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Loads tells, for each service, what its workers carry and what waits.
func (c *Core) Loads(now time.Time) []workload.ServiceLoad {
	byService := map[string]*workload.ServiceLoad{}
	get := func(service string) *workload.ServiceLoad {
		l := byService[service]
		if l == nil {
			l = &workload.ServiceLoad{Service: service, Workers: map[string]workload.WorkerLoad{}}
			byService[service] = l
		}
		return l
	}
	for _, w := range c.order {
		if w.missing {
			continue
		}
		l := get(w.info.Service)
		l.Used = l.Used.Add(w.used)
		l.Workers[w.info.ID] = w.loadNow(now)
		l.Size = l.Size.Add(w.info.Capacity)
	}
	for _, l := range byService {
		l.Size = l.Size.DividedBy(len(l.Workers))
	}
	for service, work := range c.arrived {
		get(service).Arrived = work
	}
	for _, j := range c.active {
		if j.final.Ended() {
			continue
		}
		l := get(j.sub.Service)
		for o := range j.sub.Spec.Occurrences() {
			if now.Add(foresight).Before(j.sub.Spec.Due(o)) {
				break // later ones are due later
			}
			rank := c.rank(j, o, now)
			for _, s := range rank.steps {
				addStep(l, s, rank.class, now)
				c.addLack(l, s, now)
			}
		}
	}
	for service, n := range c.waitingSuspects() {
		addSuspects(get(service), n)
	}
	list := make([]workload.ServiceLoad, 0, len(byService))
	for _, l := range byService {
		list = append(list, *l)
	}
	return list
}

// suspectsPerVM is for how many suspects that wait for a trial a service asks for one more
// VM, at most for as many as it has. A trial that crashes its worker takes that away for
// seconds, and on the workers of a small service a long queue takes minutes.
const suspectsPerVM = 5

// addSuspects adds what suspects that wait ask for.
func addSuspects(l *workload.ServiceLoad, waiting int) {
	vms := min(waiting/suspectsPerVM, len(l.Workers))
	l.Waiting = l.Waiting.Add(l.Size.Times(vms))
}

// waitingSuspects counts the suspects that wait for a trial, by service.
func (c *Core) waitingSuspects() map[string]int {
	waiting := map[string]int{}
	for _, s := range c.crashedSteps {
		if !s.job.final.Ended() {
			waiting[s.job.sub.Service] += s.idleSuspects()
		}
	}
	return waiting
}

// usable tells whether the worker answers and may get starts now or soon.
func (w *worker) usable(now time.Time) bool {
	return w.synced && !w.unreachable && !w.info.Draining && !now.Before(w.trust.suspendUntil)
}

// loadNow is what a worker carries, by how hard it is to move.
func (w *worker) loadNow(now time.Time) workload.WorkerLoad {
	l := workload.WorkerLoad{Usable: w.usable(now), Runs: len(w.runs), Used: w.used}
	if room := w.info.Capacity; room != w.most {
		l.Shrunk = &room
	}
	for _, r := range w.runs {
		if r.step.spec.Lasting {
			l.Lasting++
		}
	}
	return l
}

// foresight is how long before it is due an occurrence counts as coming: a VM
// takes about as long to another pool.
const foresight = 3 * time.Second

// addStep adds what a step waits for, or will.
func addStep(l *workload.ServiceLoad, s *step, rank class, now time.Time) {
	if s.spec.Lasting && s.spec.MaxPerWorker > 0 {
		l.Spread = max(l.Spread, (len(s.tasks)+s.spec.MaxPerWorker-1)/s.spec.MaxPerWorker)
	}
	waits := s.idle - s.idleSuspects()
	if waits == 0 || rank > classOnTime {
		return
	}
	need := s.spec.Reserve().Times(waits)
	switch {
	case s.ready(now):
		l.Waiting = l.Waiting.Add(need)
		addWants(l, s.spec.Label, need)
		addWants(l, s.spec.Rack, need)
	case len(s.spec.DependsOn) == 0:
		l.Coming = l.Coming.Add(need)
	}
}

func addWants(l *workload.ServiceLoad, label string, need workload.Resources) {
	if label == "" {
		return
	}
	if l.Wants == nil {
		l.Wants = map[string]workload.Resources{}
	}
	l.Wants[label] = l.Wants[label].Add(need)
}

// addLack adds a step whose tasks wait for want of workers that may run them: none
// is large enough or has their label, or those that have it are full.
func (c *Core) addLack(l *workload.ServiceLoad, s *step, now time.Time) {
	if s.idle == s.idleSuspects() || !s.ready(now) || len(l.Lacks) >= maxLacks {
		return
	}
	lack := workload.Lack{Label: s.spec.Label, Need: s.spec.Reserve(), Never: true}
	if slices.ContainsFunc(l.Lacks, func(told workload.Lack) bool { return told.Label == lack.Label && lack.Need.Fits(told.Need) }) {
		return // what is brought for the other one serves
	}
	known := false // as long as no worker has answered, none is known to be missing
	for _, w := range c.order {
		if w.info.Service != s.job.sub.Service || !w.usable(now) {
			continue
		}
		known = true
		if !w.info.HasLabel(lack.Label) {
			continue
		}
		able := lack.Need.Fits(w.info.Capacity.Sub(w.lastingUse()))
		if lack.Need.Fits(w.free()) || able && lack.Label == "" {
			return
		}
		if able {
			lack.Never = false
		}
	}
	if known && (lack.Never || lack.Label != "") {
		l.Lacks = append(l.Lacks, lack)
	}
}

// maxLacks bounds what is told at once; the rest follows when these are met.
const maxLacks = 8

// countArrival adds a job that was accepted just now to what its service is
// asked for. Lasting tasks are seen in what is used, occurrences in what is
// coming and waits: a job with many asks for them one after the other.
func (c *Core) countArrival(j *job) {
	if j.sub.Spec.Repeat > 0 {
		return
	}
	work := c.arrived[j.sub.Service]
	work.Jobs++
	for _, s := range j.steps {
		if s.spec.Lasting {
			continue
		}
		ms := int64(len(s.tasks)) * estimate(s.spec).Milliseconds()
		work.CoreMS += ms * int64(s.spec.Need.CPU) / 1000
		work.MBMS += ms * int64(s.spec.Need.MemoryMB)
	}
	c.arrived[j.sub.Service] = work
}

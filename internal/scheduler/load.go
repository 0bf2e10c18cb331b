package scheduler

import (
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
	}
	for service, work := range c.arrived {
		get(service).Arrived = work
	}
	for _, j := range c.active {
		if j.final.Ended() {
			continue
		}
		l := get(j.sub.Service)
		rank := c.rank(j, now)
		for _, s := range j.steps {
			addStep(l, s, rank, now)
		}
	}
	list := make([]workload.ServiceLoad, 0, len(byService))
	for _, l := range byService {
		list = append(list, *l)
	}
	return list
}

// loadNow is what a worker carries, by how hard it is to move.
func (w *worker) loadNow(now time.Time) workload.WorkerLoad {
	usable := w.synced && !w.silent && !w.info.Draining && !now.Before(w.trust.suspendUntil)
	l := workload.WorkerLoad{Usable: usable, Runs: len(w.runs), Used: w.used}
	for _, r := range w.runs {
		if r.step.spec.Lasting {
			l.Lasting++
		}
	}
	return l
}

// addStep adds what a step waits for.
func addStep(l *workload.ServiceLoad, s *step, rank candidate, now time.Time) {
	if s.spec.Lasting && s.spec.MaxPerWorker > 0 {
		l.Spread = max(l.Spread, (len(s.tasks)+s.spec.MaxPerWorker-1)/s.spec.MaxPerWorker)
	}
	if s.idle == 0 || rank.class > classOnTime {
		return
	}
	need := s.spec.Reserve().Times(s.idle)
	if s.ready(now) {
		l.Waiting = l.Waiting.Add(need)
	} else if s.job.live > 0 {
		l.Coming = l.Coming.Add(need)
	}
}

// countArrival adds a job that was accepted just now to what its service is
// asked for. Lasting tasks are seen in what is used.
func (c *Core) countArrival(j *job) {
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

package scheduler

import (
	"fmt"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// workerCheckInterval is the pause between two checks. Each reads the list of VMs, whose rate all owners share.
const workerCheckInterval = time.Second

// workerCheck is the check of lost workers against the list of VMs.
type workerCheck struct {
	inFlight bool
	nextAt   time.Time
}

// checkLostWorkers orders a check of the lost workers that hold back tasks: their leases have expired, but a start
// without an answer may still be carried out by a next process. A worker whose VM is gone or runs another worker has
// no next process, and its tasks must not wait for one.
func (c *Core) checkLostWorkers(now time.Time) {
	if c.workerCheck.inFlight || now.Before(c.workerCheck.nextAt) {
		return
	}
	var lost []workload.Worker
	for _, w := range c.sortedWorkers {
		if !w.unregistered || !w.unreachable || w.processEnded || now.Before(w.leasesExpireAt) {
			continue
		}
		waiting, longRunning := 0, 0
		for _, r := range w.runs {
			if c.mayOutliveLease(r, now) {
				waiting++
				if r.step.spec.LongRunning {
					longRunning++
				}
			}
		}
		if waiting > 0 {
			lost = append(lost, w.info)
			c.recordDecision(Decision{Verb: "lost-worker-checked", Worker: w.info.ID, Reason: fmt.Sprintf("%d starts without an answer may still be carried out, %d of them of long-running tasks", waiting, longRunning), Age: now.Sub(w.lastReportHandledAt)})
		}
	}
	if len(lost) == 0 {
		return
	}
	c.workerCheck = workerCheck{inFlight: true, nextAt: now.Add(workerCheckInterval)}
	c.orders.WorkerCheck = &WorkerCheckOrder{Workers: lost}
}

// HandleWorkerCheck handles the outcome of a WorkerCheckOrder: the IDs of the workers that have ended, none if the VMs
// could not be listed.
func (c *Core) HandleWorkerCheck(ended []string, now time.Time) {
	c.workerCheck.inFlight = false
	for _, id := range ended {
		if w := c.workers[id]; w != nil && w.unregistered && w.unreachable && !w.processEnded {
			w.processEnded = true
			c.recordDecision(Decision{Verb: "worker-ended", Worker: id, Reason: "its VM is gone or runs another worker", Age: now.Sub(w.lastReportHandledAt)})
		}
	}
}

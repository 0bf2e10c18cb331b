package placement

import (
	"fmt"
	"slices"
	"strings"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
)

// UnplaceableReason returns why the job can never be placed, or "".
func (p *Pool) UnplaceableReason(j *Job) string {
	q, ok := p.Teams[j.Team]
	if !ok {
		return fmt.Sprintf("team %s has no quota in pool %s; add one to the document of service %s", j.Team, p.Name, p.Name)
	}
	if over := exceeds(j.Declared, q.Limit); over != "" {
		return fmt.Sprintf("the job asks for %s, more than the whole quota of team %s in pool %s; ask for less or raise the quota", over, j.Team, p.Name)
	}
	if len(p.Admitted) == 0 || slices.ContainsFunc(p.Admitted, j.Declared.Within) {
		return ""
	}
	over := exceeds(j.Declared, maxOfEach(p.Admitted))
	if over == "" {
		over = "cores, memory and accelerators that are together"
	}
	return fmt.Sprintf("the job asks for %s, more than any worker has that the needs of pool %s admit; split the job or change the pool's needs", over, p.Name)
}

// exceeds names the first resource of want that is over the limit, or returns
// "".
func exceeds(want, limit ledger.Resources) string {
	switch {
	case want.MilliCores > limit.MilliCores:
		return fmt.Sprintf("%s cores of %s", cores(want.MilliCores), cores(limit.MilliCores))
	case want.MemoryMB > limit.MemoryMB:
		return fmt.Sprintf("%d MB of memory of %d", want.MemoryMB, limit.MemoryMB)
	case want.Accelerators > limit.Accelerators:
		return fmt.Sprintf("%d accelerators of %d", want.Accelerators, limit.Accelerators)
	}
	return ""
}

func cores(milli int) string {
	return strings.TrimSuffix(strings.TrimRight(fmt.Sprintf("%.3f", float64(milli)/1000), "0"), ".")
}

var obstacleNames = [obstacleCount]string{
	excluded:            "set aside",
	onProbation:         "kept to one repeatable job after a failure",
	failedBefore:        "where it failed before",
	noSlot:              "without a free slot",
	noCores:             "without the cores",
	noMemory:            "without the memory",
	noAccelerators:      "without the accelerators",
	reservedForUrgent:   "with room that is held back for urgent work",
	reservedForStarving: "with room that is kept for a job that has waited longer",
}

// Explain returns what a queued job waits for, as a text for operators.
func (p *Pool) Explain(j *Job, pol Policy) string {
	if reason := p.UnplaceableReason(j); reason != "" {
		return reason
	}
	q := p.Teams[j.Team]
	if over := exceeds(q.Used.Add(j.Want, 1), q.Limit); over != "" {
		return fmt.Sprintf("waits for the quota of team %s: with it the team would hold %s", j.Team, over)
	}
	if p.waitsForCancellations(j) {
		return fmt.Sprintf("waits a moment, as team %s is cancelling many jobs", j.Team)
	}
	if len(p.Workers) == 0 {
		return fmt.Sprintf("waits for a worker: pool %s has none in service", p.Name)
	}
	var counts [obstacleCount]int
	for i := range p.Workers {
		counts[p.obstacle(&p.Workers[i], j, pol)]++
	}
	if counts[fits] > 0 {
		return "is about to be placed"
	}
	return p.explainCounts(j, counts)
}

func (p *Pool) explainCounts(j *Job, counts [obstacleCount]int) string {
	var parts []string
	for o, n := range counts {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, obstacleNames[o]))
		}
	}
	size := fmt.Sprintf("%s cores, %d MB", cores(j.Want.MilliCores), j.Want.MemoryMB)
	if j.Want.Accelerators > 0 {
		size += fmt.Sprintf(", %d accelerators", j.Want.Accelerators)
	}
	return fmt.Sprintf("waits for room (%s): of %d workers %s", size, len(p.Workers), strings.Join(parts, ", "))
}

package standin

import (
	"context"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/platform"
)

// allTasks yields the ended tasks in the order in which they ended, then the running
// tasks by ID.
func (p *Platform) allTasks() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for _, t := range p.tasks.ended {
			if !yield(t) {
				return
			}
		}
		for _, id := range slices.Sorted(maps.Keys(p.tasks.running)) {
			if !yield(p.tasks.running[id]) {
				return
			}
		}
	}
}

// Usage implements platform.Tasks. It returns the real usage of the tasks that were
// running at AsOf. A throttled task is reported with its current share, also for
// a time before the throttling.
func (p *Platform) Usage(ctx context.Context) ([]platform.Usage, error) {
	if err := p.applyAPIFaults(ctx, "usage"); err != nil {
		return nil, errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	now := p.lockAndAdvance()
	defer p.mu.Unlock()
	asOf := now
	if lag, ok := p.faults.take(UsageLag, now); ok {
		asOf = now.Add(-lag.Delay())
	}
	reports := []platform.Usage{}
	for t := range p.allTasks() {
		if t.wasRunningAt(asOf) {
			reports = append(reports, platform.Usage{
				Task:     t.spec.ID,
				Worker:   t.spec.Worker,
				Cores:    t.realCores * t.share,
				MemoryMB: t.realMemoryMB,
				AsOf:     asOf,
			})
		}
	}
	return reports, nil
}

func (t *task) wasRunningAt(at time.Time) bool {
	if t.started.After(at) {
		return false
	}
	return t.phase == platform.TaskRunning || t.ended.After(at)
}

package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// UnresolvedWorker is a worker that may run tasks of an earlier owner.
type UnresolvedWorker struct {
	ID      string
	Service string // "" if it is unknown
	// Capacity is the most that its tasks may reserve, zero if it is unknown.
	Capacity workload.Resources
}

// unresolvedWorkers are the workers that may run tasks of an earlier owner and have not answered this owner
// yet. There are none if the earlier owner left a handover.
type unresolvedWorkers struct {
	capacities map[string]workload.Resources // by worker
	services   map[string]string             // by worker, as far as known
	// mayLackWorkers is set while it is not known which workers there are.
	mayLackWorkers bool
	// resolved are the workers that have answered this owner, or whose processes have ended.
	resolved map[string]bool
}

func newUnresolvedWorkers(ids []string, mayLackWorkers bool) unresolvedWorkers {
	u := unresolvedWorkers{capacities: map[string]workload.Resources{}, services: map[string]string{}, mayLackWorkers: mayLackWorkers, resolved: map[string]bool{}}
	for _, id := range ids {
		u.capacities[id] = workload.Resources{}
	}
	return u
}

// has reports whether a worker may run tasks of an earlier owner.
func (u *unresolvedWorkers) has(id string) bool {
	_, ok := u.capacities[id]
	return ok || u.mayLackWorkers && !u.resolved[id]
}

func (u *unresolvedWorkers) isEmpty() bool { return len(u.capacities) == 0 && !u.mayLackWorkers }

func (u *unresolvedWorkers) resolve(id string) {
	delete(u.capacities, id)
	u.resolved[id] = true
}

// ids returns the IDs of the known ones, sorted.
func (u *unresolvedWorkers) ids() []string { return slices.Sorted(maps.Keys(u.capacities)) }

// SetUnresolvedWorkers replaces the workers that may run tasks of an earlier owner. isComplete states that
// there are no others. Workers that have answered this owner meanwhile are left out.
func (c *Core) SetUnresolvedWorkers(workers []UnresolvedWorker, isComplete bool) {
	clear(c.unresolved.capacities)
	for _, w := range workers {
		if !c.unresolved.resolved[w.ID] {
			c.unresolved.capacities[w.ID] = w.Capacity
			c.unresolved.services[w.ID] = w.Service
		}
	}
	c.unresolved.mayLackWorkers = !isComplete
	c.planStale = true
}

// EarlierLeasesExpireAt returns when the last lease of an earlier owner has expired.
func (c *Core) EarlierLeasesExpireAt() time.Time { return c.earlierLeasesExpireAt }

// hasUnresolvedWorkers reports whether workers that have not answered this owner may have runs of earlier
// owners.
func (c *Core) hasUnresolvedWorkers(now time.Time) bool {
	return now.Before(c.earlierLeasesExpireAt) && !c.unresolved.isEmpty()
}

// isUnresolved reports whether a worker may have runs of earlier owners that this owner does not know.
func (c *Core) isUnresolved(w *worker, now time.Time) bool {
	return c.unresolved.has(w.info.ID) && (now.Before(c.earlierLeasesExpireAt) || now.Before(w.leasesExpireAt))
}

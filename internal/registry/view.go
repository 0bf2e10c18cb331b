// Package registry follows the list of workers that are registered on the
// platform.
package registry

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// reregistrationTime is how long after the store's return entries of workers that live
// may still be missing: they lapse while it is away and are back within about
// two seconds. A removal in that time says nothing.
const reregistrationTime = 2300 * time.Millisecond

// minOutageDuration is how long reads must have failed for entries to have lapsed.
const minOutageDuration = 500 * time.Millisecond

// View is what is known of the workers. It decides on arguments only.
type View struct {
	workers map[string]workload.Worker
	// removed holds entries that are gone, since when, and may come back.
	removed       map[string]bool
	lastReadAt    time.Time
	outageEndedAt time.Time // end of the latest outage
}

// NewView returns a view that knows no worker.
func NewView() *View {
	return &View{workers: map[string]workload.Worker{}, removed: map[string]bool{}}
}

// RecordSuccessfulRead notes a read that succeeded at now.
func (v *View) RecordSuccessfulRead(now time.Time) {
	if !v.lastReadAt.IsZero() && now.Sub(v.lastReadAt) > minOutageDuration {
		v.outageEndedAt = now
	}
	v.lastReadAt = now
}

// Set takes an entry.
func (v *View) Set(w workload.Worker) {
	v.workers[w.ID] = w
	delete(v.removed, w.ID)
}

// Remove takes the removal of an entry.
func (v *View) Remove(id string) {
	if _, ok := v.workers[id]; ok {
		v.removed[id] = true
	}
}

// Reject takes an entry that names no usable worker. It counts at once, also just
// after an outage: the entry is there and says something else.
func (v *View) Reject(id string) {
	delete(v.workers, id)
	delete(v.removed, id)
}

// Replace takes the complete list.
func (v *View) Replace(list []workload.Worker) {
	present := map[string]bool{}
	for _, w := range list {
		present[w.ID] = true
		v.Set(w)
	}
	for id := range v.workers {
		if !present[id] {
			v.removed[id] = true
		}
	}
}

// IsComplete tells whether the list is complete: no outage has ended just now.
func (v *View) IsComplete(now time.Time) bool {
	return !v.lastReadAt.IsZero() && (v.outageEndedAt.IsZero() || now.Sub(v.outageEndedAt) > reregistrationTime)
}

// List returns the workers that count as registered at now.
func (v *View) List(now time.Time) []workload.Worker {
	if v.IsComplete(now) {
		for id := range v.removed {
			delete(v.workers, id)
			delete(v.removed, id)
		}
	}
	list := make([]workload.Worker, 0, len(v.workers))
	for _, w := range v.workers {
		list = append(list, w)
	}
	return list
}

// Package registry follows the list of workers that are registered on the platform.
package registry

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// reregistrationTime is how long after an outage of the store the entries of live workers
// may be missing. Entries expire during the outage, and live workers register again within
// about 2 s. A removal in that time does not mean that the worker is gone.
const reregistrationTime = 2300 * time.Millisecond

// minReadGap is the time between successful reads beyond which entries may have expired: the
// store did not answer, or the follower did not read because the list was not in use.
const minReadGap = 500 * time.Millisecond

// sightingTime is for how long the process of a worker is remembered that is not registered any more. It is longer
// than the 13 s after which orders to it have no effect any more, and the entry of the next one may follow late.
const sightingTime = 16 * time.Second

// sighting is the process of a worker that was registered last.
type sighting struct {
	incarnation int64
	restarted   bool
	seenAt      time.Time
}

// View holds the registered workers. All times are passed in by the caller.
type View struct {
	workers map[string]workload.Worker
	// sightings has the workers that were registered within sightingTime, by ID.
	sightings map[string]sighting
	// removed holds the IDs of workers whose entries are gone and may come back.
	removed        map[string]bool
	lastReadAt     time.Time
	readGapEndedAt time.Time // first read after the latest gap
}

// NewView returns an empty view.
func NewView() *View {
	return &View{workers: map[string]workload.Worker{}, removed: map[string]bool{}, sightings: map[string]sighting{}}
}

// RecordSuccessfulRead records that a read succeeded at now.
func (v *View) RecordSuccessfulRead(now time.Time) {
	if !v.lastReadAt.IsZero() && now.Sub(v.lastReadAt) > minReadGap {
		v.readGapEndedAt = now
	}
	v.lastReadAt = now
}

// Set adds or replaces a worker.
func (v *View) Set(w workload.Worker) {
	w.Restarted = v.recordSighting(w)
	v.workers[w.ID] = w
	delete(v.removed, w.ID)
}

// recordSighting records that a process is registered, and reports whether another one had its ID shortly before.
func (v *View) recordSighting(w workload.Worker) bool {
	s, isKnown := v.sightings[w.ID]
	if _, isRegistered := v.workers[w.ID]; !isRegistered && v.lastReadAt.Sub(s.seenAt) > sightingTime {
		s, isKnown = sighting{}, false
	}
	s.restarted = s.restarted || isKnown && s.incarnation != w.Incarnation
	s.incarnation, s.seenAt = w.Incarnation, v.lastReadAt
	v.sightings[w.ID] = s
	return s.restarted
}

// dropOldSightings drops the sightings of workers that have not been registered for sightingTime.
func (v *View) dropOldSightings(now time.Time) {
	for id, s := range v.sightings {
		if _, ok := v.workers[id]; !ok && now.Sub(s.seenAt) > sightingTime {
			delete(v.sightings, id)
		}
	}
}

// Remove marks a worker as removed. List drops it unless the view is incomplete.
func (v *View) Remove(id string) {
	if _, ok := v.workers[id]; ok {
		v.removed[id] = true
	}
}

// Reject drops a worker whose entry became unusable. Unlike Remove it always takes effect
// immediately, also while the view is incomplete: the entry is present and names no usable
// worker.
func (v *View) Reject(id string) {
	delete(v.workers, id)
	delete(v.removed, id)
}

// Replace sets the result of a full read. Workers that are not on it are marked as removed.
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

// IsComplete reports whether the list has all live workers: a read has succeeded, and no gap
// in the reads has ended within reregistrationTime.
func (v *View) IsComplete(now time.Time) bool {
	return !v.lastReadAt.IsZero() && (v.readGapEndedAt.IsZero() || now.Sub(v.readGapEndedAt) > reregistrationTime)
}

// List returns the workers that count as registered at now. Removed workers count until the
// view is complete; List then deletes them.
func (v *View) List(now time.Time) []workload.Worker {
	if v.IsComplete(now) && len(v.removed) > 0 {
		for id := range v.removed {
			s := v.sightings[id]
			s.seenAt = now
			v.sightings[id] = s
			delete(v.workers, id)
			delete(v.removed, id)
		}
		v.dropOldSightings(now)
	}
	list := make([]workload.Worker, 0, len(v.workers))
	for _, w := range v.workers {
		list = append(list, w)
	}
	return list
}

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

// historyTime is for how long an ID must have been unknown for a worker to count as new. It is longer than the 13 s
// after which orders to an earlier process have no effect any more, and its new entry may follow late.
const historyTime = 16 * time.Second

// maxHistoryGap is the time between successful reads beyond which a worker may have started and restarted unseen.
const maxHistoryGap = 3 * time.Second

// sighting is when a process of a worker was last registered.
type sighting struct {
	incarnation      int64
	mayHaveRestarted bool
	seenAt           time.Time
}

// View holds the registered workers. All times are passed in by the caller.
type View struct {
	workers map[string]workload.Worker
	// sightings has the workers that were registered within historyTime, by ID. It is complete since historySince.
	sightings    map[string]sighting
	historySince time.Time
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
	if v.lastReadAt.IsZero() || now.Sub(v.lastReadAt) > maxHistoryGap {
		v.historySince = now
	}
	v.lastReadAt = now
}

// Set adds or replaces a worker.
func (v *View) Set(w workload.Worker) {
	w.MayHaveRestarted = v.recordSighting(w)
	v.workers[w.ID] = w
	delete(v.removed, w.ID)
}

// recordSighting records that a process is registered, and reports whether another one may have had its ID shortly
// before.
func (v *View) recordSighting(w workload.Worker) bool {
	s, isKnown := v.sightings[w.ID]
	switch {
	case !isKnown:
		s.mayHaveRestarted = v.lastReadAt.Sub(v.historySince) < historyTime
	case s.incarnation != w.Incarnation:
		s.mayHaveRestarted = true
	}
	s.incarnation, s.seenAt = w.Incarnation, v.lastReadAt
	v.sightings[w.ID] = s
	return s.mayHaveRestarted
}

// dropOldSightings drops the sightings of workers that have not been registered for historyTime.
func (v *View) dropOldSightings(now time.Time) {
	for id, s := range v.sightings {
		if _, ok := v.workers[id]; !ok && now.Sub(s.seenAt) > historyTime {
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

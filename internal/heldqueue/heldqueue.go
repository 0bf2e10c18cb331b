// Package heldqueue decides about requests that can't be stored at the moment: which of them are held in
// the node's memory, in which order and how fast they are tried again, and which are sent away for want
// of memory.
package heldqueue

import "time"

const (
	// minProbeInterval and maxProbeInterval bound the time between tries while none succeeds. A try costs
	// a call to the store, or to other nodes.
	minProbeInterval = 60 * time.Millisecond
	maxProbeInterval = 240 * time.Millisecond
	// probeTimeout is the time after which a try without an outcome no longer keeps others waiting.
	probeTimeout = 500 * time.Millisecond
	// maxConcurrentTries bounds the tries at once after the store's return: what one append takes.
	maxConcurrentTries = 32
	// maxHoldTime is for how long a request may be held. A caller that is told nothing certain comes back at
	// once, whatever Retry-After says, and has some five attempts: together they have to span its time.
	maxHoldTime = 700 * time.Millisecond
	// responseMargin is the part of a caller's timeout that is reserved for its response.
	responseMargin = 100 * time.Millisecond
)

// MaxHold returns for how long the request of a caller with a timeout may be held.
func MaxHold(timeout time.Duration) time.Duration {
	return max(0, min(maxHoldTime, timeout-responseMargin))
}

// ID identifies a held request in its node.
type ID uint64

// Request is a held request.
type Request struct {
	ID        ID
	Workspace string // "" without one
	Bytes     int    // of its body
	// FirstAttemptAt is when the caller sent the request for the first time, as far as the node knows.
	FirstAttemptAt time.Time
}

// Limits bound the memory of held requests.
type Limits struct{ Requests, Bytes int }

// entry is a held request and the try that is under way, if any.
type entry struct {
	Request
	triedAt time.Time // zero while it waits
}

// Queue holds requests and paces their tries: one at a time while the store is away, then twice as many
// after each success. It is not safe for concurrent use.
type Queue struct {
	limits  Limits
	entries []entry
	bytes   int
	// tries counts the tries of each workspace since the queue was last empty.
	tries         map[string]int
	window        int
	probeInterval time.Duration
	nextProbeAt   time.Time
	lastTryAt     time.Time
}

// New returns an empty queue.
func New(l Limits) *Queue {
	q := &Queue{limits: l}
	q.reset()
	return q
}

// reset forgets what was learnt while requests were held.
func (q *Queue) reset() {
	q.tries, q.window, q.probeInterval, q.nextProbeAt = map[string]int{}, 1, minProbeInterval, time.Time{}
}

// Len returns the number of held requests.
func (q *Queue) Len() int { return len(q.entries) }

// Add holds a request whose try has failed. If that exceeds the limits, requests are sent away, each the
// youngest of the workspace that has the most: r may be among them.
func (q *Queue) Add(r Request, now time.Time) (sentAway []ID) {
	if len(q.entries) == 0 {
		q.nextProbeAt = now.Add(q.probeInterval)
	}
	q.entries = append(q.entries, entry{Request: r})
	q.bytes += r.Bytes
	for len(q.entries) > q.limits.Requests || q.bytes > q.limits.Bytes {
		i := q.leastEntitled()
		if i < 0 {
			break
		}
		sentAway = append(sentAway, q.entries[i].ID)
		q.removeAt(i)
	}
	return sentAway
}

// leastEntitled returns the index of the youngest waiting request of the workspace that has the most
// waiting requests, -1 if none waits.
func (q *Queue) leastEntitled() int {
	waiting := map[string]int{}
	for _, e := range q.entries {
		if e.triedAt.IsZero() {
			waiting[e.Workspace]++
		}
	}
	found := -1
	for i, e := range q.entries {
		if !e.triedAt.IsZero() {
			continue
		}
		if found < 0 || waiting[e.Workspace] > waiting[q.entries[found].Workspace] ||
			waiting[e.Workspace] == waiting[q.entries[found].Workspace] && !e.FirstAttemptAt.Before(q.entries[found].FirstAttemptAt) {
			found = i
		}
	}
	return found
}

// Remove removes a request: it was stored, its time is over or its caller has left.
func (q *Queue) Remove(id ID) {
	if i := q.indexOf(id); i >= 0 {
		q.removeAt(i)
	}
}

func (q *Queue) indexOf(id ID) int {
	for i, e := range q.entries {
		if e.ID == id {
			return i
		}
	}
	return -1
}

func (q *Queue) removeAt(i int) {
	q.bytes -= q.entries[i].Bytes
	q.entries = append(q.entries[:i], q.entries[i+1:]...)
	if len(q.entries) == 0 {
		q.reset()
	}
}

// Next marks the requests that are to be tried now and returns them. next is when it must be called
// again if nothing else happens before, zero if no request waits.
func (q *Queue) Next(now time.Time) (tries []ID, next time.Time) {
	for {
		i := q.firstInLine()
		if i < 0 {
			return tries, time.Time{}
		}
		free, freeAt := q.hasFreeTry(now)
		if !free {
			return tries, freeAt
		}
		if q.window == 1 && now.Before(q.nextProbeAt) {
			return tries, q.nextProbeAt
		}
		e := &q.entries[i]
		e.triedAt = now
		q.tries[e.Workspace]++
		q.lastTryAt, q.nextProbeAt = now, now.Add(q.probeInterval)
		tries = append(tries, e.ID)
	}
}

// hasFreeTry reports whether another request may be tried, and when the next pending try no longer counts.
func (q *Queue) hasFreeTry(now time.Time) (free bool, freeAt time.Time) {
	underWay := 0
	for _, e := range q.entries {
		expiry := e.triedAt.Add(probeTimeout)
		if e.triedAt.IsZero() || !now.Before(expiry) {
			continue
		}
		underWay++
		if freeAt.IsZero() || expiry.Before(freeAt) {
			freeAt = expiry
		}
	}
	return underWay < q.window, freeAt
}

// firstInLine returns the index of the waiting request to try next, -1 if none waits: workspaces take
// turns, and each has its oldest request tried.
func (q *Queue) firstInLine() int {
	found := -1
	for i, e := range q.entries {
		if !e.triedAt.IsZero() {
			continue
		}
		if found < 0 {
			found = i
			continue
		}
		f := q.entries[found]
		if d := q.tries[e.Workspace] - q.tries[f.Workspace]; d < 0 || d == 0 && e.FirstAttemptAt.Before(f.FirstAttemptAt) {
			found = i
		}
	}
	return found
}

// Failed records that a try had no effect. The request waits again, in its former place.
func (q *Queue) Failed(id ID, now time.Time) {
	i := q.indexOf(id)
	if i < 0 {
		return
	}
	q.entries[i].triedAt = time.Time{}
	q.tries[q.entries[i].Workspace]--
	if q.window == 1 {
		q.probeInterval = min(2*q.probeInterval, maxProbeInterval)
	}
	q.window = 1
	q.nextProbeAt = now.Add(q.probeInterval)
}

// Stored records that a request was stored and removes it.
func (q *Queue) Stored(id ID) {
	q.window = min(2*q.window, maxConcurrentTries)
	q.probeInterval = minProbeInterval
	q.Remove(id)
}

// StoreAnswers records that the store answers this node: the next request is tried at once, unless one was
// tried just before. Records of one partition may be stored while those of another are refused.
func (q *Queue) StoreAnswers(now time.Time) {
	q.probeInterval = minProbeInterval
	if earliest := q.lastTryAt.Add(minProbeInterval); now.Before(earliest) {
		now = earliest
	}
	if now.Before(q.nextProbeAt) {
		q.nextProbeAt = now
	}
}

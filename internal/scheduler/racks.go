package scheduler

import (
	"fmt"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/rackhealth"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

const (
	// rackCheckInterval is the shortest time between two checks of the racks.
	rackCheckInterval = 25 * time.Millisecond
	// rackProbeInterval is the pause between polls of a worker whose rack is doubtful or suspect.
	rackProbeInterval = 200 * time.Millisecond
	// rackProbeTimeout is how long a suspect rack's workers may leave the first such poll unanswered
	// before they are reported as unusable, so that the pool gets other VMs.
	rackProbeTimeout = 150 * time.Millisecond
	// maxWitnesses is how many workers of other racks are polled during a doubt.
	maxWitnesses = 8
	// minRackWorkers is the number of workers of one service from which a rack counts as a failure
	// domain.
	minRackWorkers = 4
)

// rackWatch watches the racks for a common failure of their workers (package rackhealth). It is
// inactive unless at least two racks have minRackWorkers workers of one service.
type rackWatch struct {
	tracker     *rackhealth.Tracker
	active      bool
	lastCheckAt time.Time
	// answerDelay is the moving average of the time from a start to its answer.
	answerDelay time.Duration
	// witnesses are workers of trusted racks that are polled while another rack is doubtful, by ID.
	witnesses map[string]bool
	// suspectSince is when a rack became suspect, by the rack's name. It has no entry for others.
	suspectSince map[string]time.Time
}

// answerDelayWindow is the number of starts over which their answers' delay is averaged: a twentieth of
// a second in a peak.
const answerDelayWindow = 32

// isWatching reports whether the racks are checked. If the list of workers shrinks while a rack is suspect,
// they are checked until it is trusted, as its workers get no starts without a proof.
func (r *rackWatch) isWatching() bool { return r.active || len(r.suspectSince) > 0 }

// recordAnswerDelay records the time from a start to its answer.
func (r *rackWatch) recordAnswerDelay(delay time.Duration) {
	r.answerDelay += (delay - r.answerDelay) / answerDelayWindow
}

// updateRacks decides from the list of workers whether racks are watched.
func (c *Core) updateRacks() {
	type rackOfService struct{ service, rack string }
	sizes := map[rackOfService]int{}
	large := map[string]bool{}
	for _, w := range c.sortedWorkers {
		rack := w.info.Rack()
		if rack == "" || w.unregistered {
			continue
		}
		key := rackOfService{w.info.Service, rack}
		if sizes[key]++; sizes[key] >= minRackWorkers {
			large[rack] = true
		}
	}
	c.racks.active = len(large) > 1
}

// watchRacks updates which racks are suspect.
func (c *Core) watchRacks(now time.Time) {
	r := &c.racks
	if r.tracker == nil {
		r.tracker, r.suspectSince = rackhealth.New(), map[string]time.Time{}
	}
	if !r.isWatching() || now.Before(r.lastCheckAt.Add(rackCheckInterval)) {
		return
	}
	r.lastCheckAt = now
	members := rackhealth.Racks{}
	for _, w := range c.sortedWorkers {
		if rack := w.info.Rack(); rack != "" && w.showsRackHealth() {
			members[rack] = append(members[rack], rackhealth.Member{ID: w.info.ID, LastHeardAt: w.lastHeardAt, AnsweredAsk: w.answeredAsk, OverdueSince: w.updateOverdue(now)})
		}
	}
	var changes []rackhealth.Change
	if now.Before(c.stalledUntil) {
		changes = r.tracker.ObserveAnswers(members, now) // the answers of silent workers may be unread
	} else {
		changes = r.tracker.Observe(members, r.answerDelay, now)
	}
	for _, change := range changes {
		c.applyRackChange(change, now)
	}
	c.chooseWitnesses()
}

// chooseWitnesses chooses workers of trusted racks that are polled while another rack is doubtful: if they
// don't answer either, that rack is not to blame.
func (c *Core) chooseWitnesses() {
	r := &c.racks
	r.witnesses = nil
	if !r.tracker.HasDoubt() {
		return
	}
	r.witnesses = map[string]bool{}
	for _, w := range c.sortedWorkers {
		rack := w.info.Rack()
		if rack != "" && w.synced && !w.unreachable && w.showsRackHealth() && r.tracker.State(rack) == rackhealth.Trusted {
			r.witnesses[w.info.ID] = true
		}
		if len(r.witnesses) == maxWitnesses {
			return
		}
	}
}

func (c *Core) applyRackChange(change rackhealth.Change, now time.Time) {
	c.planStale = true
	d := Decision{Verb: "rack-trusted", Rack: change.Rack, Age: change.Lasted, AlwaysLogged: true}
	d.Reason = fmt.Sprintf("%d of %d workers are silent", change.Silent, change.Members)
	if change.State == rackhealth.Trusted {
		delete(c.racks.suspectSince, change.Rack)
	} else {
		c.Counts.SuspectRacks++
		c.racks.suspectSince[change.Rack] = now
		d.Verb = "rack-suspect"
		d.Reason += fmt.Sprintf(", %d starts are unanswered", c.releaseStartsOnRack(change.Rack))
	}
	c.recordDecision(d)
}

// releaseStartsOnRack stops counting the unanswered starts on a rack as in flight, and returns their
// number.
func (c *Core) releaseStartsOnRack(rack string) int {
	released := 0
	for _, w := range c.sortedWorkers {
		if w.info.Rack() != rack {
			continue
		}
		for _, r := range w.runs {
			if r.state == runStarting && c.startsInFlight.release(r) {
				released++
			}
		}
	}
	return released
}

// showsRackHealth reports whether the worker's silence may show a failure of its rack. A worker that
// leaves with its VM, or has never answered, falls silent for reasons of its own.
func (w *worker) showsRackHealth() bool {
	return !w.lastHeardAt.IsZero() && !w.info.Leaving && !w.replaced && w.drainUntil.IsZero() && !w.drainEndedAt.After(w.lastHeardAt)
}

// recordHeard records that the worker has answered what was sent at sentAt.
func (w *worker) recordHeard(sentAt, now time.Time) {
	w.lastHeardAt = now
	if sentAt.After(w.answeredAsk) {
		w.answeredAsk = sentAt
	}
}

// isFromWorker reports whether an outcome shows that the worker's own process has answered.
func isFromWorker(s workload.WorkerStatus) bool {
	switch s {
	case workload.WorkerReplaced, workload.WorkerNotSent, workload.WorkerConnRefused, workload.WorkerOutcomeUnknown:
		return false
	}
	return true
}

// updateOverdue records since when the worker has left an order or a poll unanswered and returns that
// time, zero if it has answered since or nothing is due.
func (w *worker) updateOverdue(now time.Time) time.Time {
	since := w.overdueSince
	if !since.After(w.lastHeardAt) {
		since = time.Time{}
	}
	note := func(at time.Time) {
		if at.After(w.lastHeardAt) && at.Before(now) && (since.IsZero() || at.Before(since)) {
			since = at
		}
	}
	for _, r := range w.runs {
		if r.state == runStarting {
			note(r.orderedAt)
		}
	}
	if w.pollInFlight {
		note(w.firstPollDueAt)
	}
	if w.unreachable {
		note(w.unreachableSince)
	}
	w.overdueSince = since
	return since
}

// isRackProbed reports whether a worker is polled because its rack is doubtful, because another is and it is a
// witness, or because its rack is suspect and it has no proof yet.
func (c *Core) isRackProbed(w *worker, now time.Time) bool {
	if !c.racks.isWatching() || now.Sub(w.lastAnsweredPollSentAt) < rackProbeInterval {
		return false
	}
	if c.racks.witnesses[w.info.ID] {
		return true
	}
	switch c.racks.tracker.State(w.info.Rack()) {
	case rackhealth.Doubtful:
		return true
	case rackhealth.Suspect:
		return !c.isRackAdmitted(w, now)
	}
	return false
}

// isRackAdmitted reports whether a worker may get starts as far as its rack is concerned.
func (c *Core) isRackAdmitted(w *worker, now time.Time) bool {
	return len(c.racks.suspectSince) == 0 || c.racks.tracker.Admits(w.info.Rack(), w.info.ID, now)
}

// isRackDark reports whether a worker's rack is suspect and the worker has not answered since.
func (c *Core) isRackDark(w *worker, now time.Time) bool {
	since, suspect := c.racks.suspectSince[w.info.Rack()]
	return suspect && now.Sub(since) >= rackProbeTimeout && !c.racks.tracker.Answers(w.info.Rack(), w.info.ID)
}

// sharedRackPenalty keeps tasks apart that replace each other: long-running tasks of a step with a
// MaxUnavailable and speculative copies. For one task it outweighs colocationWeight and utilization.
const sharedRackPenalty = 2.2

// rackScore returns the part of a worker's score that its rack makes up.
func (s *step) rackScore(w *worker, t *task) float64 {
	rack := w.info.Rack()
	switch {
	case rack == "":
		return 0
	case s.spec.LongRunning && s.spec.MaxUnavailable > 0:
		return -sharedRackPenalty * float64(s.liveRunsByRack[rack])
	case !s.spec.LongRunning && len(t.runs) > 0 && t.runs[0].rack == rack:
		return -sharedRackPenalty
	}
	return 0
}

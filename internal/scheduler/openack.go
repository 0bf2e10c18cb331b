package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// An acknowledgement without an answer is open: it may be carried out seconds later, by the next process of its worker,
// whose exits are numbered from 1 again. That process then drops its first exits unread, and nothing tells how their
// runs have ended.
//
//   - While an acknowledgement is open and its worker does not answer, polls are probes, with the lowest token. So is the
//     first poll of a restarted worker after a takeover, as an earlier owner may have left one open. A process that
//     accepts a probe has carried nothing out yet, and the poll that follows fences the acknowledgement. One that refuses
//     it may have carried the acknowledgement out.
//   - A process that may have carried it out runs only tasks that may start again, until it lists an exit that it would
//     have dropped, for example that of an exit trial (exittrial.go). Later owners learn that from the store.

// probeToken is a fencing token below those of all owners.
const probeToken = 1

// openAck is an acknowledgement without an answer.
type openAck struct {
	upTo        int64
	incarnation int64 // of the process that it was sent to
	sentAt      time.Time
}

// ackState is what is known of a worker's acknowledgements. It outlasts the worker's removal.
type ackState struct {
	open []openAck
	// checkedIncarnation is the last incarnation for which it was found out whether it may drop exits.
	checkedIncarnation int64
	// mayDropExitsUpTo is the highest sequence number up to which the incarnation may drop its exits unread, 0 for none.
	mayDropExitsUpTo int64
	dropsExits       bool // an exit trial has shown that it does
	// probeInFlight is set while the poll in flight is a probe.
	probeInFlight bool
	probeRefused  bool // a probe was refused after the last report
}

// afterRemoval returns what stays known of a removed worker.
func (a *ackState) afterRemoval() ackState {
	return ackState{open: a.open, checkedIncarnation: a.checkedIncarnation, mayDropExitsUpTo: a.mayDropExitsUpTo, dropsExits: a.dropsExits}
}

// record records that an acknowledgement is sent.
func (a *ackState) record(ack openAck) {
	if ack.upTo > 0 {
		a.open = append(a.open, ack)
	}
}

// close records the outcome of a poll: its acknowledgement is not open any more if the process that it was sent to has
// answered it.
func (a *ackState) close(r PollResult) {
	i := slices.IndexFunc(a.open, func(o openAck) bool { return o.upTo == r.AckedUpTo && o.incarnation == r.Report.Incarnation })
	if i >= 0 && r.Answer.Status == workload.WorkerOK {
		a.open = slices.Delete(a.open, i, i+1)
	}
}

// hasOpen reports whether an acknowledgement may still be carried out, or may have been carried out without an answer
// by a process that has not been reached yet.
func (a *ackState) hasOpen(now time.Time) bool {
	a.open = slices.DeleteFunc(a.open, func(o openAck) bool { return now.After(o.sentAt.Add(maxOrderDelay)) })
	return len(a.open) > 0
}

// mayHaveEarlierAck reports whether a worker's process may have carried out an acknowledgement of an earlier owner to an
// earlier process, and no owner has checked that.
func (c *Core) mayHaveEarlierAck(w *worker, now time.Time) bool {
	return w.info.Restarted && w.info.Incarnation != w.acks.checkedIncarnation && c.mayHaveEarlierOrders(now) && c.isYoung(w.info.Incarnation, now)
}

// needsProbe reports whether the next poll of a worker must be a probe: another process may answer. If the worker has
// answered something just now, it has not restarted since, and the next poll shows which process it is.
func (c *Core) needsProbe(w *worker, now time.Time) bool {
	return (w.unreachable || !w.synced || w.entryMismatch) && now.Sub(w.lastHeardAt) >= maxAckReportAge && (w.acks.hasOpen(now) || c.mayHaveEarlierAck(w, now))
}

// sendProbe polls a worker with a probe.
func (c *Core) sendProbe(w *worker, now time.Time) {
	w.ackSent = 0
	w.pollInFlight, w.acks.probeInFlight = true, true
	w.pollAnswerDueAt = now.Add(pollAnswerSlack)
	w.firstPollDueAt = now
	c.orders.Polls = append(c.orders.Polls, PollOrder{Worker: w.info, Poll: workload.Poll{Token: probeToken, ShortTimeout: true}, Probe: true})
}

// handleProbeResult handles the outcome of a probe.
func (c *Core) handleProbeResult(w *worker, r PollResult, now time.Time) {
	if r.Extra {
		w.extraPollsInFlight--
	} else if w.acks.probeInFlight {
		w.pollInFlight, w.acks.probeInFlight = false, false
	}
	if r.SentAt.Before(w.lastAnsweredPollSentAt) {
		return
	}
	if isFromWorker(r.Answer.Status) {
		if w.acks.probeInFlight {
			w.pollInFlight, w.acks.probeInFlight = false, false
		}
		w.nextPollAt, w.pollAnswerDueAt = now, now
	}
	switch r.Answer.Status {
	case workload.WorkerOK:
		w.acks.checkedIncarnation = r.Report.Incarnation
		if w.isOtherIncarnation(r) {
			w.lastAnsweredPollSentAt = r.SentAt
			c.handleRestart(w, r.Report.Incarnation, restartReason(w.incarnation, r.Report.Incarnation), now)
		}
	case workload.WorkerFenced:
		w.acks.probeRefused = true
	case workload.WorkerReplaced:
		c.handleReplaced(w, now)
	default:
		c.handlePollFailure(w, r, now)
	}
}

// checkOpenAcks finds out whether an incarnation that has answered a poll may have carried out an acknowledgement to an
// earlier one. No probe has shown that it has not.
func (c *Core) checkOpenAcks(w *worker, incarnation int64, now time.Time) {
	wasRefused := w.acks.probeRefused
	w.acks.probeRefused = false
	if incarnation == 0 || incarnation == w.acks.checkedIncarnation {
		return
	}
	upTo := int64(0)
	if w.acks.hasOpen(now) {
		for _, o := range w.acks.open {
			if o.incarnation != incarnation {
				upTo = max(upTo, o.upTo)
			}
		}
	}
	if wasRefused && incarnation == w.info.Incarnation && c.mayHaveEarlierAck(w, now) {
		upTo = math.MaxInt64
	}
	w.acks.checkedIncarnation = incarnation
	c.setMayDropExits(w, upTo)
	if upTo > 0 {
		c.recordDecision(Decision{Verb: "exits-may-be-dropped", Worker: w.info.ID, Reason: "it may have carried out an acknowledgement to an earlier process", AlwaysLogged: true})
	}
}

// checkedAcks returns what later owners must know of restarted workers, by ID.
func (c *Core) checkedAcks() map[string]workload.CheckedAcks {
	checked := map[string]workload.CheckedAcks{}
	for _, w := range c.sortedWorkers {
		if (w.info.Restarted || !w.restartDetectedAt.IsZero()) && w.acks.checkedIncarnation != 0 {
			checked[w.info.ID] = workload.CheckedAcks{Incarnation: w.acks.checkedIncarnation, MayDropExitsUpTo: w.acks.mayDropExitsUpTo}
		}
	}
	return checked
}

// setMayDropExits sets up to which sequence number a worker may drop its exits unread. Later owners must know it.
func (c *Core) setMayDropExits(w *worker, upTo int64) {
	if w.acks.mayDropExitsUpTo != upTo {
		w.acks.mayDropExitsUpTo, w.acks.dropsExits = upTo, false
		c.longLeases.added = true
		c.planStale = true
	}
}

// mayStartAgain reports whether a task of the step may start again although an earlier run may have ended as done.
func (s *step) mayStartAgain() bool { return s.spec.LongRunning || s.spec.Speculative }

package scheduler_test

import (
	"math"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// fakeOwner runs a Core as the owner's process does.
type fakeOwner struct {
	world        *world
	core         *scheduler.Core
	epoch        int64
	coreStarted  bool
	stopped      bool // killed, replaced or stepped down: handles and sends nothing any more
	killed       bool
	pendingWrite *scheduler.WriteOrder
	// Until slowUntil the process is slow: deliveries are delayed, in order, and steps are far
	// apart.
	slowUntil      time.Time
	lastDeliveryAt time.Time // when the latest delayed delivery is handled
	// deliveryDelay is how late each answer is handled. Until stalledUntil the process handles none and makes
	// no step.
	deliveryDelay time.Duration
	stalledUntil  time.Time
	// links holds the faulty links to workers, by worker ID. storeUnreachable is set while this
	// owner can't reach the store.
	links            map[string]linkFault
	storeUnreachable bool
	config           *workload.Config // the last one that was applied in step
	// confirmedAt is when the members last confirmed its ownership of the partition.
	confirmedAt time.Time
	// processor models the CPU time of the owner's work. If nil, the work takes no time.
	processor *processor
	readUpTo  int64 // offset from which it reads on
	// takeoverStoredAt is when the record of its takeover was stored.
	takeoverStoredAt time.Time
}

// deliver delivers an answer to the owner's process, which handles answers in order.
func (o *fakeOwner) deliver(action func()) {
	w := o.world
	if o.processor != nil {
		o.processor.deliverAnswer(o, action)
		return
	}
	deliverAt := w.now.Add(o.deliveryDelay)
	if deliverAt.Before(o.stalledUntil) {
		deliverAt = o.stalledUntil
	}
	if w.now.Before(o.slowUntil) {
		deliverAt = w.now.Add(w.durationBetween(0, 1500*time.Millisecond))
	}
	if deliverAt.Before(o.lastDeliveryAt) {
		deliverAt = o.lastDeliveryAt
	}
	o.lastDeliveryAt = deliverAt
	w.after(deliverAt.Sub(w.now), func() {
		if !o.stopped {
			action()
			o.step()
		}
	})
}

var testConfig = &workload.Config{
	Version: 1,
	Queues: []workload.Queue{
		{Name: "quick", Service: "service", MaxAttempts: 3, Stretch: 1.6, Objective: 600 * time.Millisecond},
		{Name: "slow", Service: "service", Priority: 1, MaxAttempts: 3, Stretch: 1.6, Objective: 600 * time.Millisecond},
	},
	Services: []workload.Service{{Name: "service", EnforcesCapacity: true}},
}

// takeOver starts a new owner as the owner package does: it fences first, then reads.
func (w *world) takeOver() {
	w.epoch++
	o := &fakeOwner{world: w, epoch: w.epoch}
	w.owner = o
	w.owners = append(w.owners, o)
	o.fence()
}

func (o *fakeOwner) fence() {
	w := o.world
	if o.stopped {
		return
	}
	if o.storeUnreachable || !w.store.fence(o.epoch) {
		w.after(100*time.Millisecond, o.fence)
		return
	}
	w.store.put(workload.Record{Fence: &workload.Fence{Epoch: o.epoch}})
	w.wakeReaders()
	w.after(w.durationBetween(5*time.Millisecond, 30*time.Millisecond), o.load)
}

func (o *fakeOwner) load() {
	w := o.world
	if o.stopped {
		return
	}
	records := w.store.records()
	o.readUpTo = int64(len(w.store.log))
	if handover, lastEpoch := lastHandover(records); handover == nil && lastEpoch > 0 && w.previousOwnerReachableProbability > 0 {
		w.after(w.durationBetween(2*time.Millisecond, 40*time.Millisecond), func() { o.startCore(records) })
		return
	}
	o.startCore(records)
}

// startCore creates the Core from the records that were read and from the handover of the previous
// owner, if that one left or returns one.
func (o *fakeOwner) startCore(records []workload.Record) {
	w := o.world
	if o.stopped {
		return
	}
	handover, lastEpoch := lastHandover(records)
	var fromPrevious []workload.Record
	if handover == nil {
		if fromPrevious = w.requestHandover(lastEpoch); fromPrevious != nil {
			handover, _ = lastHandover(append([]workload.Record{{Takeover: &workload.Takeover{Epoch: lastEpoch}}}, fromPrevious...))
			records = w.store.records()
			o.readUpTo = int64(len(w.store.log))
		}
	}
	var unresolvedWorkers []string
	if handover == nil {
		for _, info := range w.registry {
			unresolvedWorkers = append(unresolvedWorkers, info.ID)
		}
		for _, id := range w.workerIDs() { // their VMs still name them
			if f := w.workers[id]; f.partitioned && !f.terminated && !slices.Contains(unresolvedWorkers, id) {
				unresolvedWorkers = append(unresolvedWorkers, id)
			}
		}
	}
	settings := testSettings(o.epoch)
	settings.MaxOwnerOverlap = membershipTTL
	settings.EarlierOwnersInLogOrder = true
	if w.fleet != nil {
		w.fleet.setPartition(&settings, w)
	}
	o.core = scheduler.New(settings, w.now, unresolvedWorkers, false)
	o.confirmOwnership()
	o.core.SetConfig(w.config())
	o.core.SetLogEnd(o.readUpTo)
	for _, r := range records {
		if r.Loans != nil {
			o.core.RestoreLoans(r.Loans)
		}
		if r.LongLeases != nil {
			o.core.RestoreLongLeases(r.LongLeases)
		}
		if r.Submission != nil {
			o.core.AddSnapshotJob(r.Job, r.Submission, r.Offset)
			continue
		}
		o.applyRecord(r)
	}
	for _, r := range fromPrevious {
		if r.LongLeases != nil {
			o.core.RestoreLongLeases(r.LongLeases)
		}
	}
	newerProgress := map[workload.JobID]*workload.Progress{}
	for _, r := range fromPrevious {
		if r.Progress != nil {
			newerProgress[r.Job] = r.Progress
		}
	}
	for _, r := range records {
		if r.Progress != nil && newerProgress[r.Job] == nil {
			o.core.RestoreProgress(r.Job, r.Progress)
		}
	}
	for _, r := range fromPrevious {
		if r.Progress != nil {
			o.core.RestoreUnstoredProgress(r.Job, r.Progress)
		}
	}
	if handover != nil {
		o.core.RestoreHandover(handover, w.now)
	}
	o.coreStarted = true
	o.readLog() // what was stored since the first read
	o.processor = w.processor
	o.tick()
}

// lastHandover returns the handover of the last owner, nil if that owner stored none, and the last
// owner's epoch.
func lastHandover(records []workload.Record) (handover *workload.Handover, lastEpoch int64) {
	for _, r := range records {
		if r.Handover != nil {
			handover = r.Handover
		}
		if r.Takeover != nil {
			lastEpoch = r.Takeover.Epoch
		}
	}
	if handover != nil && handover.Epoch != lastEpoch {
		handover = nil
	}
	return handover, lastEpoch
}

// requestHandover stops the owner of an epoch and returns its unstored handover records. It returns
// nil if that owner can't be reached, was killed, had not started or has no handover.
func (w *world) requestHandover(epoch int64) []workload.Record {
	if w.previousOwnerReachableProbability == 0 || !w.chance(w.previousOwnerReachableProbability) {
		return nil
	}
	for _, previous := range w.owners {
		if previous.epoch != epoch || previous.killed || !previous.coreStarted {
			continue
		}
		previous.stopped = true
		records := previous.core.HandoverRecordsForNextOwner(w.now)
		if handover, _ := lastHandover(append([]workload.Record{{Takeover: &workload.Takeover{Epoch: epoch}}}, records...)); handover != nil {
			w.directHandovers++
			return records
		}
	}
	return nil
}

func (o *fakeOwner) applyRecord(r workload.Record) {
	switch {
	case r.Submission != nil:
		o.core.AddLoggedJob(r.Job, r.Submission, r.Offset)
	case r.Cancel:
		o.core.CancelJob(r.Job, r.CancelledBy, o.world.now)
	case r.Takeover != nil && (r.Takeover.Epoch == o.epoch || !o.world.replacedIgnoreTakeovers):
		o.core.HandleTakeoverRecord(r.Takeover.Epoch, r.Offset)
	case r.Fence != nil && (r.Fence.Epoch == o.epoch || !o.world.replacedIgnoreTakeovers):
		o.core.HandleFenceRecord(r.Fence.Epoch, r.Offset)
	}
}

// confirmOwnership confirms the ownership of the partition if this is the current owner and can reach
// the store. While the store is unavailable to all nodes, the other nodes confirm that none of them
// has become the owner.
func (o *fakeOwner) confirmOwnership() {
	if o.world.owner == o && (!o.storeUnreachable || o.world.store.unavailable) {
		o.confirmedAt = o.world.now
	}
	o.core.SetAuthority(o.confirmedAt.Add(membershipTTL))
}

// readLog reads the log on from where the last read ended, once the owner can reach the store. It stops
// at the takeover of a later owner.
func (o *fakeOwner) readLog() {
	w := o.world
	switch {
	case !o.coreStarted || o.stopped:
		return
	case o.storeUnreachable:
		w.after(100*time.Millisecond, o.readLog)
		return
	}
	from, end := o.readUpTo, int64(len(w.store.log))
	o.readUpTo = end
	o.deliverLog(func() {
		for _, r := range w.store.log[from:end] {
			if o.applyRecord(r); o.core.StepDownReason() != "" {
				return
			}
		}
		o.core.ExtendLog(from, end)
	})
}

// handleStored applies a record that this owner's node has stored.
func (o *fakeOwner) handleStored(r workload.Record, isLocated bool) {
	located := r
	if !isLocated {
		located.Offset = math.MaxInt64
	}
	if o.world.replacedIgnoreGaps && o.world.owner != o && r.Submission != nil {
		o.core.AddJob(r.Job, r.Submission)
	}
	o.applyRecord(located)
	if isLocated {
		o.core.ExtendLog(r.Offset, r.Offset+1)
	}
}

// deliverLog passes records to the owner's process, in order with the answers that wait there.
func (o *fakeOwner) deliverLog(apply func()) {
	switch {
	case !o.coreStarted || o.stopped:
	case o.processor != nil:
		apply()
	default:
		o.deliver(apply)
	}
}

// testLease is the lease duration of all runs in histories.
const testLease = 3500 * time.Millisecond

func (o *fakeOwner) tick() {
	if o.stopped {
		return
	}
	if o.world.replacedOwnersStop && !o.storeUnreachable && !o.world.store.unavailable && o.world.owner != o {
		o.stopped = true // its membership announcement shows that another owner has the partition
		return
	}
	o.confirmOwnership()
	if w := o.world; w.fleet != nil {
		o.core.SetConfig(w.config())
	}
	updateWorkers := func() {
		if o.world.owner == o {
			// An owner gets the list of workers only while its ownership is confirmed.
			o.core.SetWorkers(o.world.registry, o.world.now)
		}
	}
	o.deliverNow(updateWorkers)
	interval := 50 * time.Millisecond
	if o.world.now.Before(o.slowUntil) {
		interval = o.world.durationBetween(200*time.Millisecond, 1200*time.Millisecond)
	}
	o.world.after(interval, o.tick)
}

// deliverNow runs an action and steps the core, or leaves both to the processor if there is one.
func (o *fakeOwner) deliverNow(action func()) {
	if o.processor != nil {
		o.processor.deliverAfter(o, 0, action)
		return
	}
	action()
	o.step()
}

// step steps the core and executes the orders.
func (o *fakeOwner) step() {
	if o.stopped || o.world.now.Before(o.stalledUntil) {
		return
	}
	w := o.world
	if config := w.config(); w.fleet != nil && config != o.config {
		o.config = config
		o.core.SetConfig(config)
	}
	orders := o.core.Step(w.now)
	for _, d := range orders.Decisions {
		if w.onDecision != nil {
			w.onDecision(d)
		}
		switch j := w.jobs[d.Job]; {
		case d.Verb == "given-up":
			j.failedForCrashes = true
		case d.Verb == "first-placed" && j.firstOrderedAt.IsZero():
			j.firstOrderedAt = w.now
		}
	}
	if o.core.StepDownReason() != "" {
		o.stopped = true
		if w.owner == o {
			w.after(w.durationBetween(100*time.Millisecond, time.Second), w.takeOver)
		}
		return
	}
	for _, p := range orders.Polls {
		o.sendPoll(p)
	}
	for _, s := range orders.Stops {
		o.sendOrder(s.Worker.ID, func(f *fakeWorker) workload.WorkerAnswer { return f.stop(s) }, func(a workload.WorkerAnswer) {
			o.core.HandleStopResult(scheduler.OrderResult{Worker: s.Worker.ID, Task: s.Task, Run: s.Run, Token: s.Token, Answer: a}, w.now)
		})
	}
	for _, s := range orders.Starts {
		o.sendOrder(s.Worker.ID, func(f *fakeWorker) workload.WorkerAnswer { return f.start(s.Start) }, func(a workload.WorkerAnswer) {
			o.core.HandleStartResult(scheduler.OrderResult{Worker: s.Worker.ID, Task: s.Start.Task, Run: s.Start.Run, Token: s.Start.Token, Answer: a}, w.now)
		})
	}
	if orders.WorkerCheck != nil {
		w.after(50*time.Millisecond, func() {
			var ended []string
			for _, info := range orders.WorkerCheck.Workers {
				if w.isReplaced(info.ID) {
					ended = append(ended, info.ID)
				}
			}
			o.deliver(func() { o.core.HandleWorkerCheck(ended, w.now) })
		})
	}
	for _, l := range orders.LoanRequests {
		w.fleet.sendLoanRequest(o, l)
	}
	for _, r := range orders.LoanReplies {
		w.fleet.deliverLoanReply(o, r)
	}
	if orders.Write != nil {
		o.pendingWrite = orders.Write
		o.write()
	}
}

// write sends the pending write, and repeats it until the store answers.
func (o *fakeOwner) write() {
	w := o.world
	w.after(w.durationBetween(4*time.Millisecond, 12*time.Millisecond), func() {
		if o.stopped {
			return
		}
		if !o.storeUnreachable && o.epoch < w.store.epoch {
			o.core.StepDown("fenced")
			o.step()
			return
		}
		if w.store.unavailable || o.storeUnreachable {
			w.after(100*time.Millisecond, o.write)
			return
		}
		if o.pendingWrite.Sequence > w.store.lastSequence {
			w.store.lastSequence = o.pendingWrite.Sequence
			w.store.lastOffset = int64(len(w.store.log))
			for _, r := range o.pendingWrite.Records {
				w.store.put(r)
			}
			if o.pendingWrite.Sequence == 1 {
				o.takeoverStoredAt = w.now
			}
			w.wakeReaders()
		}
		if w.chance(w.faults.lostWriteAnswer) {
			w.after(time.Second, o.write)
			return
		}
		from := w.store.lastOffset
		o.deliverNow(func() {
			order := *o.pendingWrite
			o.pendingWrite = nil
			o.core.HandleWriteResult()
			o.core.HandleWrittenSpan(order, from, from+int64(len(order.Records)))
			w.checkShownStates()
		})
	})
}

// sendOrder sends an order to a worker, subject to the faults of the history.
func (o *fakeOwner) sendOrder(worker string, order func(f *fakeWorker) workload.WorkerAnswer, handleAnswer func(workload.WorkerAnswer)) {
	w := o.world
	deliverAnswer := func(a workload.WorkerAnswer, delay time.Duration) {
		w.after(delay, func() { o.deliver(func() { handleAnswer(a) }) })
	}
	f := w.workers[worker]
	latency := w.durationBetween(500*time.Microsecond, 3*time.Millisecond)
	unanswered := workload.WorkerAnswer{Status: workload.WorkerOutcomeUnknown}
	switch {
	case w.chance(w.faults.lateOrder):
		restartCountWhenSent := f.restartCount
		w.after(w.durationBetween(2*time.Second, 12*time.Second), func() { f.executeLate(restartCountWhenSent, order) })
		deliverAnswer(unanswered, time.Second)
	case w.chance(w.faults.lostAnswer):
		w.after(latency, func() { f.execute(order) })
		deliverAnswer(unanswered, time.Second)
	case f.processDown || f.refusesConnections:
		deliverAnswer(f.refusalAnswer(), 2*latency)
	case !f.partitioned && o.links[worker] == linkHealthy && f.hang(time.Second, func() {
		w.after(latency, func() {
			if a, ok := f.execute(order); ok {
				deliverAnswer(a, latency)
			} else {
				deliverAnswer(unanswered, time.Second)
			}
		})
	}, func() { deliverAnswer(unanswered, 0) }):
	case f.partitioned || f.terminated || o.links[worker] == linkDown:
		deliverAnswer(unanswered, time.Second)
	case o.links[worker] == linkAnswersLost:
		w.after(latency, func() { f.execute(order) })
		deliverAnswer(unanswered, time.Second)
	default:
		w.after(latency, func() {
			a, ok := f.execute(order)
			if f.processDown {
				deliverAnswer(unanswered, latency)
				return
			}
			if !ok {
				deliverAnswer(unanswered, time.Second)
				return
			}
			deliverAnswer(a, latency)
		})
	}
}

// sendPoll sends a poll, subject to the faults of the history. The answer waits for an exit, at most
// for the poll's MaxWait.
func (o *fakeOwner) sendPoll(order scheduler.PollOrder) {
	o.deliverPoll(order, o.world.now)
}

// deliverPoll carries out a poll that was sent at sentAt.
func (o *fakeOwner) deliverPoll(order scheduler.PollOrder, sentAt time.Time) {
	w := o.world
	f := w.workers[order.Worker.ID]
	deliverReport := func(report workload.PollReport, a workload.WorkerAnswer) {
		o.deliver(func() {
			o.core.HandlePollResult(scheduler.PollResult{Worker: order.Worker.ID, Token: order.Poll.Token, SentAt: sentAt, Extra: order.Extra, Probe: order.Probe, AckedUpTo: order.Poll.AckedUpTo, Report: report, Answer: a}, w.now)
		})
	}
	unanswered := workload.WorkerAnswer{Status: workload.WorkerOutcomeUnknown}
	timeout := time.Second
	if order.Extra {
		timeout = 400 * time.Millisecond
	}
	latency := w.durationBetween(500*time.Microsecond, 3*time.Millisecond)
	if f.processDown || f.refusesConnections {
		w.after(2*latency, func() { deliverReport(workload.PollReport{}, f.refusalAnswer()) })
		return
	}
	link := o.links[order.Worker.ID]
	if !f.partitioned && link == linkHealthy && f.hang(timeout, func() {
		if !w.faults.hangingAck {
			order.Poll.AckedUpTo = 0
		}
		o.deliverPoll(order, sentAt)
	}, func() { deliverReport(workload.PollReport{}, unanswered) }) {
		return
	}
	if f.partitioned || f.terminated || link != linkHealthy || w.chance(w.faults.lostAnswer) {
		if !f.partitioned && !f.terminated && link != linkDown {
			w.after(latency, func() { f.execute(func(f *fakeWorker) workload.WorkerAnswer { return f.poll(order.Poll) }) })
		}
		w.after(timeout, func() { deliverReport(workload.PollReport{}, unanswered) })
		return
	}
	w.after(latency, func() {
		a, ok := f.execute(func(f *fakeWorker) workload.WorkerAnswer { return f.poll(order.Poll) })
		if f.processDown {
			w.after(latency, func() { deliverReport(workload.PollReport{}, unanswered) })
			return
		}
		if !ok {
			w.after(timeout, func() { deliverReport(workload.PollReport{}, unanswered) })
			return
		}
		f.respondOnExit(order.Poll.MaxWait, func() {
			if f.processDown {
				w.after(latency, func() { deliverReport(workload.PollReport{}, unanswered) })
				return
			}
			if f.partitioned || f.terminated {
				w.after(timeout, func() { deliverReport(workload.PollReport{}, unanswered) })
				return
			}
			report := f.pollReport()
			a.ClockMS = f.clockMillis()
			w.after(latency, func() { deliverReport(report, a) })
		})
	})
}

// killOwner ends the owner without a handover. Another owner follows after takeoverDelay.
func (w *world) killOwner(takeoverDelay time.Duration) {
	w.owner.stopped = true
	w.owner.killed = true
	w.after(takeoverDelay, w.takeOver)
}

// handOverOwner ends the owner after it has stored its pending write and its handover records.
func (w *world) handOverOwner(takeoverDelay time.Duration) {
	o := w.owner
	o.stopped = true
	if o.coreStarted && !w.store.unavailable && o.epoch == w.store.epoch {
		if o.pendingWrite != nil && o.pendingWrite.Sequence > w.store.lastSequence {
			for _, r := range o.pendingWrite.Records {
				w.store.put(r)
			}
		}
		for _, r := range o.core.HandoverRecords(w.now) {
			w.store.put(r)
		}
	}
	w.after(takeoverDelay, w.takeOver)
}

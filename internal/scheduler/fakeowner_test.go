package scheduler_test

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// fakeOwner runs a Core as an owner's process does.
type fakeOwner struct {
	w       *world
	core    *scheduler.Core
	epoch   int64
	loaded  bool
	dead    bool // killed, or gone: it sends nothing any more
	killed  bool
	pending *scheduler.WriteOrder
	// slowUntil is until when the process hardly gets on: what is told to it waits,
	// in order, and its steps are far apart.
	slowUntil time.Time
	told      time.Time // when the latest of what waits is taken up
	// links are those to workers that don't work, by worker. noStore is set while it is cut
	// off from the store.
	links   map[string]linkFault
	noStore bool
	// confirmed is when the group last confirmed that the partition is its own.
	confirmed time.Time
	// processor is what the owner's work is done on, nil where that takes no time.
	processor *processor
}

// tell hands something to the owner's process, which takes it up in order.
func (o *fakeOwner) tell(do func()) {
	w := o.w
	if o.processor != nil {
		o.processor.tell(o, do)
		return
	}
	at := w.now
	if w.now.Before(o.slowUntil) {
		at = w.now.Add(w.between(0, 1500*time.Millisecond))
	}
	if at.Before(o.told) {
		at = o.told
	}
	o.told = at
	w.after(at.Sub(w.now), func() {
		if !o.dead {
			do()
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
	Services: []workload.Service{{Name: "service", Guarded: true}},
}

// takeOver starts a new owner, as the owner package does: fence, then read.
func (w *world) takeOver() {
	w.epoch++
	o := &fakeOwner{w: w, epoch: w.epoch}
	w.owner = o
	w.owners = append(w.owners, o)
	o.fence()
}

func (o *fakeOwner) fence() {
	w := o.w
	if o.dead {
		return
	}
	if o.noStore || !w.store.fence(o.epoch) {
		w.after(100*time.Millisecond, o.fence)
		return
	}
	w.after(w.between(5*time.Millisecond, 30*time.Millisecond), o.load)
}

func (o *fakeOwner) load() {
	w := o.w
	if o.dead {
		return
	}
	records := w.store.records()
	if left, last := leftIn(records); left == nil && last > 0 && w.reached > 0 {
		w.after(w.between(2*time.Millisecond, 40*time.Millisecond), func() { o.begin(records) })
		return
	}
	o.begin(records)
}

// begin starts the machine on the records that were read.
func (o *fakeOwner) begin(records []workload.Record) {
	w := o.w
	if o.dead {
		return
	}
	left, last := leftIn(records)
	var told []workload.Record
	if left == nil {
		if told = w.askPrevious(last); told != nil {
			left, _ = leftIn(append([]workload.Record{{Takeover: &workload.Takeover{Epoch: last}}}, told...))
			records = w.store.records()
		}
	}
	var suspects []string
	if left == nil {
		for _, info := range w.listed {
			suspects = append(suspects, info.ID)
		}
	}
	settings := testSettings(o.epoch)
	settings.Overlap = memberTTL
	o.core = scheduler.New(settings, w.now, suspects, false)
	o.confirm()
	o.core.SetConfig(testConfig)
	for _, r := range records {
		o.apply(r)
	}
	news := map[workload.JobID]*workload.Progress{}
	for _, r := range told {
		if r.Progress != nil {
			news[r.Job] = r.Progress
		}
	}
	for _, r := range records {
		if r.Progress != nil && news[r.Job] == nil {
			o.core.Recalled(r.Job, r.Progress)
		}
	}
	for _, r := range told {
		if r.Progress != nil {
			o.core.RecallUnstored(r.Job, r.Progress)
		}
	}
	if left != nil {
		o.core.Inherit(left, w.now)
	}
	for _, r := range w.store.records() {
		o.apply(r) // what was stored since the read; it follows the log
	}
	o.loaded = true
	o.processor = w.processor
	o.tick()
}

// leftIn returns the report of the last owner, nil if it left none, and that owner's epoch.
func leftIn(records []workload.Record) (left *workload.Handover, last int64) {
	for _, r := range records {
		if r.Handover != nil {
			left = r.Handover
		}
		if r.Takeover != nil {
			last = r.Takeover.Epoch
		}
	}
	if left != nil && left.Epoch != last {
		left = nil
	}
	return left, last
}

// askPrevious has the owner of an epoch stop and tell what it leaves, where nodes reach each
// other; nil if nothing is known.
func (w *world) askPrevious(epoch int64) []workload.Record {
	if w.reached == 0 || !w.chance(w.reached) {
		return nil
	}
	for _, before := range w.owners {
		if before.epoch != epoch || before.killed || !before.loaded {
			continue
		}
		before.dead = true
		records := before.core.Report(w.now)
		if left, _ := leftIn(append([]workload.Record{{Takeover: &workload.Takeover{Epoch: epoch}}}, records...)); left != nil {
			w.told++
			return records
		}
	}
	return nil
}

func (o *fakeOwner) apply(r workload.Record) {
	switch {
	case r.Submission != nil:
		o.core.Submitted(r.Job, r.Submission)
	case r.Cancel:
		o.core.CancelRequested(r.Job, o.w.now)
	}
}

// confirm has the group confirm the partition. While the store is down for all, other nodes
// tell that none of them has become its owner.
func (o *fakeOwner) confirm() {
	if o.w.owner == o && (!o.noStore || o.w.store.down) {
		o.confirmed = o.w.now
	}
	o.core.SetAuthority(o.confirmed.Add(memberTTL))
}

// follow takes a record that is in the store, once the owner reaches it.
func (o *fakeOwner) follow(r workload.Record) {
	switch {
	case !o.loaded || o.dead:
	case o.noStore:
		o.w.after(100*time.Millisecond, func() { o.follow(r) })
	default:
		o.apply(r)
	}
}

// testLease is the lease of all runs in histories.
const testLease = 3500 * time.Millisecond

func (o *fakeOwner) tick() {
	if o.dead {
		return
	}
	if o.w.joins && !o.noStore && !o.w.store.down && o.w.owner != o {
		o.dead = true // its join tells it that the partition is another one's
		return
	}
	o.confirm()
	list := func() {
		if o.w.owner == o {
			// An owner hears of new workers only while the group confirms it.
			o.core.SetWorkers(o.w.listed, o.w.now)
		}
	}
	o.now(list)
	pause := 50 * time.Millisecond
	if o.w.now.Before(o.slowUntil) {
		pause = o.w.between(200*time.Millisecond, 1200*time.Millisecond)
	}
	o.w.after(pause, o.tick)
}

// now hands something over and steps, or leaves it to the processor's next turn.
func (o *fakeOwner) now(do func()) {
	if o.processor != nil {
		o.processor.post(o, 0, do)
		return
	}
	do()
	o.step()
}

// step carries out what is due.
func (o *fakeOwner) step() {
	if o.dead {
		return
	}
	w := o.w
	orders := o.core.Step(w.now)
	for _, d := range orders.Decisions {
		if d.Verb == "given-up" {
			w.jobs[d.Job].givenUp = true
		}
	}
	if o.core.Lost() != "" {
		o.dead = true
		if w.owner == o {
			w.after(w.between(100*time.Millisecond, time.Second), w.takeOver)
		}
		return
	}
	for _, h := range orders.Holds {
		o.hold(h)
	}
	for _, s := range orders.Stops {
		o.order(s.Worker.ID, func(f *fakeWorker) workload.WorkerAnswer { return f.stop(s) }, func(a workload.WorkerAnswer) {
			o.core.Stopped(scheduler.OrderResult{Worker: s.Worker.ID, Task: s.Task, Run: s.Run, Token: s.Token, Answer: a}, w.now)
		})
	}
	for _, s := range orders.Starts {
		o.order(s.Worker.ID, func(f *fakeWorker) workload.WorkerAnswer { return f.start(s.Start) }, func(a workload.WorkerAnswer) {
			o.core.Started(scheduler.OrderResult{Worker: s.Worker.ID, Task: s.Start.Task, Run: s.Start.Run, Token: s.Start.Token, Answer: a}, w.now)
		})
	}
	if orders.Write != nil {
		o.pending = orders.Write
		o.write()
	}
}

// write stores until the outcome is known.
func (o *fakeOwner) write() {
	w := o.w
	w.after(w.between(4*time.Millisecond, 12*time.Millisecond), func() {
		if o.dead {
			return
		}
		if !o.noStore && o.epoch < w.store.epoch {
			o.core.GiveUp("fenced")
			o.step()
			return
		}
		if w.store.down || o.noStore {
			w.after(100*time.Millisecond, o.write)
			return
		}
		if o.pending.Sequence > w.store.last {
			w.store.last = o.pending.Sequence
			for _, r := range o.pending.Records {
				w.store.put(r)
			}
		}
		if w.chance(w.faults.storeLost) {
			w.after(time.Second, o.write)
			return
		}
		o.now(func() {
			o.pending = nil
			o.core.Written()
			w.look()
		})
	})
}

// order sends one order on its way, with the faults of the history.
func (o *fakeOwner) order(worker string, carryOut func(f *fakeWorker) workload.WorkerAnswer, told func(workload.WorkerAnswer)) {
	w := o.w
	answer := func(a workload.WorkerAnswer, after time.Duration) {
		w.after(after, func() { o.tell(func() { told(a) }) })
	}
	f := w.workers[worker]
	way := w.between(500*time.Microsecond, 3*time.Millisecond)
	unknown := workload.WorkerAnswer{Status: workload.WorkerUnknown}
	switch {
	case w.chance(w.faults.lateOrder):
		sentTo := f.incarnations
		w.after(w.between(2*time.Second, 12*time.Second), func() { f.receiveLate(sentTo, carryOut) })
		answer(unknown, time.Second)
	case w.chance(w.faults.lostAnswer):
		w.after(way, func() { f.receive(carryOut) })
		answer(unknown, time.Second)
	case f.crashed || f.refuses:
		answer(f.refusal(), 2*way)
	case f.dark || f.gone || o.links[worker] == linkCut:
		answer(unknown, time.Second)
	case o.links[worker] == linkDeaf:
		w.after(way, func() { f.receive(carryOut) })
		answer(unknown, time.Second)
	default:
		w.after(way, func() {
			a, ok := f.receive(carryOut)
			if f.crashed {
				answer(unknown, way)
				return
			}
			if !ok {
				answer(unknown, time.Second)
				return
			}
			answer(a, way)
		})
	}
}

// hold sends a poll; its answer waits for an end.
func (o *fakeOwner) hold(h scheduler.HoldOrder) {
	w := o.w
	sent := w.now
	f := w.workers[h.Worker.ID]
	told := func(held workload.Held, a workload.WorkerAnswer) {
		o.tell(func() {
			o.core.Held(scheduler.HoldResult{Worker: h.Worker.ID, Token: h.Hold.Token, SentAt: sent, Extra: h.Extra, Held: held, Answer: a}, w.now)
		})
	}
	unknown := workload.WorkerAnswer{Status: workload.WorkerUnknown}
	timeout := time.Second
	if h.Extra {
		timeout = 400 * time.Millisecond
	}
	way := w.between(500*time.Microsecond, 3*time.Millisecond)
	if f.crashed || f.refuses {
		w.after(2*way, func() { told(workload.Held{}, f.refusal()) })
		return
	}
	link := o.links[h.Worker.ID]
	if f.dark || f.gone || link != linkUp || w.chance(w.faults.lostAnswer) {
		if !f.dark && !f.gone && link != linkCut {
			w.after(way, func() { f.receive(func(f *fakeWorker) workload.WorkerAnswer { return f.hold(h.Hold) }) })
		}
		w.after(timeout, func() { told(workload.Held{}, unknown) })
		return
	}
	w.after(way, func() {
		a, ok := f.receive(func(f *fakeWorker) workload.WorkerAnswer { return f.hold(h.Hold) })
		if f.crashed {
			w.after(way, func() { told(workload.Held{}, unknown) })
			return
		}
		if !ok {
			w.after(timeout, func() { told(workload.Held{}, unknown) })
			return
		}
		f.whenEnded(h.Hold.Wait, func() {
			if f.crashed {
				w.after(way, func() { told(workload.Held{}, unknown) })
				return
			}
			if f.dark || f.gone {
				w.after(timeout, func() { told(workload.Held{}, unknown) })
				return
			}
			held := f.list()
			a.Clock = f.clock()
			w.after(way, func() { told(held, a) })
		})
	})
}

// kill ends the owner without a word, and another one follows.
func (w *world) kill(after time.Duration) {
	w.owner.dead = true
	w.owner.killed = true
	w.after(after, w.takeOver)
}

// handOver ends the owner in good order.
func (w *world) handOver(after time.Duration) {
	o := w.owner
	o.dead = true
	if o.loaded && !w.store.down && o.epoch == w.store.epoch {
		if o.pending != nil && o.pending.Sequence > w.store.last {
			for _, r := range o.pending.Records {
				w.store.put(r)
			}
		}
		for _, r := range o.core.Handover(w.now) {
			w.store.put(r)
		}
	}
	w.after(after, w.takeOver)
}

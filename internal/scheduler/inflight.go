package scheduler

import "github.com/yuccadrift/yuccadrift/internal/workload"

// overtakenBy is how many starts later than one without an answer one must be that was
// answered for the first to count as lost: as many as may be in flight. On a node that
// is behind all answers come late, but about in the order of their starts.
const overtakenBy = maxInFlight

// startID names one start of a task.
type startID struct {
	task workload.TaskKey
	run  int64
}

// inFlight counts the starts that wait for an answer and whose number is bounded.
// Those whose answer is lost are not among them: an answer is given up after a
// second, and at 1,600 starts a second one lost answer of twenty-five would take all
// places that there are, so that tasks wait beside free workers.
type inFlight struct {
	waiting  map[startID]int64 // the start's number
	order    []sentStart       // those that wait, and some that were answered
	sent     int64             // the latest start's number
	answered int64             // the number of the latest start that was answered
}

type sentStart struct {
	id     startID
	number int64
}

func (f *inFlight) add(id startID) {
	if f.waiting == nil {
		f.waiting = map[startID]int64{}
	}
	f.sent++
	f.waiting[id] = f.sent
	f.order = append(f.order, sentStart{id, f.sent})
}

// done takes a start that was answered or given up.
func (f *inFlight) done(id startID, answered bool) {
	number, known := f.waiting[id]
	delete(f.waiting, id)
	if known && answered {
		f.answered = max(f.answered, number)
	}
	for len(f.order) > 0 {
		first := f.order[0]
		if f.waiting[first.id] == first.number && f.answered-first.number < overtakenBy {
			return
		}
		if f.waiting[first.id] == first.number {
			delete(f.waiting, first.id)
		}
		f.order = f.order[1:]
	}
}

// full tells whether no more starts may be sent.
func (f *inFlight) full() bool { return len(f.waiting) >= maxInFlight }

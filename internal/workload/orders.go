package workload

import "time"

// WorkerStatus is how a worker answered an order.
type WorkerStatus int

// Answers of a worker.
const (
	// WorkerOK: the order was taken.
	WorkerOK WorkerStatus = iota
	// WorkerFenced: the worker has seen a higher fencing token.
	WorkerFenced
	// WorkerOld: the run's number is not above one that stopped or ended there.
	WorkerOld
	// WorkerLate: the lease had lapsed when the order arrived.
	WorkerLate
	// WorkerFull: there is no room.
	WorkerFull
	// WorkerTicket: the ticket is missing or no longer valid.
	WorkerTicket
	// WorkerInvalid: the worker doesn't understand the order.
	WorkerInvalid
	// WorkerUnhealthy: the worker did nothing.
	WorkerUnhealthy
	// WorkerReplaced: another incarnation answers at the address.
	WorkerReplaced
	// WorkerNotSent: the order never left.
	WorkerNotSent
	// WorkerDown: the connection was refused, so nothing listens at the address: the
	// process has ended, or is only starting. The order never left.
	WorkerDown
	// WorkerUnknown: the order may have been carried out, or may be later.
	WorkerUnknown
)

// String names the status for the log.
func (s WorkerStatus) String() string {
	return [...]string{"ok", "fenced", "old", "late", "full", "ticket", "invalid", "unhealthy", "replaced", "not sent", "down", "unknown"}[s]
}

// Start is an order to run a task.
type Start struct {
	Task       TaskKey
	Run        int64
	Payload    string
	LeaseUntil int64 // on the worker's clock, milliseconds
	Token      int64 // fencing token
	Checkpoint string
	Ticket     string
}

// Hold renews the leases of all that runs on a worker and asks what it runs.
type Hold struct {
	Token      int64
	Acked      int64 // ends up to this number are known and may be forgotten
	LeaseUntil int64 // on the worker's clock, milliseconds; 0 leaves the lease as it is
	Wait       time.Duration
	// Brief asks for a short time-out: the worker has not answered before.
	Brief bool
}

// How a run ended.
type How string

// Ends of a run.
const (
	EndDone    How = "done"
	EndFailed  How = "failed"
	EndStopped How = "stopped"
	EndLapsed  How = "lapsed"
	EndBroken  How = "broken" // another member of its gang ended
	EndAlone   How = "alone"  // its gang was not complete in time
)

// RunState is a run that is on a worker.
type RunState struct {
	Task       TaskKey
	Run        int64
	Checkpoint string // the newest one, "" if there is none
	Percent    int    // of the full speed at which it works
	// Load is the tail of response times in milliseconds for a serving task, and
	// the processor time in use, in thousandths of a core, for others.
	Load float64
}

// RunEnd is a run that has ended on a worker.
type RunEnd struct {
	Number     int64 // rises by one in each incarnation
	Task       TaskKey
	Run        int64
	How        How
	Checkpoint string
}

// Held is a worker's answer to a Hold.
type Held struct {
	Born     int64 // of the incarnation that answered, as in Worker
	BornErr  error // why Born could not be read, nil if it was read or is missing
	Running  []RunState
	Finished []RunEnd
}

// WorkerAnswer is the outcome of an order. Clock is the worker's time in
// milliseconds, 0 if it did not say.
type WorkerAnswer struct {
	Status WorkerStatus
	Clock  int64
	Err    error
}

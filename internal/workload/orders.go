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
	// WorkerStaleRun: the run's number is not above one that stopped or ended there.
	WorkerStaleRun
	// WorkerLeaseExpired: the lease had lapsed when the order arrived.
	WorkerLeaseExpired
	// WorkerFull: there is no room.
	WorkerFull
	// WorkerInvalidTicket: the ticket is missing or no longer valid.
	WorkerInvalidTicket
	// WorkerInvalidOrder: the worker doesn't understand the order.
	WorkerInvalidOrder
	// WorkerUnhealthy: the worker did nothing.
	WorkerUnhealthy
	// WorkerReplaced: another incarnation answers at the address.
	WorkerReplaced
	// WorkerNotSent: the order never left.
	WorkerNotSent
	// WorkerConnRefused: the connection was refused, so nothing listens at the address: the
	// process has ended, or is only starting. The order never left.
	WorkerConnRefused
	// WorkerOutcomeUnknown: the order may have been carried out, or may be later.
	WorkerOutcomeUnknown
)

// String names the status for the log.
func (s WorkerStatus) String() string {
	return [...]string{"ok", "fenced", "old", "late", "full", "ticket", "invalid", "unhealthy", "replaced", "not sent", "down", "unknown"}[s]
}

// Start is an order to run a task.
type Start struct {
	Task             TaskKey
	Run              int64
	Payload          string
	LeaseExpiresAtMS int64 // on the worker's clock, milliseconds
	Token            int64 // fencing token
	Checkpoint       string
	Ticket           string
}

// Poll renews the leases of all that runs on a worker and asks what it runs.
type Poll struct {
	Token            int64
	AckedUpTo        int64 // ends up to this number are known and may be forgotten
	LeaseExpiresAtMS int64 // on the worker's clock, milliseconds; 0 leaves the lease as it is
	MaxWait          time.Duration
	// ShortTimeout asks for a short time-out: the worker has not answered before.
	ShortTimeout bool
}

// ExitReason a run ended.
type ExitReason string

// Ends of a run.
const (
	ExitDone           ExitReason = "done"
	ExitFailed         ExitReason = "failed"
	ExitStopped        ExitReason = "stopped"
	ExitLeaseExpired   ExitReason = "lapsed"
	ExitGangBroken     ExitReason = "broken" // another member of its gang ended
	ExitGangIncomplete ExitReason = "alone"  // its gang was not complete in time
)

// ListedRun is a run that is on a worker.
type ListedRun struct {
	Task         TaskKey
	Run          int64
	Checkpoint   string // the newest one, "" if there is none
	SpeedPercent int    // of the full speed at which it works
	// Load is the tail of response times in milliseconds for a serving task, and
	// the processor time in use, in thousandths of a core, for others.
	Load float64
}

// RunExit is a run that has ended on a worker.
type RunExit struct {
	Sequence   int64 // rises by one in each incarnation
	Task       TaskKey
	Run        int64
	Reason     ExitReason
	Checkpoint string
}

// PollReport is a worker's answer to a Hold.
type PollReport struct {
	Incarnation    int64 // of the incarnation that answered, as in Worker
	IncarnationErr error // why Born could not be read, nil if it was read or is missing
	Running        []ListedRun
	Exited         []RunExit
}

// WorkerAnswer is the outcome of an order. Clock is the worker's time in
// milliseconds, 0 if it did not say.
type WorkerAnswer struct {
	Status  WorkerStatus
	ClockMS int64
	Err     error
}

package workload

import "time"

// WorkerStatus classifies the outcome of an order to a worker, polls included.
type WorkerStatus int

// Statuses of an order.
const (
	// WorkerOK: the worker accepted the order.
	WorkerOK WorkerStatus = iota
	// WorkerFenced: the worker has seen a higher fencing token.
	WorkerFenced
	// WorkerStaleRun: the run's number is not above that of a run that was stopped or ended there.
	WorkerStaleRun
	// WorkerLeaseExpired: the lease had expired when the order arrived.
	WorkerLeaseExpired
	// WorkerFull: the worker has no free capacity.
	WorkerFull
	// WorkerInvalidTicket: the ticket is missing or has expired.
	WorkerInvalidTicket
	// WorkerInvalidOrder: the order can't be encoded, the worker refused it as invalid or for
	// an unknown reason, or its report can't be decoded. Only in the last case was the order,
	// a poll, carried out.
	WorkerInvalidOrder
	// WorkerUnhealthy: the worker is unhealthy and did nothing.
	WorkerUnhealthy
	// WorkerReplaced: another worker, with another ID, answers at the address.
	WorkerReplaced
	// WorkerNotSent: the order was not sent.
	WorkerNotSent
	// WorkerConnRefused: the connection was refused and the order was not sent. Nothing
	// listens at the address: the process has ended or is still starting.
	WorkerConnRefused
	// WorkerOutcomeUnknown: the order may have been carried out or may still be.
	WorkerOutcomeUnknown
)

// String returns the status as logged.
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

// Poll renews the leases of all runs on a worker and asks for a PollReport.
type Poll struct {
	Token            int64
	AckedUpTo        int64         // the worker may drop exits up to this sequence number
	LeaseExpiresAtMS int64         // on the worker's clock, milliseconds; 0 renews no lease
	MaxWait          time.Duration // how long the worker may wait for an exit before it answers
	// ShortTimeout requests a short timeout: the worker left an earlier poll unanswered.
	ShortTimeout bool
}

// ExitReason is why a run ended.
type ExitReason string

// Reasons of an exit.
const (
	ExitDone           ExitReason = "done"
	ExitFailed         ExitReason = "failed"
	ExitStopped        ExitReason = "stopped"
	ExitLeaseExpired   ExitReason = "lapsed"
	ExitGangBroken     ExitReason = "broken" // another member of its gang ended
	ExitGangIncomplete ExitReason = "alone"  // its gang did not become complete in time
)

// ListedRun is a run that a worker's report lists as running.
type ListedRun struct {
	Task         TaskKey
	Run          int64
	Checkpoint   string // the newest one, "" if there is none
	SpeedPercent int    // of full speed
	// LatencyOrCPU is the tail latency in milliseconds if the task has a LatencyTargetMS.
	// Otherwise it is the processor time in use, in thousandths of a core.
	LatencyOrCPU float64
}

// RunExit is a run that has ended on a worker.
type RunExit struct {
	Sequence   int64 // rises by one with each exit, from 1 in each incarnation
	Task       TaskKey
	Run        int64
	Reason     ExitReason
	Checkpoint string
}

// PollReport is a worker's answer to a poll: its runs and its exits that were not
// acknowledged.
type PollReport struct {
	Incarnation    int64 // of the worker that answered, as in Worker
	IncarnationErr error // why Incarnation could not be parsed; nil if it was parsed or is missing
	Running        []ListedRun
	Exited         []RunExit
}

// WorkerAnswer is the outcome of an order, also of one that got no answer or was not sent.
// ClockMS is the worker's clock in milliseconds, 0 if there is none.
type WorkerAnswer struct {
	Status  WorkerStatus
	ClockMS int64
	Err     error
}

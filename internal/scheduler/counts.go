package scheduler

// Counts are totals for metrics.
type Counts struct {
	StartedRuns, DoneTasks, FailedRuns, ExpiredRuns, RefusedStarts, UnansweredStarts int
	CompletedJobs, FailedJobs, CancelledJobs                                         int
	// WorkerCrashes counts crashes of workers, LostRuns the runs lost with a worker's process.
	WorkerCrashes, LostRuns int
	// WorkerRestarts counts workers that restarted under their ID, UnreadExits the runs that
	// vanished from a worker that reported no exit of them.
	WorkerRestarts, UnreadExits int
	// DuplicateRuns counts runs that were found while another run of their task was live.
	DuplicateRuns int
	// IsolatedRuns counts the starts of isolated runs, ClearedSuspects the suspects that made
	// progress, CrashingJobs the jobs that failed because one of their tasks crashes workers.
	IsolatedRuns, ClearedSuspects, CrashingJobs int
	// ExtraPolls counts polls that were sent while the answer of another was overdue.
	ExtraPolls int
	// RankedJobs counts jobs that were ranked, PlacementChecks the workers and runs that were
	// examined to decide on starts. Together they are the cost of planning.
	RankedJobs, PlacementChecks int
	// SuspectRacks counts how often a rack became suspect.
	SuspectRacks int
	// Plans counts plans, TruncatedPlans those that ended before all free capacity was used
	// because too many starts were unanswered.
	Plans, TruncatedPlans int
	// HeldBackJobs counts ranked jobs that wait for their workspace's turn.
	HeldBackJobs int
	// CapBlockedSteps counts the steps that a plan left idle because of their workspace's cap.
	// LoansGranted and LoansReceived count loans of one workspace's cap to and from other owners.
	CapBlockedSteps, LoansGranted, LoansReceived int
	// EarlyStarts counts starts while runs of earlier owners on workers that had not answered were
	// unknown.
	EarlyStarts int
	// JobsHeldByUnknownWorkers counts jobs whose starts waited after a takeover until all leases of earlier
	// owners had expired, because it was not known which workers might run them.
	JobsHeldByUnknownWorkers int
}

package workload

// DrainState is what its owner says of a worker that is to be emptied.
type DrainState int

// The vacancies.
const (
	// NotDrained is a worker that runs tasks, or may run some.
	NotDrained DrainState = iota
	// DrainedUnconfirmed is one that runs none and hasn't answered lately: its process may have
	// ended, and another one be on its VM by now.
	DrainedUnconfirmed
	// Drained is one that has just answered, runs no task and gets none.
	Drained
)

package workload

// DrainState is how far the drain of a worker is.
type DrainState int

// States of a drain.
const (
	// NotDrained: the worker runs tasks or may run some.
	NotDrained DrainState = iota
	// DrainedUnconfirmed: the worker runs nothing but has not answered recently. Its process
	// may have ended, and another worker may be on its VM by now.
	DrainedUnconfirmed
	// Drained: the worker has just answered, runs nothing and gets no starts.
	Drained
)

package workload

// ServiceLoad is what a service's workers carry and what waits for them.
type ServiceLoad struct {
	Service  string                `json:"s"`
	Reserved Resources             `json:"u"`
	Workers  map[string]WorkerLoad `json:"w,omitempty"` // by ID
	// MeanWorkerCapacity is the mean of what the service's workers have room for now.
	MeanWorkerCapacity Resources `json:"z,omitzero"`
	// PendingDemand is what ready tasks that can still win anything ask for.
	PendingDemand Resources `json:"q"`
	// UpcomingDemand is the same for occurrences that are due within seconds.
	UpcomingDemand Resources `json:"f"`
	// ArrivedWork is the work of all jobs accepted so far, by estimate, in
	// core-milliseconds and, as memory, in MB-milliseconds. Its growth is what
	// the service is asked for, also where it can't keep up.
	ArrivedWork Work `json:"a"`
	// MinWorkers is on how many workers the service's lasting tasks must lie at
	// least, as no more than a given number of a step may share one.
	MinWorkers int `json:"p,omitempty"`
	// DemandByLabel is what ready tasks ask for by label: the one that their worker must
	// have, and the rack of their data.
	DemandByLabel map[string]Resources `json:"t,omitempty"`
	// UnmetRequirements are ready tasks that wait for want of workers that may run them,
	// whatever room the others have.
	UnmetRequirements []UnmetRequirement `json:"x,omitempty"`
}

// UnmetRequirement is what a VM must have for tasks that a service's own can't take.
type UnmetRequirement struct {
	Label     string    `json:"l,omitempty"`
	Resources Resources `json:"n"` // of one task
	// NoFeasibleWorker is set if no worker of the service could run them, not even an empty
	// one.
	NoFeasibleWorker bool `json:"v,omitempty"`
}

// WorkerLoad is what one worker carries.
type WorkerLoad struct {
	// Usable is set if the worker answers and may get starts now or soon.
	Usable          bool      `json:"k,omitempty"`
	Runs            int       `json:"n,omitempty"`
	LongRunningRuns int       `json:"l,omitempty"`
	Reserved        Resources `json:"u"`
	// ReducedCapacity is what the worker has room for while that is less than it was, else nil.
	ReducedCapacity *Resources `json:"z,omitempty"`
}

// Work is an amount of resources over time.
type Work struct {
	Jobs   int64 `json:"j,omitempty"`
	CoreMS int64 `json:"c,omitempty"` // core-milliseconds
	MBMS   int64 `json:"m,omitempty"` // MB-milliseconds
}

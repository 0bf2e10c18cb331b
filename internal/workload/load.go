package workload

// ServiceLoad is the load of a service's workers and the demand that waits for them.
type ServiceLoad struct {
	Service string `json:"s"`
	// Settling is set for a while after the owner's takeover: workers may not have answered it yet, and
	// Workers is not whole.
	Settling bool                  `json:"y,omitempty"`
	Reserved Resources             `json:"u"`
	Workers  map[string]WorkerLoad `json:"w,omitempty"` // by ID
	// MeanWorkerCapacity is the mean of the current capacities of the service's workers.
	MeanWorkerCapacity Resources `json:"z,omitzero"`
	// PendingDemand is the demand of ready tasks whose jobs can still meet their objective,
	// have long-running tasks, or have waited for long after they missed their objective.
	PendingDemand Resources `json:"q"`
	// UpcomingDemand is the demand of occurrences that are due within seconds.
	UpcomingDemand Resources `json:"f"`
	// ArrivedWork is the estimated work of all jobs accepted so far, without repeated jobs
	// and long-running tasks. Its growth is the arrival rate, also where the service can't
	// keep up.
	ArrivedWork Work `json:"a"`
	// MinWorkers is the minimum number of workers for the service's long-running tasks, as a
	// step may limit its tasks per worker; 0 if none does.
	MinWorkers int `json:"p,omitempty"`
	// DemandByLabel is the part of PendingDemand that needs or prefers a label, by label: the
	// label that the worker must have, and the rack of the data, which is a label of the
	// workers there. A task with both counts under both.
	DemandByLabel map[string]Resources `json:"t,omitempty"`
	// UnmetRequirements are requirements of ready tasks that no worker with free capacity
	// meets.
	UnmetRequirements []UnmetRequirement `json:"x,omitempty"`
}

// UnmetRequirement is what a VM must have to run tasks that the service's workers can't
// run.
type UnmetRequirement struct {
	Label     string    `json:"l,omitempty"`
	Resources Resources `json:"n"` // of one task
	// NoFeasibleWorker is set if no worker of the service could run the tasks, even if all
	// runs of tasks that are not long-running had ended.
	NoFeasibleWorker bool `json:"v,omitempty"`
}

// WorkerLoad is the load of one worker.
type WorkerLoad struct {
	// Usable is set if the worker answers and may get starts now or soon.
	Usable          bool      `json:"k,omitempty"`
	Runs            int       `json:"n,omitempty"`
	LongRunningRuns int       `json:"l,omitempty"` // part of Runs
	Reserved        Resources `json:"u"`
	// ReducedCapacity is the worker's current capacity if that is below the largest that
	// its registry entries have stated, nil otherwise.
	ReducedCapacity *Resources `json:"z,omitempty"`
}

// Work is an amount of resources over time.
type Work struct {
	Jobs   int64 `json:"j,omitempty"`
	CoreMS int64 `json:"c,omitempty"` // core-milliseconds
	MBMS   int64 `json:"m,omitempty"` // MB-milliseconds
}

package workload

// Crash records that a worker's process crashed while it ran a task or may have run it.
type Crash struct {
	Worker      string `json:"w"`           // ID of the worker
	Incarnation int64  `json:"b,omitempty"` // of the worker, as in Worker
	Address     string `json:"d"`           // of the worker
	Run         int64  `json:"n"`           // number of the task's run

	// DetectedAtMS is when the owner detected the crash, in Unix milliseconds. RunAgeMS is
	// the run's age at the crash since its start order, in milliseconds.
	DetectedAtMS int64 `json:"at"`
	RunAgeMS     int64 `json:"a,omitempty"`

	// LikelyCause is set if the run had just started or was the last to start there.
	LikelyCause bool `json:"l,omitempty"`
	// SoleCause is set if no other run there can have caused the crash.
	SoleCause bool `json:"s,omitempty"`
	// OtherCauses are the names of the other tasks that may have caused the crash and have not been
	// cleared since. It is empty if only this task can have caused it, if there were too many others
	// to store, and once OthersCleared is set: all of them have been cleared.
	OtherCauses   []string `json:"oc,omitempty"`
	OthersCleared bool     `json:"oe,omitempty"`
	// StartUnanswered is set if the start got no answer: the run may not have started.
	StartUnanswered bool `json:"o,omitempty"`
	// Inherited is set if an earlier owner started the run: it was older than RunAgeMS.
	Inherited bool `json:"i,omitempty"`
	// WorkerWentSilent is set if the worker stopped answering soon after the start and its
	// leases expired. It may have been partitioned rather than crashed.
	WorkerWentSilent bool `json:"si,omitempty"`
	// Unconfirmed is set while the worker may be partitioned rather than crashed.
	Unconfirmed bool `json:"u,omitempty"`
	// Cleared is set once the task has made progress for long enough since the crash.
	Cleared bool `json:"c,omitempty"`
	// IsolatedRunPending marks an isolated run whose outcome is unknown. It is stored
	// before the run starts.
	IsolatedRunPending bool `json:"p,omitempty"`
}

// IsSameProcess reports whether both crashes are of the same worker process.
func (c Crash) IsSameProcess(other Crash) bool {
	return c.Worker == other.Worker && c.Incarnation == other.Incarnation
}

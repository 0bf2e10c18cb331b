package workload

// Crash is a crash of a worker's process while it ran a task, or may have.
type Crash struct {
	Worker      string `json:"w"`           // ID
	Incarnation int64  `json:"b,omitempty"` // of the incarnation, as in Worker
	Address     string `json:"d"`           // of the worker
	Run         int64  `json:"n"`           // of the task
	// DetectedAtMS is when it was noticed, in milliseconds since 1970, and AgeMS how long
	// after the order to start the run that was, in milliseconds.
	DetectedAtMS int64 `json:"at"`
	RunAgeMS     int64 `json:"a,omitempty"`
	// LikelyCause is set if the task had just begun, or was the last to begin there.
	LikelyCause bool `json:"l,omitempty"`
	// SoleCause is set if nothing else there can have been the cause.
	SoleCause bool `json:"s,omitempty"`
	// StartUnanswered is set if the start had no answer: the run may not have begun.
	StartUnanswered bool `json:"o,omitempty"`
	// Inherited is set if the run began under an earlier owner: it was older than AgeMS.
	Inherited bool `json:"i,omitempty"`
	// WorkerWentSilent is set if the worker fell silent soon after the start and its leases lapsed: it
	// may have been cut off.
	WorkerWentSilent bool `json:"si,omitempty"`
	// Unconfirmed is set while the worker may as well have been cut off.
	Unconfirmed bool `json:"u,omitempty"`
	// Cleared is set once the task has got on for longer since.
	Cleared bool `json:"c,omitempty"`
	// IsolatedRunPending is set while it isn't known whether the worker crashes: it is stored
	// before the run begins.
	IsolatedRunPending bool `json:"p,omitempty"`
}

// IsSameProcess tells whether two crashes are of the same process.
func (c Crash) IsSameProcess(other Crash) bool {
	return c.Worker == other.Worker && c.Incarnation == other.Incarnation
}

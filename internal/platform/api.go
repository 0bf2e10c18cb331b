// Package platform is the peer package for the platform: its append-only log
// service, its VMs, its task runner and its lagging list of VMs. The types in
// this file are what the rest of the system knows about the platform; the wire
// protocol stays inside this package.
package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors that callers tell apart with errors.Is.
var (
	// ErrUnavailable means that the platform could not be reached or refused to
	// serve before it acted: the action did not take effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUnknownOutcome means that the request was sent and no reply came: the
	// action may have taken effect, or may still do so later.
	ErrUnknownOutcome = errors.New("platform outcome unknown")
	// ErrTrimmed means that the offset asked for is below the retained range.
	ErrTrimmed = errors.New("offset below the retained range of the log")
	// ErrThrottled means that the append ceiling was reached; nothing was kept.
	ErrThrottled = errors.New("platform append rate exceeded")
	// ErrFenced means that the platform has seen a higher fencing token for the
	// same VM or task.
	ErrFenced = errors.New("fencing token is older than one already seen")
	// ErrNotFound means that the VM, task or operation is not known.
	ErrNotFound = errors.New("not found on the platform")
	// ErrRejected means that the platform refused the request as malformed.
	ErrRejected = errors.New("rejected by the platform")
)

// Offset is the position of an entry in a stream of the log. The first entry
// of a stream has offset 1; 0 means "before the first entry".
type Offset uint64

// Entry is one entry of a stream.
type Entry struct {
	Offset Offset
	Data   []byte
}

// Batch is the answer to a read. First is the lowest retained offset and Next
// the offset that the next append will get, both at the time of the read.
type Batch struct {
	First   Offset
	Next    Offset
	Entries []Entry
}

// Log is the append-only log service.
type Log interface {
	// Append adds entries to a stream, in order and adjacent, and returns the
	// offset of the first. With ErrUnknownOutcome the entries may be in the log.
	Append(ctx context.Context, stream string, entries [][]byte) (Offset, error)
	// Read returns at most max entries from offset from on. When none is there
	// yet it waits up to wait for one. ErrTrimmed comes with a Batch that
	// carries First and Next.
	Read(ctx context.Context, stream string, from Offset, max int, wait time.Duration) (Batch, error)
}

// VMState is what the lagging list says of a VM.
type VMState string

// States of a VM in the lagging list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one line of the lagging list.
type VM struct {
	ID           string  `json:"id"`
	Zone         string  `json:"zone"`
	Rack         string  `json:"rack"`
	Address      string  `json:"address"` // IP:port of its backend server
	Cores        int     `json:"cores"`
	MemoryMB     int     `json:"memory_mb"`
	Accelerators int     `json:"accelerators"`
	State        VMState `json:"state"`
	// BootID changes with every boot, so a finished reboot shows here.
	BootID string `json:"boot_id"`
}

// VMList is the lagging list: true at AsOf, not now.
type VMList struct {
	AsOf time.Time `json:"as_of"`
	VMs  []VM      `json:"vms"`
}

// Operation identifies one action on a VM or task. The platform carries out an
// ID once, however often it is sent, and refuses a Fence below the highest that
// it has seen for the same VM or task.
type Operation struct {
	ID    string `json:"id"`
	Fence Offset `json:"fence"`
}

// OperationStatus is how far an operation got.
type OperationStatus string

// Statuses of an operation.
const (
	OperationRunning OperationStatus = "running"
	OperationDone    OperationStatus = "done"
	OperationFailed  OperationStatus = "failed"
)

// Fleet acts on VMs.
type Fleet interface {
	// List returns the lagging list.
	List(ctx context.Context) (VMList, error)
	// Drain tells the platform that the VM takes no new tasks; done once no
	// task runs on it.
	Drain(ctx context.Context, vm string, op Operation) (OperationStatus, error)
	// Undrain lets the VM take tasks again.
	Undrain(ctx context.Context, vm string, op Operation) (OperationStatus, error)
	// Reboot restarts the VM for maintenance; done once it has booted.
	Reboot(ctx context.Context, vm string, op Operation) (OperationStatus, error)
	// Operation returns the status of an operation sent before, or ErrNotFound
	// when the platform never got it.
	Operation(ctx context.Context, vm, id string) (OperationStatus, error)
}

// TaskSpec is what the platform is asked to run on a worker.
type TaskSpec struct {
	ID           string        `json:"id"`            // one run of one job
	Job          string        `json:"job,omitempty"` // the job that the run belongs to
	Worker       string        `json:"worker"`
	Cores        float64       `json:"cores"`
	MemoryMB     int           `json:"memory_mb"`
	Accelerators int           `json:"accelerators"`
	Lease        time.Duration `json:"lease"` // the task is stopped when not renewed for this long
	// Work is the time the task needs unthrottled; the stand-in's substitute
	// for a real command line.
	Work time.Duration `json:"work"`
	// Checkpoint names the checkpoint to resume from, or is empty.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Declared is what the job's owner declared, where the size above was
	// corrected since; the stand-in takes it for what the task really needs.
	Declared Size `json:"declared,omitzero"`
}

// Size is an amount of cores and memory.
type Size struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
}

// TaskPhase is the phase of a task on the platform.
type TaskPhase string

// Phases of a task.
const (
	TaskRunning      TaskPhase = "running"
	TaskSucceeded    TaskPhase = "succeeded"
	TaskFailed       TaskPhase = "failed"
	TaskStopped      TaskPhase = "stopped"
	TaskCheckpointed TaskPhase = "checkpointed"
	TaskExpired      TaskPhase = "expired" // its lease lapsed
)

// TaskStatus is the platform's word on a task.
type TaskStatus struct {
	ID         string    `json:"id"`
	Worker     string    `json:"worker"`
	Phase      TaskPhase `json:"phase"`
	Checkpoint string    `json:"checkpoint,omitempty"`
	Reason     string    `json:"reason,omitempty"`
}

// Usage is one worker's or task's use of resources, true at AsOf.
type Usage struct {
	Task     string    `json:"task"`
	Worker   string    `json:"worker"`
	Cores    float64   `json:"cores"`
	MemoryMB int       `json:"memory_mb"`
	AsOf     time.Time `json:"as_of"`
}

// Tasks runs tasks on workers.
type Tasks interface {
	Start(ctx context.Context, spec TaskSpec, op Operation) (TaskStatus, error)
	Renew(ctx context.Context, worker string, tasks []string, lease time.Duration, fence Offset) error
	Checkpoint(ctx context.Context, task string, op Operation) (TaskStatus, error)
	Throttle(ctx context.Context, task string, share float64, op Operation) (TaskStatus, error)
	Stop(ctx context.Context, task string, op Operation) (TaskStatus, error)
	// Status returns the tasks of a worker, ended ones of the last hour included.
	Status(ctx context.Context, worker string) ([]TaskStatus, error)
	Usage(ctx context.Context) ([]Usage, error)
}

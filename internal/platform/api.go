// Package platform is the client of the platform: its append-only log service,
// its VMs, its task runner and its lagging list of VMs. Other packages use the
// types in this file. The wire protocol stays inside this package.
package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors that callers distinguish with errors.Is.
var (
	// ErrUnavailable means that the platform could not be reached or refused the
	// request before acting on it. The action did not take effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUnknownOutcome means that the request was sent and no reply arrived. The
	// action may have taken effect, or may still take effect later.
	ErrUnknownOutcome = errors.New("platform outcome unknown")
	// ErrTrimmed means that the requested offset is below the retained range.
	ErrTrimmed = errors.New("offset below the retained range of the log")
	// ErrThrottled means that the append rate limit was reached. Nothing was appended.
	ErrThrottled = errors.New("platform append rate exceeded")
	// ErrFenced means that the platform has accepted a higher fencing token for
	// the same VM or task.
	ErrFenced = errors.New("fencing token is older than one already seen")
	// ErrNotFound means that the platform does not know the VM, task, operation or
	// checkpoint.
	ErrNotFound = errors.New("not found on the platform")
	// ErrRejected means that the request is malformed or exceeds a limit, or that
	// the worker can't accept the task.
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

// Batch is the result of a read. First is the lowest retained offset and Next is
// the offset of the next append, both at the time of the read.
type Batch struct {
	First   Offset
	Next    Offset
	Entries []Entry
}

// Log is the append-only log service.
type Log interface {
	// Append adds entries to a stream, in order and at consecutive offsets, and
	// returns the first offset. After ErrUnknownOutcome the entries may be in the log.
	Append(ctx context.Context, stream string, entries [][]byte) (Offset, error)
	// Read returns at most max entries, starting at offset from. If there is none
	// yet, Read waits up to wait for one. With ErrTrimmed, Read returns a Batch
	// with First and Next set.
	Read(ctx context.Context, stream string, from Offset, max int, wait time.Duration) (Batch, error)
}

// VMState is the state of a VM in the lagging list.
type VMState string

// States of a VM in the lagging list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one VM in the lagging list.
type VM struct {
	ID           string  `json:"id"`
	Zone         string  `json:"zone"`
	Rack         string  `json:"rack"`
	Address      string  `json:"address"` // IP:port of its backend server
	Cores        int     `json:"cores"`
	MemoryMB     int     `json:"memory_mb"`
	Accelerators int     `json:"accelerators"`
	State        VMState `json:"state"`
	// BootID changes with every boot and so shows that a reboot is done.
	BootID string `json:"boot_id"`
}

// VMList is the lagging list of VMs as it was at AsOf.
type VMList struct {
	AsOf time.Time `json:"as_of"`
	VMs  []VM      `json:"vms"`
}

// Operation identifies one action on a VM or task. The platform executes an ID
// once, however often it is sent, and returns ErrFenced if Fence is lower than
// the highest accepted for the same VM or task.
type Operation struct {
	ID    string `json:"id"`
	Fence Offset `json:"fence"`
}

// OperationStatus is the status of an operation.
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
	// Drain stops the VM from accepting new tasks. The operation is done when no
	// task runs on the VM any more.
	Drain(ctx context.Context, vm string, op Operation) (OperationStatus, error)
	// Undrain lets the VM accept tasks again.
	Undrain(ctx context.Context, vm string, op Operation) (OperationStatus, error)
	// Reboot restarts the VM for maintenance. The operation is done when the VM
	// has booted.
	Reboot(ctx context.Context, vm string, op Operation) (OperationStatus, error)
	// Operation returns the status of an earlier operation, or ErrNotFound if the
	// platform did not receive it.
	Operation(ctx context.Context, vm, id string) (OperationStatus, error)
}

// TaskSpec describes a task to run on a worker.
type TaskSpec struct {
	ID           string        `json:"id"`            // one run of one job
	Job          string        `json:"job,omitempty"` // the job that the run belongs to
	Worker       string        `json:"worker"`
	Cores        float64       `json:"cores"`
	MemoryMB     int           `json:"memory_mb"`
	Accelerators int           `json:"accelerators"`
	Lease        time.Duration `json:"lease"` // the platform ends the task if it is not renewed for this long
	// Work is the run time of the unthrottled task. The stand-in uses it in place
	// of a real command line.
	Work time.Duration `json:"work"`
	// Checkpoint is the checkpoint to resume from; empty starts from the beginning.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Declared is the size that the job's author declared, set if Cores and
	// MemoryMB were corrected. The stand-in treats it as the task's real need.
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
	TaskExpired      TaskPhase = "expired" // its lease expired
)

// TaskStatus is the status of a task as the platform reports it.
type TaskStatus struct {
	ID         string    `json:"id"`
	Worker     string    `json:"worker"`
	Phase      TaskPhase `json:"phase"`
	Checkpoint string    `json:"checkpoint,omitempty"`
	Reason     string    `json:"reason,omitempty"`
}

// Usage is the resource usage of one task on a worker at AsOf.
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
	// Status returns the tasks of a worker, including those that ended within the
	// last hour.
	Status(ctx context.Context, worker string) ([]TaskStatus, error)
	Usage(ctx context.Context) ([]Usage, error)
}

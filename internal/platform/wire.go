package platform

import "time"

// Limits of the protocol. A request beyond them is answered with ErrRejected.
const (
	// MaxEntryBytes bounds the data of one entry of the log.
	MaxEntryBytes = 1 << 20
	// MaxAppendBytes bounds the data of all entries of one append.
	MaxAppendBytes = 2 << 20
	// MaxAppendEntries bounds the number of entries of one append.
	MaxAppendEntries = 1000
	// MaxReadBytes bounds the data of one batch, except that a batch always holds
	// at least one entry if there is one.
	MaxReadBytes = 2 << 20
	// MaxReadWait bounds how long a read waits for an entry.
	MaxReadWait = time.Minute
	// MaxBodyBytes bounds a message in either direction. It leaves enough for the
	// limits above in base64 and for a lagging list of about ten thousand VMs.
	MaxBodyBytes = 16 << 20
)

// Query parameters of a read.
const (
	QueryFrom   = "from"
	QueryMax    = "max"
	QueryWaitMS = "wait_ms"
)

// Verbs that end the path of an action on a VM or task.
const (
	VerbDrain      = "drain"
	VerbUndrain    = "undrain"
	VerbReboot     = "reboot"
	VerbCheckpoint = "checkpoint"
	VerbThrottle   = "throttle"
	VerbStop       = "stop"
)

// The messages below are the wire format between Client and the stand-in. No
// other package uses them.

// AppendRequest is the body of an append.
type AppendRequest struct {
	Entries [][]byte `json:"entries"`
}

// AppendReply carries the offset of the first entry appended.
type AppendReply struct {
	Offset Offset `json:"offset"`
}

// OperationReply is the reply to an action on a VM and to a status query.
type OperationReply struct {
	Status OperationStatus `json:"status"`
}

// StartRequest is the body of a task start.
type StartRequest struct {
	Spec TaskSpec  `json:"spec"`
	Op   Operation `json:"op"`
}

// RenewRequest renews the leases of tasks of one worker.
type RenewRequest struct {
	Tasks []string      `json:"tasks"`
	Lease time.Duration `json:"lease"`
	Fence Offset        `json:"fence"`
}

// TaskAction is the body of an action on a running task. Only throttle uses Share.
type TaskAction struct {
	Op    Operation `json:"op"`
	Share float64   `json:"share,omitempty"`
}

// ErrorReply is the body of every error reply. First and Next are set only if a
// read failed because its offset is trimmed.
type ErrorReply struct {
	Message string `json:"message"`
	First   Offset `json:"first,omitempty"`
	Next    Offset `json:"next,omitempty"`
}

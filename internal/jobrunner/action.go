// Package jobrunner drives the pools' jobs: it decides placements with package
// placement, appends them, and carries out on the platform what took effect.
//
// Core holds every decision and does no I/O: Step looks at the folded state and
// returns the actions that are due, Done takes their results. Runner executes
// the actions in duties joined by bounded channels. Any steward may drive any
// pool at any time: what it remembers only saves work, the fold and the
// platform's operation IDs keep it safe.
package jobrunner

import (
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Verb names what an action does.
type Verb string

// Verbs of actions.
const (
	VerbPropose    Verb = "propose"
	VerbStart      Verb = "start"
	VerbStop       Verb = "stop"
	VerbCheckpoint Verb = "checkpoint"
	VerbThrottle   Verb = "throttle"
	VerbRenew      Verb = "renew"
	VerbStatus     Verb = "status"
	VerbUsage      Verb = "usage"
)

// Lane is a class of actions with executors of its own, so that slow calls of
// one class do not hold back another.
type Lane int

// Lanes. Urgent work has its own: while calls to dead workers wait for their
// timeouts in the common lane, urgent work must still start within its bound.
const (
	LaneLog Lane = iota
	LaneTasks
	LaneUrgent
	laneCount
)

// laneLimits bounds the actions in flight in each lane.
var laneLimits = [laneCount]int{LaneLog: 64, LaneTasks: 32, LaneUrgent: 16}

// Action is one call to make. Only the fields of its verb are set.
type Action struct {
	Verb Verb
	Lane Lane
	// Key is held by one action at a time.
	Key string
	// NotAfter is when the decision behind the action is too old to act on. An
	// executor that was paused between the decision and the call must drop it:
	// the job may have been cancelled or given up meanwhile.
	NotAfter time.Time

	Record record.Record

	Job     string
	Task    string
	PlaceID string
	Spec    platform.TaskSpec
	Op      platform.Operation
	Share   float64

	Worker string
	Jobs   []string // whose tasks on the worker a renewal or status is for
	Tasks  []string
	Lease  time.Duration
	Fence  platform.Offset
}

// ErrOutdated means that an action was dropped because its time had passed;
// nothing was sent.
var ErrOutdated = errors.New("the decision is too old to act on")

// Result is what an action brought back.
type Result struct {
	Action   Action
	Err      error
	Outcome  ledger.Outcome
	Status   platform.TaskStatus
	Statuses []platform.TaskStatus
	Usage    []platform.Usage
}

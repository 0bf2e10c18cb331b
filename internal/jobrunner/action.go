// Package jobrunner runs the pools' jobs: it decides placements with package
// placement, appends them to the log, and carries out on the platform those
// that took effect.
//
// Core makes every decision and does no I/O: Step reads the folded state and
// returns the actions that are due, Done handles their results. Runner executes
// the actions in duties connected by bounded channels. Any steward may run any
// pool's jobs at any time: Core's own state only avoids duplicate work, and the
// fold and the platform's operation IDs ensure safety.
package jobrunner

import (
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Verb is the kind of an action.
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

// Lane is a class of actions with its own executors, so that slow calls of one
// class do not delay another.
type Lane int

// Lanes. Urgent work has its own lane: it must start within its bound even
// while calls to dead workers wait for their timeouts in the common lane.
const (
	LaneLog Lane = iota
	LaneTasks
	LaneUrgent
	laneCount
)

// laneLimits limits the actions in flight in each lane.
var laneLimits = [laneCount]int{LaneLog: 64, LaneTasks: 32, LaneUrgent: 16}

// Action is a call to make. Only the fields of its verb are set.
type Action struct {
	Verb Verb
	Lane Lane
	// Key excludes concurrent actions: only one action per key is in flight.
	Key string
	// NotAfter is the time after which the action must be dropped. If an
	// executor is paused between the decision and the call, the job may have
	// been cancelled or ended in the meantime.
	NotAfter time.Time

	Record record.Record

	Job     string
	Task    string
	PlaceID string
	Spec    platform.TaskSpec
	Op      platform.Operation
	Share   float64

	Worker string
	Jobs   []string // whose tasks on Worker a renewal or status read covers
	Tasks  []string
	Lease  time.Duration
	Fence  platform.Offset
}

// ErrOutdated means that an action was dropped after its NotAfter time; nothing
// was sent.
var ErrOutdated = errors.New("the decision is too old to act on")

// Result is the result of an action.
type Result struct {
	Action   Action
	Err      error
	Outcome  ledger.Outcome
	Status   platform.TaskStatus
	Statuses []platform.TaskStatus
	Usage    []platform.Usage
}

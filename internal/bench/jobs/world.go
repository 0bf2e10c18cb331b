// Package jobs simulates the stewards' job runners against the stand-in platform
// under a virtual clock, and compares the placement policies with a plain
// baseline. Results are in docs/MEASUREMENTS.md, section "Jobs".
package jobs

import (
	"context"
	"fmt"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/invariant"
	"github.com/yuccadrift/yuccadrift/internal/jobrunner"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/standin"
)

// Service is the service whose pool a world has.
const Service = "export"

// Begin is the start time of a world's clock.
var Begin = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// Node is one steward: its Core, its state as folded from the log, and its
// actions in flight.
type Node struct {
	Core        *jobrunner.Core
	State       *ledger.State
	CutOff      bool      // the node can't reach the log
	PausedUntil time.Time // the node is paused until this time

	stateReadAt time.Time
	inFlight    []delayedAction
}

// delayedAction is an action and the time at which it reaches the platform or
// the log.
type delayedAction struct {
	action jobrunner.Action
	at     time.Time
}

// WorldConfig is the size and configuration of a world.
type WorldConfig struct {
	Stewards int
	Workers  int
	Cores    int
	MemoryMB int
	Doc      document.Document
	Core     jobrunner.CoreConfig // policy switches
	Tick     time.Duration
}

// World runs stewards against the stand-in platform under a virtual clock. A nil
// entry of Nodes is a steward whose process has ended.
type World struct {
	WorldConfig
	Now      time.Time
	LogState *ledger.State // the state after the whole log
	Platform *standin.Platform
	Nodes    []*Node
	// Latency returns how long an action takes to reach the platform or the log.
	Latency func() time.Duration
	// LostStartReply reports whether the reply to a start is lost, and returns the delay
	// after which that start reaches the platform.
	LostStartReply func() (time.Duration, bool)
	Trace          []jobrunner.Verb // actions that have been executed

	log           [][]byte
	ids           int
	delayedStarts []delayedAction
}

// New returns a world whose workers have all joined the pool and are up.
func New(s WorldConfig) *World {
	w := &World{WorldConfig: s, Now: Begin, LogState: ledger.New(), Latency: func() time.Duration { return 0 }}
	w.LostStartReply = func() (time.Duration, bool) { return 0, false }
	w.Platform = standin.New(standin.Options{
		Now:              func() time.Time { return w.Now },
		AppendsPerSecond: -1,
		Groups:           []standin.Group{{Prefix: "vm", Count: s.Workers, Cores: s.Cores, MemoryMB: s.MemoryMB}},
	})
	w.LogState.Services[Service] = &ledger.Service{Doc: s.Doc} // before the first record
	for i := range s.Workers {
		sub := record.Subject{Kind: record.SubjectVM, Name: fmt.Sprintf("vm-%02d", i+1)}
		register := record.VMRegister{Zone: "a", Rack: "a-1", Address: "10.0.0.1:80", Cores: s.Cores, MemoryMB: s.MemoryMB}
		for _, body := range []record.Body{register, record.VMJoin{Pool: Service}, record.VMUp{}} {
			out := w.Write(sub, body)
			invariant.Check(out.Status == ledger.Effective, "record about a worker of a new world has no effect: %s", out.Reason)
		}
	}
	w.Nodes = make([]*Node, s.Stewards)
	for i := range s.Stewards {
		w.StartSteward(i)
	}
	return w
}

// StartSteward starts a new process of steward i, with an empty state.
func (w *World) StartSteward(i int) {
	n := &Node{State: ledger.New(), PausedUntil: w.Now}
	n.State.Services[Service] = &ledger.Service{Doc: w.Doc}
	cfg := w.Core
	cfg.Node = fmt.Sprintf("node-%d", i)
	cfg.NewID = w.newID
	cfg.Rank = func(string) int { return i }
	n.Core = jobrunner.NewCore(cfg, w.Now)
	w.Nodes[i] = n
}

func (w *World) newID() string {
	w.ids++
	return fmt.Sprintf("id-%06d", w.ids)
}

// appendRecord appends a record to the log.
func (w *World) appendRecord(rec record.Record) ledger.Outcome {
	data, err := record.Encode(rec)
	invariant.Check(err == nil, "encode a record: %v", err)
	w.log = append(w.log, data)
	return w.LogState.ApplyData(uint64(len(w.log)), data)
}

// Write appends a record that is based on the latest state, as an operator's
// command does.
func (w *World) Write(sub record.Subject, body record.Body) ledger.Outcome {
	return w.appendRecord(record.Record{ID: w.newID(), Subject: sub, Base: w.LogState.Revision(sub), Seen: w.LogState.Offset, Time: w.Now, Body: body})
}

// Step advances the clock by a tick and then runs a step of each node that is
// not paused.
func (w *World) Step() {
	w.Now = w.Now.Add(w.Tick)
	w.deliverDelayedStarts()
	for _, n := range w.Nodes {
		if n == nil || w.Now.Before(n.PausedUntil) {
			continue
		}
		w.runDueActions(n)
		if !n.CutOff {
			w.readLog(n)
		}
		for _, a := range n.Core.Step(n.State, n.stateReadAt, w.Now) {
			n.inFlight = append(n.inFlight, delayedAction{action: a, at: w.Now.Add(w.Latency())})
		}
	}
}

// readLog applies the log up to its end to the node's state.
func (w *World) readLog(n *Node) {
	for n.State.Offset < uint64(len(w.log)) {
		n.State.ApplyData(n.State.Offset+1, w.log[n.State.Offset])
	}
	n.stateReadAt = w.Now
}

// runDueActions executes the node's actions that are due and hands their results
// to its Core.
func (w *World) runDueActions(n *Node) {
	due := n.inFlight
	n.inFlight = nil
	for _, f := range due {
		if f.at.After(w.Now) {
			n.inFlight = append(n.inFlight, f)
			continue
		}
		res := w.execute(f.action, n)
		res.Action = f.action
		n.Core.Done(res, w.Now)
	}
}

func (w *World) execute(a jobrunner.Action, n *Node) (res jobrunner.Result) {
	ctx := context.Background()
	if w.Now.After(a.NotAfter) {
		return jobrunner.Result{Err: jobrunner.ErrOutdated}
	}
	w.Trace = append(w.Trace, a.Verb)
	switch a.Verb {
	case jobrunner.VerbPropose:
		if n.CutOff {
			return jobrunner.Result{Err: context.DeadlineExceeded}
		}
		res.Outcome = w.appendRecord(a.Record)
	case jobrunner.VerbStart:
		if d, ok := w.LostStartReply(); ok {
			w.delayedStarts = append(w.delayedStarts, delayedAction{action: a, at: w.Now.Add(d)})
			return jobrunner.Result{Err: platform.ErrUnknownOutcome}
		}
		res.Status, res.Err = w.Platform.Start(ctx, a.Spec, a.Op)
	case jobrunner.VerbStop:
		res.Status, res.Err = w.Platform.Stop(ctx, a.Task, a.Op)
	case jobrunner.VerbCheckpoint:
		res.Status, res.Err = w.Platform.Checkpoint(ctx, a.Task, a.Op)
	case jobrunner.VerbThrottle:
		res.Status, res.Err = w.Platform.Throttle(ctx, a.Task, a.Share, a.Op)
	case jobrunner.VerbRenew:
		res.Err = w.Platform.Renew(ctx, a.Worker, a.Tasks, a.Lease, a.Fence)
	case jobrunner.VerbStatus:
		res.Statuses, res.Err = w.Platform.Status(ctx, a.Worker)
	case jobrunner.VerbUsage:
		res.Usage, res.Err = w.Platform.Usage(ctx)
	}
	return res
}

// deliverDelayedStarts sends the delayed starts that are due to the platform.
func (w *World) deliverDelayedStarts() {
	due := w.delayedStarts
	w.delayedStarts = nil
	for _, f := range due {
		if f.at.After(w.Now) {
			w.delayedStarts = append(w.delayedStarts, f)
			continue
		}
		_, _ = w.Platform.Start(context.Background(), f.action.Spec, f.action.Op)
	}
}

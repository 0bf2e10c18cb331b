// Package jobs plays stewards' job runners against the stand-in under a virtual
// clock, and measures the policies of placement beside a plain baseline. Figures
// are in docs/MEASUREMENTS.md, section "Jobs".
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

// Service owns the one pool of a world.
const Service = "export"

// Begin is when a world's clock starts.
var Begin = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// Node is one steward: its own fold of the log, its Core, and the actions that
// it has in flight.
type Node struct {
	Core   *jobrunner.Core
	State  *ledger.State
	CutOff bool      // from the log
	Wakes  time.Time // it is paused until then

	stateReadAt time.Time
	inFlight    []delayedAction
}

// delayedAction is an action with the time at which it reaches the platform or log.
type delayedAction struct {
	action jobrunner.Action
	at     time.Time
}

// Shape is what a world is made of.
type Shape struct {
	Stewards int
	Workers  int
	Cores    int
	MemoryMB int
	Doc      document.Document
	Core     jobrunner.CoreConfig // policy switches
	Tick     time.Duration
}

// World runs stewards against the stand-in under a virtual clock. A nil node is
// one that has ended.
type World struct {
	Shape
	Now      time.Time
	Main     *ledger.State // the fold of the whole log
	Platform *standin.Platform
	Nodes    []*Node
	// Latency returns how long an action takes to arrive.
	Latency func() time.Duration
	// Strays returns whether a start gets no reply and arrives later.
	Strays func() (time.Duration, bool)
	Trace  []jobrunner.Verb // actions carried out

	log         [][]byte
	ids         int
	strayStarts []delayedAction
}

// New returns a world whose workers are all in the pool.
func New(s Shape) *World {
	w := &World{Shape: s, Now: Begin, Main: ledger.New(), Latency: func() time.Duration { return 0 }}
	w.Strays = func() (time.Duration, bool) { return 0, false }
	w.Platform = standin.New(standin.Options{
		Now:              func() time.Time { return w.Now },
		AppendsPerSecond: -1,
		Groups:           []standin.Group{{Prefix: "vm", Count: s.Workers, Cores: s.Cores, MemoryMB: s.MemoryMB}},
	})
	w.Main.Services[Service] = &ledger.Service{Doc: s.Doc} // before the first record
	for i := range s.Workers {
		sub := record.Subject{Kind: record.SubjectVM, Name: fmt.Sprintf("vm-%02d", i+1)}
		register := record.VMRegister{Zone: "a", Rack: "a-1", Address: "10.0.0.1:80", Cores: s.Cores, MemoryMB: s.MemoryMB}
		for _, body := range []record.Body{register, record.VMJoin{Pool: Service}, record.VMUp{}} {
			out := w.Write(sub, body)
			invariant.Check(out.Status == ledger.Effective, "worker of a new world: %s", out.Reason)
		}
	}
	w.Nodes = make([]*Node, s.Stewards)
	for i := range s.Stewards {
		w.Boot(i)
	}
	return w
}

// Boot starts steward i anew with an empty memory.
func (w *World) Boot(i int) {
	n := &Node{State: ledger.New(), Wakes: w.Now}
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

// appendRecord puts a record on the log.
func (w *World) appendRecord(rec record.Record) ledger.Outcome {
	data, err := record.Encode(rec)
	invariant.Check(err == nil, "a record cannot be encoded: %v", err)
	w.log = append(w.log, data)
	return w.Main.ApplyData(uint64(len(w.log)), data)
}

// Write appends an operator's record.
func (w *World) Write(sub record.Subject, body record.Body) ledger.Outcome {
	return w.appendRecord(record.Record{ID: w.newID(), Subject: sub, Base: w.Main.Revision(sub), Seen: w.Main.Offset, Time: w.Now, Body: body})
}

// Step moves the clock on by a tick and lets every node that is awake act.
func (w *World) Step() {
	w.Now = w.Now.Add(w.Tick)
	w.deliverStrayStarts()
	for _, n := range w.Nodes {
		if n == nil || w.Now.Before(n.Wakes) {
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

// readLog folds the log to its end.
func (w *World) readLog(n *Node) {
	for n.State.Offset < uint64(len(w.log)) {
		n.State.ApplyData(n.State.Offset+1, w.log[n.State.Offset])
	}
	n.stateReadAt = w.Now
}

// runDueActions carries out the node's actions whose time has come.
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
		if d, ok := w.Strays(); ok {
			w.strayStarts = append(w.strayStarts, delayedAction{action: a, at: w.Now.Add(d)})
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

// deliverStrayStarts lets strayed starts reach the platform.
func (w *World) deliverStrayStarts() {
	due := w.strayStarts
	w.strayStarts = nil
	for _, f := range due {
		if f.at.After(w.Now) {
			w.strayStarts = append(w.strayStarts, f)
			continue
		}
		_, _ = w.Platform.Start(context.Background(), f.action.Spec, f.action.Op)
	}
}

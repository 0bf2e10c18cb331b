package maintenance_test

import (
	"context"
	"fmt"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/maintenance"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/pool"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/standin"
	"github.com/yuccadrift/yuccadrift/internal/steward"
)

var pools = []string{"alpha", "beta"}

const (
	vmCount  = 11
	rackSize = 2
)

// world holds a log with its up-to-date fold, two stewards that fold it with a
// delay, and an in-process stand-in of the platform.
type world struct {
	t           *rapid.T
	now         time.Time
	log         []record.Record
	head        *ledger.State
	nodes       []*node
	delayed     []record.Record // sent, not yet in the log
	fake        *standin.Platform
	waves       int
	ids         int
	unreachable map[string]bool // VMs that fail their health check
	shortages   map[string]*shortageMeter
}

// node is a steward with its own fold.
type node struct {
	name         string
	state        *ledger.State
	disconnected bool // receives no records
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t:           t,
		now:         time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC),
		head:        ledger.New(),
		unreachable: map[string]bool{},
		shortages:   map[string]*shortageMeter{},
	}
	w.fake = standin.New(standin.Options{
		Now:    func() time.Time { return w.now },
		Groups: []standin.Group{{Prefix: "vm", Count: vmCount, RackSize: rackSize, Zones: []string{"a", "b", "c"}, Boot: 20 * time.Second}},
	})
	for _, name := range []string{"one", "two"} {
		w.nodes = append(w.nodes, &node{name: name, state: ledger.New()})
	}
	for _, name := range pools {
		w.shortages[name] = &shortageMeter{}
		w.publish(w.nodes[0], name, 4)
	}
	list, err := w.fake.List(context.Background())
	require.NoError(t, err)
	for _, vm := range list.VMs {
		w.append(w.record(w.nodes[0], subjectVM(vm.ID), record.VMRegister{
			Zone: vm.Zone, Rack: vm.Rack, Address: vm.Address, Cores: vm.Cores, MemoryMB: vm.MemoryMB,
		}))
	}
	return w
}

func subjectVM(id string) record.Subject { return record.Subject{Kind: record.SubjectVM, Name: id} }

// record returns a record that is based on the node's view.
func (w *world) record(n *node, sub record.Subject, body record.Body) record.Record {
	w.ids++
	return record.Record{
		ID:      fmt.Sprintf("r%d", w.ids),
		Subject: sub,
		Base:    n.state.Revision(sub),
		Seen:    n.state.Offset,
		Author:  n.name,
		Time:    w.now,
		Body:    body,
	}
}

// send appends a decision once, twice, or with a delay.
func (w *world) send(n *node, sub record.Subject, body record.Body) {
	rec := w.record(n, sub, body)
	switch rapid.IntRange(0, 9).Draw(w.t, "append") {
	case 0:
		w.append(rec)
		w.append(rec)
	case 1:
		w.append(rec)
		w.delayed = append(w.delayed, rec)
	case 2:
		w.delayed = append(w.delayed, rec)
	default:
		w.append(rec)
	}
}

func (w *world) append(rec record.Record) {
	var before ledger.VM
	if vm, ok := w.head.VMs[rec.Subject.Name]; ok {
		before = *vm
	}
	w.measureShortages()
	w.log = append(w.log, rec)
	out := w.head.Apply(uint64(len(w.log)), rec)
	if body, ok := rec.Body.(record.VMDrain); ok && out.Status == ledger.Effective {
		w.checkDrain(before, body)
	}
	w.measureShortages()
}

// deliverDelayed appends one of the delayed records.
func (w *world) deliverDelayed() {
	if len(w.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.delayed)-1).Draw(w.t, "late")
	rec := w.delayed[i]
	w.delayed = append(w.delayed[:i:i], w.delayed[i+1:]...)
	w.append(rec)
}

func (w *world) catchUp(n *node, records int) {
	for n.state.Offset < uint64(len(w.log)) && records > 0 && !n.disconnected {
		n.state.Apply(n.state.Offset+1, w.log[n.state.Offset])
		records--
	}
}

func (w *world) plan(n *node) {
	policy := pool.DefaultPolicy()
	policy.Rates = pool.Rates{}
	for _, p := range maintenance.Plan(pool.NewView(n.state, w.now), policy) {
		w.send(n, p.Subject, p.Body)
	}
}

// act executes the steps for the node's view, which may be stale as after a pause
// of the process.
func (w *world) act(n *node) {
	for _, id := range sortedVMs(n.state) {
		if vm := n.state.VMs[id]; maintenance.Next(vm) != maintenance.StepNone {
			w.actOn(n, vm)
		}
	}
}

func (w *world) actOn(n *node, vm *ledger.VM) {
	result := maintenance.ResultDone
	if a, ok := maintenance.ActionOf(vm); ok {
		result = w.perform(vm, a)
	}
	if !maintenance.StepComplete(vm, result, !w.unreachable[vm.ID]) {
		return
	}
	switch maintenance.Next(vm) {
	case maintenance.StepJoin:
		w.send(n, subjectVM(vm.ID), record.VMJoin{Pool: vm.Drain.Target})
	case maintenance.StepReturn:
		w.send(n, subjectVM(vm.ID), record.VMUp{})
	default:
		w.send(n, subjectVM(vm.ID), record.VMAdvance{To: maintenance.After(vm)})
	}
}

// perform sends an action to the platform. A reboot must start only if the log's
// current state calls for it, however stale the sender's view is.
func (w *world) perform(vm *ledger.VM, a maintenance.Action) maintenance.Result {
	if rapid.IntRange(0, 5).Draw(w.t, "reply") == 0 {
		_, err := w.fake.ActivateFaults(standin.Fault{Kind: standin.APILoseReply, Target: vm.ID, Count: 1})
		require.NoError(w.t, err)
	}
	before := w.fake.Counters().Reboots[vm.ID]
	op := platform.Operation{ID: a.ID, Fence: platform.Offset(a.Fence)}
	send := map[maintenance.Verb]func(context.Context, string, platform.Operation) (platform.OperationStatus, error){
		maintenance.VerbDrain:   w.fake.Drain,
		maintenance.VerbReboot:  w.fake.Reboot,
		maintenance.VerbUndrain: w.fake.Undrain,
	}
	status, err := send[a.Verb](context.Background(), vm.ID, op)
	if w.fake.Counters().Reboots[vm.ID] > before {
		now := w.head.VMs[vm.ID]
		require.Equal(w.t, record.PhaseRebooting, now.Phase, "VM %s was rebooted", vm.ID)
		require.Equal(w.t, vm.Drain.ID, now.Drain.ID, "VM %s was rebooted", vm.ID)
	}
	return steward.ResultOf(status, err)
}

// reportHealth sends records of VMs whose health differs from the node's view.
func (w *world) reportHealth(n *node) {
	for _, id := range sortedVMs(n.state) {
		vm := n.state.VMs[id]
		if maintenance.Next(vm) != maintenance.StepNone {
			continue
		}
		switch {
		case w.unreachable[id] && !vm.Down:
			w.send(n, subjectVM(id), record.VMDown{Cause: "no answer"})
		case !w.unreachable[id] && vm.Down:
			w.send(n, subjectVM(id), record.VMUp{})
		}
	}
}

package standin

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/wait"
)

// Group is a set of equal VMs. They are assigned to the zones in turn and fill the
// racks of each zone. All groups share the racks.
type Group struct {
	Prefix       string
	Count        int
	Zones        []string
	RackSize     int
	Cores        int
	MemoryMB     int
	Accelerators int
	// Slots is the number of requests that a backend server runs at a time.
	// Connections is the number of connections that it accepts at a time.
	Slots       int
	Connections int
	// BasePort is the port of the first backend server; 0 picks free ports.
	BasePort int
	// Boot is the duration of a reboot.
	Boot time.Duration
}

// Defaults of Group. The sizes are those in the project's requirements.
const (
	DefaultRackSize    = 4
	DefaultSlots       = 8
	DefaultConnections = 64
	DefaultCores       = 32
	DefaultMemoryMB    = 64 << 10
	defaultZone        = "zone-a"
)

func (g Group) withDefaults() Group {
	orDefault := func(field *int, value int) {
		if *field <= 0 {
			*field = value
		}
	}
	orDefault(&g.RackSize, DefaultRackSize)
	orDefault(&g.Slots, DefaultSlots)
	orDefault(&g.Connections, DefaultConnections)
	orDefault(&g.Cores, DefaultCores)
	orDefault(&g.MemoryMB, DefaultMemoryMB)
	if g.Boot <= 0 {
		g.Boot = DefaultBoot
	}
	if len(g.Zones) == 0 {
		g.Zones = []string{defaultZone}
	}
	return g
}

// vmState is one VM with the history of its listing.
type vmState struct {
	vm    platform.VM
	group *groupState
	port  int // of the backend server; 0 picks a free port
	// advertised is the address shown in the list; empty for the real one.
	advertised string
	up         bool
	lost       bool
	drained    bool
	booting    bool
	bootDue    time.Time // end of the boot; zero if the VM never comes back
	boots      int
	fence      platform.Offset
	ops        map[string]*operation
	history    []listVersion
}

// listVersion is how a VM is listed from a time on. If absent, it is not listed.
type listVersion struct {
	at     time.Time
	vm     platform.VM
	absent bool
}

// operation is one action on a VM.
type operation struct {
	verb   string
	status platform.OperationStatus
}

type groupState struct {
	Group
	created int
}

// fleetState holds the VMs; order is the order of creation.
type fleetState struct {
	groups     map[string]*groupState
	vms        map[string]*vmState
	order      []*vmState
	vmsPerZone map[string]int
	hasServer  bool          // a Server assigns the addresses
	changed    chan struct{} // notifies the Server of a change
}

func newFleetState() fleetState {
	return fleetState{
		groups:     map[string]*groupState{},
		vms:        map[string]*vmState{},
		vmsPerZone: map[string]int{},
		changed:    make(chan struct{}, 1),
	}
}

// AddGroup adds the VMs of a group. Without a Server, nothing listens on their
// addresses.
func (p *Platform) AddGroup(group Group) {
	now := p.lockAndAdvance()
	defer p.mu.Unlock()
	g := &groupState{Group: group.withDefaults()}
	p.fleet.groups[g.Prefix] = g
	for range g.Count {
		p.newVM(g, now)
	}
}

func (p *Platform) addVM(prefix string, now time.Time) error {
	g, ok := p.fleet.groups[prefix]
	if !ok {
		return errors.Errorf("no group of VMs %q", prefix)
	}
	p.newVM(g, now)
	return nil
}

func (p *Platform) newVM(g *groupState, now time.Time) {
	f := &p.fleet
	zone := g.Zones[g.created%len(g.Zones)]
	number := len(f.order)
	v := &vmState{group: g, up: true, boots: 1, ops: map[string]*operation{}}
	v.vm = platform.VM{
		ID:           fmt.Sprintf("%s-%02d", g.Prefix, g.created+1),
		Zone:         zone,
		Rack:         fmt.Sprintf("%s-r%02d", zone, f.vmsPerZone[zone]/g.RackSize+1),
		Address:      fmt.Sprintf("10.%d.%d.%d:8000", number>>16, number>>8&0xff, number&0xff),
		Cores:        g.Cores,
		MemoryMB:     g.MemoryMB,
		Accelerators: g.Accelerators,
		State:        platform.VMLive,
	}
	v.vm.BootID = bootID(v.vm.ID, v.boots)
	if g.BasePort > 0 {
		v.port = g.BasePort + g.created
	}
	if f.hasServer {
		v.vm.Address = ""
	}
	g.created++
	f.vmsPerZone[zone]++
	f.vms[v.vm.ID] = v
	f.order = append(f.order, v)
	p.recordListed(v, now)
}

func bootID(vm string, boot int) string { return fmt.Sprintf("%s-boot-%d", vm, boot) }

// recordListed records how the VM is listed from now on and notifies the Server.
func (p *Platform) recordListed(v *vmState, now time.Time) {
	v.vm.State = platform.VMLive
	if v.drained || v.booting {
		v.vm.State = platform.VMLeaving
	}
	v.history = append(v.history, listVersion{at: now, vm: v.vm, absent: v.lost})
	select {
	case p.fleet.changed <- struct{}{}:
	default:
	}
}

// List implements platform.Fleet.
func (p *Platform) List(ctx context.Context) (platform.VMList, error) {
	if err := p.applyAPIFaults(ctx, "list"); err != nil {
		return platform.VMList{}, errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	now := p.lockAndAdvance()
	defer p.mu.Unlock()
	asOf := now
	if lag, ok := p.faults.take(ListLag, now); ok {
		asOf = now.Add(-lag.Delay())
	}
	if asOf.Before(p.started) {
		asOf = p.started
	}
	list := platform.VMList{AsOf: asOf, VMs: []platform.VM{}}
	for _, v := range p.fleet.order {
		if vm, ok := v.listedAt(asOf); ok {
			list.VMs = append(list.VMs, vm)
		}
	}
	return list, nil
}

// listedAt returns the VM as listed at a time, or false if it was not listed.
func (v *vmState) listedAt(asOf time.Time) (platform.VM, bool) {
	for i := len(v.history) - 1; i >= 0; i-- {
		if !v.history[i].at.After(asOf) {
			vm := v.history[i].vm
			if v.advertised != "" {
				vm.Address = v.advertised
			}
			return vm, !v.history[i].absent && v.vm.Address != ""
		}
	}
	return platform.VM{}, false
}

// applyAPIFaults applies the faults that take effect before a call on a VM or task.
// A fault's target is one of the subjects.
func (p *Platform) applyAPIFaults(ctx context.Context, subjects ...string) error {
	if _, ok := p.takeFault(APIRefuse, subjects...); ok {
		return errors.Wrap(platform.ErrUnavailable, "the platform refuses")
	}
	if f, ok := p.takeFault(APISlow, subjects...); ok {
		if err := wait.Sleep(ctx, f.Delay()); err != nil {
			return errors.Wrap(platform.ErrUnknownOutcome, err.Error())
		}
	}
	return nil
}

// Drain implements platform.Fleet.
func (p *Platform) Drain(ctx context.Context, vm string, op platform.Operation) (platform.OperationStatus, error) {
	return p.actOnVM(ctx, vm, platform.VerbDrain, op)
}

// Undrain implements platform.Fleet.
func (p *Platform) Undrain(ctx context.Context, vm string, op platform.Operation) (platform.OperationStatus, error) {
	return p.actOnVM(ctx, vm, platform.VerbUndrain, op)
}

// Reboot implements platform.Fleet. It does not wait for a drain.
func (p *Platform) Reboot(ctx context.Context, vm string, op platform.Operation) (platform.OperationStatus, error) {
	return p.actOnVM(ctx, vm, platform.VerbReboot, op)
}

// Operation implements platform.Fleet.
func (p *Platform) Operation(ctx context.Context, vm, id string) (platform.OperationStatus, error) {
	if err := p.applyAPIFaults(ctx, vm, "operation"); err != nil {
		return "", errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	p.lockAndAdvance()
	defer p.mu.Unlock()
	v, ok := p.fleet.vms[vm]
	if !ok {
		return "", errors.Wrapf(platform.ErrNotFound, "VM %q", vm)
	}
	op, ok := v.ops[id]
	if !ok {
		return "", errors.Wrapf(platform.ErrNotFound, "operation %q on VM %q", id, vm)
	}
	return op.status, nil
}

func (p *Platform) actOnVM(ctx context.Context, id, verb string, op platform.Operation) (platform.OperationStatus, error) {
	if err := p.applyAPIFaults(ctx, id, verb); err != nil {
		return "", err
	}
	now := p.lockAndAdvance()
	defer p.mu.Unlock()
	done, err := p.executeVMOperation(id, verb, op, now)
	if err != nil {
		return "", err
	}
	p.finishDrains()
	if _, ok := p.faults.take(APILoseReply, now, id, verb); ok {
		return "", errors.Wrap(platform.ErrUnknownOutcome, "reply lost")
	}
	return done.status, nil
}

// executeVMOperation executes an action on a VM once per operation ID.
func (p *Platform) executeVMOperation(id, verb string, op platform.Operation, now time.Time) (*operation, error) {
	v, ok := p.fleet.vms[id]
	if !ok || v.lost {
		return nil, errors.Wrapf(platform.ErrNotFound, "VM %q", id)
	}
	if op.ID == "" {
		return nil, errors.Wrap(platform.ErrRejected, "the operation has no ID")
	}
	if known, ok := v.ops[op.ID]; ok {
		if known.verb != verb {
			return nil, errors.Wrapf(platform.ErrRejected, "operation %q is a %s", op.ID, known.verb)
		}
		return known, nil
	}
	if op.Fence < v.fence {
		return nil, errors.Wrapf(platform.ErrFenced, "VM %q has seen %d, got %d", id, v.fence, op.Fence)
	}
	v.fence = op.Fence
	done := &operation{verb: verb, status: platform.OperationRunning}
	v.ops[op.ID] = done
	p.applyVMAction(v, done, now)
	return done, nil
}

func (p *Platform) applyVMAction(v *vmState, op *operation, now time.Time) {
	switch op.verb {
	case platform.VerbDrain:
		v.drained = true
	case platform.VerbUndrain:
		v.drained = false
		v.endOperations(platform.VerbDrain, platform.OperationFailed)
		op.status = platform.OperationDone
	case platform.VerbReboot:
		p.startReboot(v, now)
	}
	p.recordListed(v, now)
}

// endOperations ends the VM's running operations of one verb, or of all verbs if it is
// empty.
func (v *vmState) endOperations(verb string, status platform.OperationStatus) {
	for _, op := range v.ops {
		if op.status == platform.OperationRunning && (verb == "" || op.verb == verb) {
			op.status = status
		}
	}
}

// finishDrains marks the drains of VMs without running tasks as done.
func (p *Platform) finishDrains() {
	for _, v := range p.fleet.order {
		if v.drained && !p.tasks.hasRunningTaskOn(v.vm.ID) {
			v.endOperations(platform.VerbDrain, platform.OperationDone)
		}
	}
}

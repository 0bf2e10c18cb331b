package standin

import (
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/platform"
)

// reboot takes the VM down with its tasks and says when it is up again.
func (p *Platform) reboot(v *vmState, now time.Time) {
	p.counters.reboots[v.vm.ID]++
	p.endTasksOf(v.vm.ID, "the VM was rebooted", now)
	v.up = false
	v.booting = true
	v.bootDue = time.Time{}
	if _, ok := p.faults.take(BootNever, now, v.vm.ID); ok {
		return
	}
	v.bootDue = now.Add(v.group.Boot)
	if f, ok := p.faults.take(BootSlow, now, v.vm.ID); ok {
		v.bootDue = v.bootDue.Add(f.Delay())
	}
}

// nextBoot offers the earliest boot that is to finish.
func (p *Platform) nextBoot(first *earliest) {
	for _, v := range p.fleet.order {
		if v.booting && !v.bootDue.IsZero() {
			first.offer(v.bootDue, func(now time.Time) { p.booted(v, now) })
		}
	}
}

func (p *Platform) booted(v *vmState, now time.Time) {
	v.boots++
	v.vm.BootID = bootID(v.vm.ID, v.boots)
	v.up = true
	v.booting = false
	v.settle(platform.VerbReboot, platform.OperationDone)
	p.record(v, now)
}

// crash loses VMs for good, or until they are recovered.
func (p *Platform) crash(target string, now time.Time) error {
	return p.each(target, func(v *vmState) {
		p.endTasksOf(v.vm.ID, "the VM was lost", now)
		v.up = false
		v.booting = false
		v.lost = true
		v.settle("", platform.OperationFailed)
		p.record(v, now)
	})
}

// recover brings back VMs that were lost or never booted.
func (p *Platform) recover(target string, now time.Time) error {
	return p.each(target, func(v *vmState) {
		if v.up {
			return
		}
		v.lost = false
		p.booted(v, now)
	})
}

// each applies f to the VM, or to the VMs of the rack or zone, that target names.
func (p *Platform) each(target string, f func(*vmState)) error {
	domain, name := failureDomain(target)
	found := false
	for _, v := range p.fleet.order {
		if v.in(domain, name) {
			found = true
			f(v)
		}
	}
	if !found {
		return errors.Errorf("no VM matches %q", target)
	}
	return nil
}

func (v *vmState) in(domain, name string) bool {
	switch domain {
	case "rack":
		return v.vm.Rack == name
	case "zone":
		return v.vm.Zone == name
	default:
		return v.vm.ID == name
	}
}

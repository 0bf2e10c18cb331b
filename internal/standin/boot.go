package standin

import (
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/platform"
)

// startReboot takes the VM and its tasks down and sets the end of the boot.
func (p *Platform) startReboot(v *vmState, now time.Time) {
	p.counters.reboots[v.vm.ID]++
	p.failTasksOn(v.vm.ID, "the VM was rebooted", now)
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

// offerBoots offers the ends of all boots in progress.
func (p *Platform) offerBoots(first *earliestEvent) {
	for _, v := range p.fleet.order {
		if v.booting && !v.bootDue.IsZero() {
			first.offer(v.bootDue, func(now time.Time) { p.finishBoot(v, now) })
		}
	}
}

func (p *Platform) finishBoot(v *vmState, now time.Time) {
	v.boots++
	v.vm.BootID = bootID(v.vm.ID, v.boots)
	v.up = true
	v.booting = false
	v.endOperations(platform.VerbReboot, platform.OperationDone)
	p.recordListed(v, now)
}

// crashVMs takes VMs and their tasks down until the VMs are recovered.
func (p *Platform) crashVMs(target string, now time.Time) error {
	return p.forEachVM(target, func(v *vmState) {
		p.failTasksOn(v.vm.ID, "the VM was lost", now)
		v.up = false
		v.booting = false
		v.lost = true
		v.endOperations("", platform.OperationFailed)
		p.recordListed(v, now)
	})
}

// recoverVMs brings up the VMs that are down, also during a reboot.
func (p *Platform) recoverVMs(target string, now time.Time) error {
	return p.forEachVM(target, func(v *vmState) {
		if v.up {
			return
		}
		v.lost = false
		p.finishBoot(v, now)
	})
}

// forEachVM calls f for the VM that target names, or for each VM of the rack or zone.
func (p *Platform) forEachVM(target string, f func(*vmState)) error {
	domain, name := parseTarget(target)
	found := false
	for _, v := range p.fleet.order {
		if v.inDomain(domain, name) {
			found = true
			f(v)
		}
	}
	if !found {
		return errors.Errorf("no VM matches %q", target)
	}
	return nil
}

func (v *vmState) inDomain(domain, name string) bool {
	switch domain {
	case "rack":
		return v.vm.Rack == name
	case "zone":
		return v.vm.Zone == name
	default:
		return v.vm.ID == name
	}
}

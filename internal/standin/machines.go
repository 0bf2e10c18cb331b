package standin

import "github.com/pkg/errors"

// vmInfo is what the Server needs to know of a VM.
type vmInfo struct {
	id          string
	zone        string
	address     string // empty until the Server has bound one
	port        int    // to bind when the address is empty
	up          bool
	lost        bool
	boots       int
	slots       int
	connections int
}

// clearAddresses says that a Server binds the addresses of all VMs. Until it has
// done so for a VM, the list leaves that VM out.
func (p *Platform) clearAddresses() {
	p.lockAndAdvance()
	defer p.mu.Unlock()
	p.fleet.hasServer = true
	for _, v := range p.fleet.order {
		v.setAddress("")
	}
}

func (p *Platform) vmInfos() []vmInfo {
	p.lockAndAdvance()
	defer p.mu.Unlock()
	machines := make([]vmInfo, 0, len(p.fleet.order))
	for _, v := range p.fleet.order {
		machines = append(machines, vmInfo{
			id:          v.vm.ID,
			zone:        v.vm.Zone,
			address:     v.vm.Address,
			port:        v.port,
			up:          v.up,
			lost:        v.lost,
			boots:       v.boots,
			slots:       v.group.Slots,
			connections: v.group.Connections,
		})
	}
	return machines
}

func (p *Platform) setAddress(vm, address string) {
	p.lockAndAdvance()
	defer p.mu.Unlock()
	p.fleet.vms[vm].setAddress(address)
}

// setAddress also amends the past: an address never changes once it is bound.
func (v *vmState) setAddress(address string) {
	v.vm.Address = address
	for i := range v.history {
		v.history[i].vm.Address = address
	}
}

// Advertise makes the list show other addresses, by VM, than those that the
// backend servers listen on: those of proxies that stand in front of them.
func (p *Platform) Advertise(addresses map[string]string) error {
	p.lockAndAdvance()
	defer p.mu.Unlock()
	for vm := range addresses {
		if p.fleet.vms[vm] == nil {
			return errors.Errorf("no VM %q", vm)
		}
	}
	for vm, address := range addresses {
		p.fleet.vms[vm].advertised = address
	}
	return nil
}

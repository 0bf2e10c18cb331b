package standin

import "github.com/pkg/errors"

// vmInfo is the state of a VM that the Server needs.
type vmInfo struct {
	id          string
	zone        string
	address     string // empty until the Server has bound one
	port        int    // to bind while the address is empty
	up          bool
	lost        bool
	boots       int
	slots       int
	connections int
}

// clearAddresses clears the addresses of all VMs, so that a Server assigns them. A VM
// is not listed until the Server has bound its address.
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
	infos := make([]vmInfo, 0, len(p.fleet.order))
	for _, v := range p.fleet.order {
		infos = append(infos, vmInfo{
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
	return infos
}

func (p *Platform) setAddress(vm, address string) {
	p.lockAndAdvance()
	defer p.mu.Unlock()
	p.fleet.vms[vm].setAddress(address)
}

// setAddress sets the address in the history too, since a bound address never changes.
func (v *vmState) setAddress(address string) {
	v.vm.Address = address
	for i := range v.history {
		v.history[i].vm.Address = address
	}
}

// Advertise sets the addresses shown in the list, by VM, for example those of
// proxies in front of the backend servers.
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

package steward

import (
	"context"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
)

// Peers gives access to the stewards of other nodes.
type Peers interface {
	// Configured reports whether any peers are configured.
	Configured() bool
	// Nodes returns the nodes whose stewards are alive.
	Nodes() []string
	// Healthy returns the backend servers that at least one asked peer reaches,
	// and the number of peers that replied.
	Healthy(ctx context.Context, addresses []string) (healthy map[string]bool, replied int)
}

// NoPeers implements Peers for a steward without peers.
type NoPeers struct{}

// Configured implements Peers.
func (NoPeers) Configured() bool { return false }

// Nodes implements Peers.
func (NoPeers) Nodes() []string { return nil }

// Healthy implements Peers.
func (NoPeers) Healthy(context.Context, []string) (map[string]bool, int) { return nil, 0 }

// failingVM is a VM that fails the health checks of this steward.
type failingVM struct {
	vm    ledger.VM
	cause string
}

// confirmFailures returns the failing VMs that are to be recorded as down. If
// this node's own network is cut, all VMs fail here at once, and recording them
// as down would spend the budgets of pools that serve. A VM that a peer reaches
// is therefore not down. If no peer replies and VMs of several racks fail,
// nothing is recorded, provided that peers are configured or at least half of
// sample failed. sample holds the results of the VMs that were checked in this
// round regardless of earlier failures.
func (h *health) confirmFailures(ctx context.Context, failing []failingVM, sample []error) []failingVM {
	if len(failing) == 0 {
		return nil
	}
	addresses := make([]string, 0, len(failing))
	racks := map[string]bool{}
	for _, s := range failing {
		addresses = append(addresses, s.vm.Address)
		racks[s.vm.Rack] = true
	}
	healthyAtPeer, replied := h.cfg.Peers.Healthy(ctx, addresses)
	localFault := len(racks) > 1 && (h.cfg.Peers.Configured() || atLeastHalfFailed(sample))
	if replied == 0 && localFault {
		h.metrics.heldBack.Add(float64(len(failing)))
		h.cfg.Logger.Warn("failures not recorded: this node's own network may be cut", "vms", len(failing), "racks", len(racks))
		return nil
	}
	var down []failingVM
	for _, s := range failing {
		if healthyAtPeer[s.vm.Address] {
			h.metrics.heldBack.Inc()
			h.cfg.Logger.Warn("failure not recorded: a peer reaches the VM", "vm", s.vm.ID, "cause", s.cause)
			continue
		}
		down = append(down, s)
	}
	return down
}

func atLeastHalfFailed(results []error) bool {
	failed := 0
	for _, err := range results {
		if err != nil {
			failed++
		}
	}
	return 2*failed >= len(results)
}

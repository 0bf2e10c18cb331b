package steward

import (
	"context"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
)

// Peers are the other nodes' stewards.
type Peers interface {
	// Configured reports whether there should be any.
	Configured() bool
	// Nodes returns the nodes whose stewards are there.
	Nodes() []string
	// Healthy returns the backend servers that answer one of the peers, and how
	// many peers were heard.
	Healthy(ctx context.Context, addresses []string) (healthy map[string]bool, asked int)
}

// NoPeers stands for a steward without peers.
type NoPeers struct{}

// Configured implements Peers.
func (NoPeers) Configured() bool { return false }

// Nodes implements Peers.
func (NoPeers) Nodes() []string { return nil }

// Healthy implements Peers.
func (NoPeers) Healthy(context.Context, []string) (map[string]bool, int) { return nil, 0 }

// failingVM is a VM that fails its health checks here.
type failingVM struct {
	vm    ledger.VM
	cause string
}

// confirmFailures returns the suspects that are down. The failure is that this node's
// own network is cut: all VMs then fail here at once, and recording them as down
// would spend the budgets of pools that serve. So a peer that reaches a VM
// clears it; without any peer's word, failures in several racks at once count
// as this node's own. sample holds the round's results of VMs that were checked
// whether or not they had failed before.
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
	healthyAtPeer, asked := h.cfg.Peers.Healthy(ctx, addresses)
	localFault := len(racks) > 1 && (h.cfg.Peers.Configured() || atLeastHalfFailed(sample))
	if asked == 0 && localFault {
		h.metrics.heldBack.Add(float64(len(failing)))
		h.cfg.Logger.Warn("failures held back: this node's own network may be cut", "vms", len(failing), "racks", len(racks))
		return nil
	}
	var down []failingVM
	for _, s := range failing {
		if healthyAtPeer[s.vm.Address] {
			h.metrics.heldBack.Inc()
			h.cfg.Logger.Warn("a peer reaches a VM that fails here", "vm", s.vm.ID, "cause", s.cause)
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

package membership

import (
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/yuccadrift/yuccadrift/internal/entrypeer"
	"github.com/yuccadrift/yuccadrift/internal/settings"
	"github.com/yuccadrift/yuccadrift/internal/supervise"
)

// Entry holds the dependencies of the membership of an entry process.
type Entry struct {
	Settings  settings.Entry
	Address   string // IP:port of the peer server for other nodes
	Registry  prometheus.Registerer
	Log       Log
	Readiness Readiness
	Logger    hclog.Logger
	InFlight  func() (offset uint64, vms map[string]int)
	// State is sent to peers that cannot read the log.
	State entrypeer.StateSource
}

// NewEntry returns the membership of an entry process and its entrypeer.Node.
// The caller must register the node with the peer server.
func NewEntry(e Entry) (*Duty, *entrypeer.Node) {
	node := entrypeer.NewNode(entrypeer.NodeConfig{
		Logger:            e.Logger.Named("claims"),
		CallTimeout:       entrypeer.DefaultCallTimeout,
		ClaimRetryTimeout: entrypeer.DefaultClaimRetryTimeout,
		InFlight:          e.InFlight,
		State:             e.State,
	})
	e.Registry.MustRegister(entrypeer.NewCollector(node))
	duty := New(Config{
		Node:      e.Settings.Node.ID,
		Zone:      e.Settings.Node.Zone,
		Address:   e.Address,
		Log:       e.Log,
		Peers:     node,
		Claim:     ClaimConfig(e.Settings.Claims),
		Lease:     LeaseConfig(e.Settings.Claims),
		Readiness: e.Readiness,
		Logger:    e.Logger.Named("membership"),
	})
	return duty, node
}

// Duties returns the functions that the supervisor must run.
func (d *Duty) Duties() []supervise.Duty {
	return []supervise.Duty{
		{Name: "reports", Serve: d.cfg.Peers.Serve},
		{Name: "membership", Serve: d.Serve},
	}
}

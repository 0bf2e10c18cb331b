package main

import (
	"context"
	"os"
	"slices"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/yuccadrift/yuccadrift/internal/admin"
	"github.com/yuccadrift/yuccadrift/internal/caller"
	"github.com/yuccadrift/yuccadrift/internal/entry"
	"github.com/yuccadrift/yuccadrift/internal/entrypeer"
	"github.com/yuccadrift/yuccadrift/internal/follower"
	"github.com/yuccadrift/yuccadrift/internal/listen"
	"github.com/yuccadrift/yuccadrift/internal/logging"
	"github.com/yuccadrift/yuccadrift/internal/membership"
	"github.com/yuccadrift/yuccadrift/internal/operator"
	"github.com/yuccadrift/yuccadrift/internal/peerserver"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/settings"
	"github.com/yuccadrift/yuccadrift/internal/supervise"
)

// run serves until the server for callers has drained, which begins when stopCtx
// is done. All other duties run until then, since draining needs them.
func run(stopCtx context.Context, s settings.Entry) error {
	ctx := context.WithoutCancel(stopCtx)
	logger := logging.New(binary, s.Node, s.Log, os.Stderr)
	listeners, err := bindListeners(ctx, s)
	if err != nil {
		return err
	}
	client := platform.NewClient(s.Platform.Address.String(), platform.ClientOptions{Timeout: s.Platform.RequestTimeout.Duration})
	defer client.Close()
	states := entrypeer.NewStateClient(s.Peers.SeedAddresses())
	defer states.Close()
	follow := follower.New(follower.FromSettings(s.Common, client, states, logger))
	readiness := admin.NewReadiness()
	registry := admin.NewRegistry(binary)
	registry.MustRegister(follow)
	peers := peerserver.New(listeners.peers)
	var ent *entry.Entry
	member, node := membership.NewEntry(membership.Entry{
		Settings:  s,
		Address:   advertisedAddress(s, listeners.peers),
		Registry:  registry,
		Log:       follow,
		Readiness: readiness,
		Logger:    logger,
		InFlight:  func() (uint64, map[string]int) { return ent.InFlights() },
		State:     follow,
	})
	defer node.Close()
	node.Register(peers.Registrar())
	ent = entry.New(entry.Config{
		Settings:  s,
		Callers:   listeners.callers,
		Follower:  follow,
		Claims:    entry.NewClaims(node),
		CheckKey:  entry.CheckKey,
		Registry:  registry,
		Readiness: readiness,
		Logger:    logger,
		Stop:      stopCtx.Done(),
		OnDrained: member.Leave,
	})
	operator.Register(peers.Registrar(), operatorConfig(s, follow, ent, readiness))
	duties := slices.Concat(ent.Duties(), member.Duties(), follow.Duties(), []supervise.Duty{
		{Name: "admin", Serve: newAdminServer(s, listeners.admin, registry, readiness, logger).Serve},
		{Name: "peers", Serve: peers.Serve},
	})
	logger.Info("entry started", "callers", listeners.callers.Addr(), "admin", listeners.admin.Addr())
	return supervise.Run(ctx, binary, logger, duties...)
}

// listeners are the process's listeners for operators, callers and other nodes.
type listeners struct {
	admin, callers, peers caller.Listener
}

// bindListeners opens all listeners. It runs before anything else is started, so
// that an address in use fails the start early.
func bindListeners(ctx context.Context, s settings.Entry) (l listeners, err error) {
	if l.admin, err = listen.TCP(ctx, "admin.listen", s.Admin.Listen); err != nil {
		return l, err
	}
	if l.callers, err = listen.TCP(ctx, "callers.listen", s.Callers.Listen); err != nil {
		return l, err
	}
	l.peers, err = listen.TCP(ctx, "peers.listen", s.Peers.Listen)
	return l, err
}

// advertisedAddress returns the address that other nodes dial. It defaults to the
// listener's address, whose port is the bound one if the settings give port 0.
func advertisedAddress(s settings.Entry, l caller.Listener) string {
	if s.Peers.Advertise.IsValid() {
		return s.Peers.Advertise.String()
	}
	return l.Addr().String()
}

// operatorConfig returns the configuration of the Operator service.
func operatorConfig(s settings.Entry, follow *follower.Follower, ent *entry.Entry, readiness *admin.Readiness) operator.ServerConfig {
	return operator.ServerConfig{
		Node:         s.Node.ID,
		Role:         operator.RoleEntry,
		Zone:         s.Node.Zone,
		State:        follow,
		ActingOffset: ent.Offset,
		Unready:      readiness.Reasons,
	}
}

// newAdminServer returns the server of metrics, health and readiness.
func newAdminServer(s settings.Entry, l caller.Listener, registry *prometheus.Registry, readiness *admin.Readiness, logger hclog.Logger) *admin.Server {
	return admin.New(admin.Config{
		Listener:  l,
		Registry:  registry,
		Readiness: readiness,
		Profiles:  s.Admin.Profiles,
		Logger:    logger.Named("admin"),
	})
}

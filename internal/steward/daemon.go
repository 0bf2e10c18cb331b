package steward

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/ulid/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/yuccadrift/yuccadrift/internal/admin"
	"github.com/yuccadrift/yuccadrift/internal/backend"
	"github.com/yuccadrift/yuccadrift/internal/burnmetrics"
	"github.com/yuccadrift/yuccadrift/internal/entrypeer"
	"github.com/yuccadrift/yuccadrift/internal/follower"
	"github.com/yuccadrift/yuccadrift/internal/jobrunner"
	"github.com/yuccadrift/yuccadrift/internal/listen"
	"github.com/yuccadrift/yuccadrift/internal/operator"
	"github.com/yuccadrift/yuccadrift/internal/peerserver"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/settings"
	"github.com/yuccadrift/yuccadrift/internal/stewardpeer"
	"github.com/yuccadrift/yuccadrift/internal/supervise"
)

// Run runs the steward daemon until ctx ends or a duty fails permanently. name
// identifies the daemon in logs and metrics.
func Run(ctx context.Context, name string, s settings.Steward, logger hclog.Logger) error {
	adminListener, err := listen.TCP(ctx, "admin.listen", s.Admin.Listen)
	if err != nil {
		return err
	}
	peerListener, err := listen.TCP(ctx, "peers.listen", s.Peers.Listen)
	if err != nil {
		return err
	}
	client := platform.NewClient(s.Platform.Address.String(), platform.ClientOptions{Timeout: s.Platform.RequestTimeout.Duration})
	defer client.Close()
	entries := entrypeer.NewInFlightClient()
	defer entries.Close()
	stewards, err := stewardpeer.NewPeers(s.Peers.SeedAddresses(), logger.Named("peers"))
	if err != nil {
		return err
	}
	defer stewards.Close()
	states := entrypeer.NewStateClient(s.Peers.SeedAddresses())
	defer states.Close()
	d := newDaemon(s, client, states, logger)
	registry := admin.NewRegistry(name)
	registry.MustRegister(d.follower, burnmetrics.New(d.follower, time.Now))
	decider := d.newSteward(client, entries, stewards, registry)
	server := admin.New(admin.Config{
		Listener:  adminListener,
		Registry:  registry,
		Readiness: d.readiness,
		Profiles:  s.Admin.Profiles,
		Logger:    logger.Named("admin"),
	})
	peers := peerserver.New(peerListener)
	d.registerServices(peers, decider)
	logger.Info("steward started", "admin", adminListener.Addr())
	duties := append(d.follower.Duties(), decider.Duties()...)
	duties = append(duties, d.newJobRunner(client, decider, registry).Duties()...)
	return supervise.Run(ctx, name, logger, append(duties,
		supervise.Duty{Name: "admin", Serve: server.Serve},
		supervise.Duty{Name: "peers", Serve: peers.Serve},
		supervise.Duty{Name: "greet", Serve: stewards.Serve},
		supervise.Duty{Name: "ready", Serve: func(ctx context.Context) error { return d.reportLogReadiness(ctx, decider) }},
	)...)
}

// reportLogReadiness keeps the "log" entry of the readiness page: ready while
// the steward may decide.
func (d daemon) reportLogReadiness(ctx context.Context, s *Steward) error {
	return every(ctx, time.Second, func(context.Context) {
		if s.MayDecide() {
			d.readiness.SetReady("log")
			return
		}
		_, detail := d.follower.Condition()
		d.readiness.SetNotReady("log", "the end of the log was not reached lately; nothing is decided; "+detail)
	})
}

// daemon holds what the daemon's services share.
type daemon struct {
	settings  settings.Steward
	logger    hclog.Logger
	follower  *follower.Follower
	readiness *admin.Readiness
	health    Checker
}

func newDaemon(s settings.Steward, log platform.Log, states follower.Peers, logger hclog.Logger) daemon {
	return daemon{
		settings:  s,
		logger:    logger,
		follower:  follower.New(follower.FromSettings(s.Common, log, states, logger)),
		readiness: admin.NewReadiness(),
		health:    backend.NewHealthChecker(),
	}
}

// registerServices registers the gRPC services of the daemon's peer address.
func (d daemon) registerServices(peers *peerserver.Server, s *Steward) {
	operator.Register(peers.Registrar(), operator.ServerConfig{
		Node:    d.settings.Node.ID,
		Role:    operator.RoleSteward,
		Zone:    d.settings.Node.Zone,
		State:   d.follower,
		Unready: d.readiness.Reasons,
	})
	entrypeer.RegisterState(peers.Registrar(), d.follower)
	stewardpeer.Register(peers.Registrar(), stewardpeer.ServerConfig{
		Node:      d.settings.Node.ID,
		MayDecide: s.MayDecide,
		Check:     d.health.Check,
	})
}

// newSteward returns the Steward that decides about the fleet.
func (d daemon) newSteward(fleet platform.Fleet, entries Entries, peers Peers, registry prometheus.Registerer) *Steward {
	return New(Config{
		Node:          d.settings.Node.ID,
		Follower:      d.follower,
		Fleet:         fleet,
		Entries:       entries,
		Health:        d.health,
		Peers:         peers,
		Logger:        d.logger,
		Metrics:       registry,
		PlanInterval:  d.settings.Planning.Interval.Duration,
		ListInterval:  d.settings.Planning.ListInterval.Duration,
		MaxActions:    d.settings.Planning.MaxActions,
		ActionTimeout: d.settings.Planning.ActionTimeout.Duration,
	})
}

// newJobRunner returns the Runner of the pools' jobs.
func (d daemon) newJobRunner(tasks platform.Tasks, s *Steward, registry prometheus.Registerer) *jobrunner.Runner {
	return jobrunner.New(jobrunner.Config{
		Core: jobrunner.CoreConfig{
			Node:  d.settings.Node.ID,
			NewID: func() string { return ulid.Make().String() },
			Rank:  s.Rank,
		},
		Follower: d.follower,
		Tasks:    tasks,
		Logger:   d.logger.Named("jobs"),
		Metrics:  jobrunner.NewMetrics(registry),
	})
}

// Command yuccadrift-steward makes and carries out the fleet decisions of one
// entry VM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/yuccadrift/yuccadrift/internal/admin"
	"github.com/yuccadrift/yuccadrift/internal/backend"
	"github.com/yuccadrift/yuccadrift/internal/burnmetrics"
	"github.com/yuccadrift/yuccadrift/internal/entrypeer"
	"github.com/yuccadrift/yuccadrift/internal/follower"
	"github.com/yuccadrift/yuccadrift/internal/listen"
	"github.com/yuccadrift/yuccadrift/internal/logging"
	"github.com/yuccadrift/yuccadrift/internal/operator"
	"github.com/yuccadrift/yuccadrift/internal/peerserver"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/settings"
	"github.com/yuccadrift/yuccadrift/internal/steward"
	"github.com/yuccadrift/yuccadrift/internal/supervise"
)

const binary = "yuccadrift-steward"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  binary,
		Usage: "make and carry out the fleet decisions of this VM",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "read settings from `FILE` (TOML)", Required: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s, err := settings.LoadSteward(cmd.String("config"))
			if err != nil || cmd.Bool("check") {
				return err
			}
			return run(ctx, s)
		},
	}
}

func run(ctx context.Context, s settings.Steward) error {
	logger := logging.New(binary, s.Node, s.Log, os.Stderr)
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
	entries := entrypeer.NewAsker()
	defer entries.Close()
	follow := follower.New(follower.Config{Log: client, Stream: s.Platform.Stream, Logger: logger.Named("log")})
	readiness := admin.NewReadiness()
	st := steward.New(steward.Config{
		Node:          s.Node.ID,
		Follower:      follow,
		Fleet:         client,
		Entries:       entries,
		Health:        backend.NewHealthChecker(),
		Logger:        logger,
		PlanInterval:  s.Planning.Interval.Duration,
		ListInterval:  s.Planning.ListInterval.Duration,
		MaxActions:    s.Planning.MaxActions,
		ActionTimeout: s.Planning.ActionTimeout.Duration,
	})
	registry := admin.NewRegistry(binary)
	registry.MustRegister(burnmetrics.New(follow, time.Now))
	jobs := newJobs(s, follow, client, st, registry, logger)
	server := admin.New(admin.Config{
		Listener:  adminListener,
		Registry:  registry,
		Readiness: readiness,
		Profiles:  s.Admin.Profiles,
		Logger:    logger.Named("admin"),
	})
	peers := peerserver.New(peerListener)
	operator.Register(peers.Registrar(), operator.ServerConfig{
		Node:    s.Node.ID,
		Role:    operator.RoleSteward,
		Zone:    s.Node.Zone,
		State:   follow,
		Unready: readiness.Reasons,
	})
	duties := append(append(st.Duties(), jobs.Duties()...),
		supervise.Duty{Name: "follow", Serve: follow.Serve},
		supervise.Duty{Name: "admin", Serve: server.Serve},
		supervise.Duty{Name: "peers", Serve: peers.Serve},
	)
	logger.Info("steward started", "admin", adminListener.Addr())
	return supervise.Run(ctx, binary, logger, duties...)
}

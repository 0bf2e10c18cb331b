// Command yuccadrift-entry carries callers' requests to backend servers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/yuccadrift/yuccadrift/internal/admin"
	"github.com/yuccadrift/yuccadrift/internal/entry"
	"github.com/yuccadrift/yuccadrift/internal/follower"
	"github.com/yuccadrift/yuccadrift/internal/listen"
	"github.com/yuccadrift/yuccadrift/internal/logging"
	"github.com/yuccadrift/yuccadrift/internal/operator"
	"github.com/yuccadrift/yuccadrift/internal/peerserver"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/settings"
	"github.com/yuccadrift/yuccadrift/internal/supervise"
)

const binary = "yuccadrift-entry"

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
		Usage: "carry callers' requests to backend servers",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "read settings from `FILE` (TOML)", Required: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s, err := settings.LoadEntry(cmd.String("config"))
			if err != nil || cmd.Bool("check") {
				return err
			}
			return run(ctx, s)
		},
	}
}

// run serves until the callers' server has left, which begins when stop ends:
// the other duties are needed until then.
func run(stop context.Context, s settings.Entry) error {
	ctx := context.WithoutCancel(stop)
	logger := logging.New(binary, s.Node, s.Log, os.Stderr)
	adminListener, err := listen.TCP(ctx, "admin.listen", s.Admin.Listen)
	if err != nil {
		return err
	}
	callers, err := listen.TCP(ctx, "callers.listen", s.Callers.Listen)
	if err != nil {
		return err
	}
	peerListener, err := listen.TCP(ctx, "peers.listen", s.Peers.Listen)
	if err != nil {
		return err
	}
	client := platform.NewClient(s.Platform.Address.String(), platform.ClientOptions{Timeout: s.Platform.RequestTimeout.Duration})
	defer client.Close()
	follow := follower.New(follower.Config{Log: client, Stream: s.Platform.Stream, Logger: logger.Named("log")})
	readiness := admin.NewReadiness()
	registry := admin.NewRegistry(binary)
	ent := entry.New(entry.Config{
		Settings:  s,
		Callers:   callers,
		Follower:  follow,
		Claims:    entry.NoClaims{},
		CheckKey:  entry.CheckKey,
		Registry:  registry,
		Readiness: readiness,
		Logger:    logger,
		Stop:      stop.Done(),
	})
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
		Role:    operator.RoleEntry,
		Zone:    s.Node.Zone,
		State:   follow,
		Acting:  ent.Offset,
		Unready: readiness.Reasons,
	})
	duties := append(ent.Duties(),
		supervise.Duty{Name: "follow", Serve: follow.Serve},
		supervise.Duty{Name: "admin", Serve: server.Serve},
		supervise.Duty{Name: "peers", Serve: peers.Serve},
	)
	logger.Info("entry started", "callers", callers.Addr(), "admin", adminListener.Addr())
	return supervise.Run(ctx, binary, logger, duties...)
}

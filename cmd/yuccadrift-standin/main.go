// Command yuccadrift-standin is a fake of the platform for development and
// tests: log service, VMs, tasks, lagging list and backend servers, with faults
// to order on its control page.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"github.com/yuccadrift/yuccadrift/internal/standin"
	"github.com/yuccadrift/yuccadrift/internal/supervise"
)

const binary = "yuccadrift-standin"

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
		Usage: "stand in for the platform in development and tests",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "read settings from `FILE` (TOML)", Required: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s, err := loadSettings(cmd.String("config"))
			if err != nil || cmd.Bool("check") {
				return err
			}
			return run(ctx, s)
		},
	}
}

func run(ctx context.Context, s settings) error {
	logger := hclog.New(&hclog.LoggerOptions{
		Name:       binary,
		Level:      hclog.LevelFromString(s.LogLevel),
		JSONFormat: s.LogFormat == "json",
	})
	fake := standin.New(s.options())
	server, err := standin.NewServer(fake, standin.ServerOptions{
		Listen: s.Listen.String(),
		Work:   s.DefaultWork.Duration,
		Logger: logger,
	})
	if err != nil {
		return err
	}
	logger.Info("serving", "control", "http://"+server.Addr()+"/control/", "backends", server.BackendAddresses())
	return supervise.Run(ctx, binary, logger, supervise.Duty{Name: "platform", Serve: server.Serve})
}

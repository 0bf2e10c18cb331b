// Command yuccadrift-entry carries callers' requests to backend servers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/yuccadrift/yuccadrift/internal/settings"
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

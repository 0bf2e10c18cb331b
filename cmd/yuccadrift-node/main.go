// Command yuccadrift-node runs on each entry VM of the users' platform. It serves callers, owns the
// jobs of services and manages the fleet.
package main

import (
	"context"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/yuccadrift/yuccadrift/internal/command"
	"github.com/yuccadrift/yuccadrift/internal/node"
	"github.com/yuccadrift/yuccadrift/platform"
)

func main() {
	command.Main(&cli.Command{
		Name:  "yuccadrift-node",
		Usage: "serve callers, run their jobs and manage the fleet",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "read settings from `FILE` (TOML)", Sources: cli.EnvVars(platform.SettingsVariable), Required: true},
			&cli.BoolFlag{Name: "check", Usage: "validate the settings and exit"},
		},
		Action: run,
	})
}

func run(ctx context.Context, cmd *cli.Command) error {
	path := cmd.String("config")
	if cmd.Bool("check") {
		_, err := platform.LoadSettings(path)
		return err
	}
	err := node.Run(ctx, path, os.Stdout)
	if errors.Is(err, context.Canceled) {
		return nil // stopped by a signal
	}
	return err
}

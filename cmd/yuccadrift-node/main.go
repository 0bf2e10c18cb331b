// Command yuccadrift-node is the process on each entry VM of the users'
// platform: it answers callers, owns services' jobs and looks after the fleet.
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
		Usage: "answer callers, run their jobs and look after the fleet",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "read settings from `FILE` (TOML)", Sources: cli.EnvVars(platform.SettingsVariable), Required: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
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
		return nil // asked to stop
	}
	return err
}

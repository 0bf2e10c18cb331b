// Package command is the frame of the binaries: they end on SIGTERM and SIGINT,
// show their error on standard error and exit with 1 after one.
package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Main runs a binary's command with the process's arguments and ends the
// process if it fails.
func Main(cmd *cli.Command) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := cmd.Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// Daemon returns the command of a daemon: it loads settings from the file given
// by --config, and runs with them unless --check is given.
func Daemon[S any](name, usage string, load func(file string) (S, error), run func(context.Context, S) error) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "read settings from `FILE` (TOML)", Required: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s, err := load(cmd.String("config"))
			if err != nil || cmd.Bool("check") {
				return err
			}
			return run(ctx, s)
		},
	}
}

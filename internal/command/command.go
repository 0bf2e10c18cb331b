// Package command runs the commands of the binaries. SIGTERM and SIGINT cancel
// the command's context. An error is printed on standard error and makes the
// process exit with code 1.
package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Main runs a binary's command with the process's arguments, and exits with code
// 1 if it fails.
func Main(cmd *cli.Command) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := cmd.Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// Daemon returns the command of a daemon. It loads settings from the file given
// by --config and, unless --check is given, runs with them.
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

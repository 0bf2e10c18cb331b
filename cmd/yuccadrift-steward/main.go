// Command yuccadrift-steward makes and carries out the fleet decisions of one
// entry VM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/yuccadrift/yuccadrift/internal/logging"
	"github.com/yuccadrift/yuccadrift/internal/settings"
	"github.com/yuccadrift/yuccadrift/internal/steward"
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
			return steward.Run(ctx, binary, s, logging.New(binary, s.Node, s.Log, os.Stderr))
		},
	}
}

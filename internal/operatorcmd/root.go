// Package operatorcmd holds the commands of yuccadrift, the operators' command
// line. It keeps no state: what it shows, it folds from the platform's log or
// asks the nodes for, and what it changes, it appends to the log.
package operatorcmd

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

// Names of the flags that all commands share.
const (
	flagConfig   = "config"
	flagPlatform = "platform"
	flagNodes    = "nodes"
	flagTimeout  = "timeout"
	flagOutput   = "output"
	flagAuthor   = "author"
)

const description = `Every command that changes something appends a record to the platform's log and
waits until the record's outcome is known. No other state is kept anywhere.

Examples:
   yuccadrift check services/*.toml
   yuccadrift --platform 10.0.0.5:7100 publish services/booking.toml
   yuccadrift --config ops.toml status
   yuccadrift --config ops.toml wave start --pools booking,returns --dry-run

` + exitHelp

// Run carries out one command line and returns its exit code. Results go to
// out, complaints and progress to errOut.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := command(out, errOut)
	err := root.Run(ctx, args)
	if err != nil && err.Error() != "" {
		fmt.Fprintf(errOut, "yuccadrift: %v\n", err)
	}
	return exitCode(err)
}

func command(out, errOut io.Writer) *cli.Command {
	root := &cli.Command{
		Name:        "yuccadrift",
		Usage:       "operate a fleet by documents: check, publish, watch, drain, report",
		Description: description,
		Writer:      out,
		ErrWriter:   errOut,
		Flags:       commonFlags(),
		Action:      groupAction,
		// The default handler ends the process; Run returns the code instead.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			checkCommand(),
			publishCommand(),
			statusCommand(),
			historyCommand(),
			reportCommand(),
			drainCommand(),
			waveCommand(),
			jobsCommand(),
			memberCommand(),
			recordCommand(),
			replayCommand(),
			storyCommand(),
		},
	}
	shortenUsageErrors(root)
	return root
}

// shortenUsageErrors keeps the library from printing the whole help below a mistake of
// usage, which would push the one line that helps off the screen.
func shortenUsageErrors(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, at *cli.Command, err error, _ bool) error {
		return exitErrorf(ExitUsage, "%v; see %s --help", err, at.FullName())
	}
	for _, sub := range cmd.Commands {
		shortenUsageErrors(sub)
	}
}

func commonFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagConfig, Usage: "read settings from `FILE` (TOML); flags win over it", Sources: cli.EnvVars("YUCCADRIFT_CONFIG")},
		&cli.StringFlag{Name: flagPlatform, Usage: "`IP:PORT` of the platform"},
		&cli.StringSliceFlag{Name: flagNodes, Usage: "`IP:PORT,...` of the nodes' peer addresses; without it, the entry members on the log"},
		&cli.DurationFlag{Name: flagTimeout, Usage: "give up after this `DURATION`", Value: defaultTimeout},
		&cli.StringFlag{Name: flagOutput, Usage: "`FORMAT` of results: table, json or csv", Value: string(formatTable)},
		&cli.StringFlag{Name: flagAuthor, Usage: "`NAME` that stands on the log beside a change", Sources: cli.EnvVars("USER")},
	}
}

// groupAction is the action of a command that only has subcommands.
func groupAction(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return exitErrorf(ExitUsage, "%s has no command %q; see %s --help", cmd.FullName(), cmd.Args().First(), cmd.FullName())
	}
	return cli.ShowSubcommandHelp(cmd)
}

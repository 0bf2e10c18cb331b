// Package operatorcmd implements the commands of yuccadrift, the operators'
// command line. It keeps no state: it reads state from the platform's log or
// from the nodes, and makes every change by appending a record to the log.
package operatorcmd

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

// Flags common to all commands.
const (
	flagConfig   = "config"
	flagPlatform = "platform"
	flagNodes    = "nodes"
	flagTimeout  = "timeout"
	flagOutput   = "output"
	flagAuthor   = "author"
)

const description = `Every command that makes a change appends a record to the platform's log and
waits until the record's outcome is known. The command line keeps no state.

Examples:
   yuccadrift check services/*.toml
   yuccadrift --platform 10.0.0.5:7100 publish services/booking.toml
   yuccadrift --config ops.toml status
   yuccadrift --config ops.toml wave start --pools booking,returns --dry-run

` + exitHelp

// Run executes one command line and returns its exit code. It writes results to
// out, and errors and notices to errOut.
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
		// The default handler calls os.Exit; Run returns the exit code instead.
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

// shortenUsageErrors makes cmd and its subcommands report a usage error in one
// line. By default, the library prints the whole help text, too, which pushes
// the error message off the screen.
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
		&cli.StringFlag{Name: flagConfig, Usage: "read settings from `FILE` (TOML); flags take precedence", Sources: cli.EnvVars("YUCCADRIFT_CONFIG")},
		&cli.StringFlag{Name: flagPlatform, Usage: "`IP:PORT` of the platform"},
		&cli.StringSliceFlag{Name: flagNodes, Usage: "`IP:PORT,...` of the nodes' peer addresses; default: the entry members on the log"},
		&cli.DurationFlag{Name: flagTimeout, Usage: "give up after `DURATION`", Value: defaultTimeout},
		&cli.StringFlag{Name: flagOutput, Usage: "`FORMAT` of results: table, json or csv", Value: string(formatTable)},
		&cli.StringFlag{Name: flagAuthor, Usage: "`NAME` recorded as the author of a change", Sources: cli.EnvVars("USER")},
	}
}

// groupAction is the action of a command that only groups subcommands. It
// prints the help text, or returns an error for an unknown subcommand.
func groupAction(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return exitErrorf(ExitUsage, "%s has no command %q; see %s --help", cmd.FullName(), cmd.Args().First(), cmd.FullName())
	}
	return cli.ShowSubcommandHelp(cmd)
}

// Command yuccadrift-load sends a bounded load of callers' requests to entry
// VMs on this machine and checks every answer.
package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/yuccadrift/yuccadrift/internal/command"
	"github.com/yuccadrift/yuccadrift/internal/load"
)

func main() { command.Main(loadCommand()) }

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "yuccadrift-load",
		Usage: "send a bounded load to entry VMs on this machine and check every answer",
		Description: `A route is a list of key=value: name, path, rate (requests per second), work, reply
and body (bytes), keyed (true for routes that are not repeatable), deadline.

Example:
   yuccadrift-load --target 127.0.0.1:8080 --duration 10s \
      --route name=lookup,path=/booking/lookup,rate=200,work=5ms \
      --route name=book,path=/booking/reservations,rate=20,work=50ms,keyed=true`,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "target", Usage: "`IP:PORT` of an entry VM's callers' address (repeatable)"},
			&cli.StringSliceFlag{Name: "route", Usage: "a kind of request (repeatable)"},
			&cli.DurationFlag{Name: "duration", Usage: "how long requests are sent", Value: 10 * time.Second},
			&cli.DurationFlag{Name: "warm", Usage: "warm-up at the start, not counted", Value: time.Second},
			&cli.IntFlag{Name: "in-flight", Usage: "maximum number of requests in flight", Value: 5000},
			&cli.IntFlag{Name: "retries", Usage: "retries after unknown, not-run or a broken connection"},
			&cli.Uint64Flag{Name: "seed", Usage: "determines the arrival times and targets", Value: 1},
			&cli.BoolFlag{Name: "json", Usage: "print JSON instead of a table"},
		},
		// Commas separate the parts of one route, not several routes.
		DisableSliceFlagSeparator: true,
		Action:                    run,
		Commands:                  []*cli.Command{jobsCommand()},
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	if len(cmd.StringSlice("target")) == 0 || len(cmd.StringSlice("route")) == 0 {
		return errors.New("a load needs --target and --route")
	}
	plan := load.Plan{
		Targets:    cmd.StringSlice("target"),
		Duration:   cmd.Duration("duration"),
		WarmUp:     cmd.Duration("warm"),
		InFlight:   cmd.Int("in-flight"),
		MaxRetries: cmd.Int("retries"),
		Seed:       cmd.Uint64("seed"),
	}
	for _, text := range cmd.StringSlice("route") {
		route, err := load.ParseRoute(text)
		if err != nil {
			return err
		}
		plan.Routes = append(plan.Routes, route)
	}
	report, err := load.Run(ctx, plan)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		err = json.NewEncoder(os.Stdout).Encode(report)
	} else {
		err = report.WriteTable(os.Stdout)
	}
	if err == nil && report.Wrong() > 0 {
		return errors.New("wrong answers: for other requests, partial but complete-looking, or without an outcome")
	}
	return err
}

// Command yuccadrift-load sends a bounded load of callers' requests to entry
// VMs on this machine and checks every answer.
package main

import (
	"context"
	"encoding/json"
	"fmt"
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
		Description: `A route is a list of key=value: name, path, rate (requests a second), work, reply
and body (bytes), keyed (true for not-repeatable routes), deadline.

Example:
   yuccadrift-load --target 127.0.0.1:8080 --duration 10s \
      --route name=lookup,path=/booking/lookup,rate=200,work=5ms \
      --route name=book,path=/booking/reservations,rate=20,work=50ms,keyed=true`,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "target", Usage: "`IP:PORT` of an entry VM's callers' address (repeatable)"},
			&cli.StringSliceFlag{Name: "route", Usage: "a kind of request (repeatable)"},
			&cli.DurationFlag{Name: "duration", Usage: "how long requests are sent", Value: 10 * time.Second},
			&cli.DurationFlag{Name: "warm", Usage: "first part that is not counted", Value: time.Second},
			&cli.IntFlag{Name: "in-flight", Usage: "most requests under way", Value: 5000},
			&cli.IntFlag{Name: "retries", Usage: "attempts after unknown or not-run"},
			&cli.Uint64Flag{Name: "seed", Usage: "fixes the arrivals", Value: 1},
			&cli.BoolFlag{Name: "json", Usage: "print JSON instead of a table"},
		},
		// A comma separates the parts of one route, not routes.
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
		Targets:  cmd.StringSlice("target"),
		Duration: cmd.Duration("duration"),
		Warm:     cmd.Duration("warm"),
		InFlight: cmd.Int("in-flight"),
		Retries:  cmd.Int("retries"),
		Seed:     cmd.Uint64("seed"),
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
		return errors.New("wrong answers: of other requests, or partial ones that look whole")
	}
	return err
}

func jobsCommand() *cli.Command {
	return &cli.Command{
		Name:  "jobs",
		Usage: "send jobs to the queues of nodes and wait until all are completed",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "target", Usage: "`IP:PORT` of a node's callers' address (repeatable)", Required: true},
			&cli.StringFlag{Name: "host", Usage: "`HOST` of the queues", Required: true},
			&cli.StringSliceFlag{Name: "queue", Usage: "path `PREFIX` of a queue (repeatable)", Required: true},
			&cli.IntFlag{Name: "jobs", Usage: "`N` jobs", Value: 200},
			&cli.FloatFlag{Name: "rate", Usage: "jobs a second", Value: 20},
			&cli.DurationFlag{Name: "takes", Usage: "what a task takes", Value: 200 * time.Millisecond},
			&cli.DurationFlag{Name: "patience", Usage: "how long a job may take", Value: 30 * time.Second},
			&cli.Uint64Flag{Name: "seed", Usage: "fixes the jobs", Value: 1},
		},
		Action: runJobs,
	}
}

func runJobs(ctx context.Context, cmd *cli.Command) error {
	report, err := load.RunJobs(ctx, load.JobPlan{
		Targets:  cmd.StringSlice("target"),
		Host:     cmd.String("host"),
		Queues:   cmd.StringSlice("queue"),
		Jobs:     cmd.Int("jobs"),
		Rate:     cmd.Float("rate"),
		Takes:    cmd.Duration("takes"),
		Patience: cmd.Duration("patience"),
		Seed:     cmd.Uint64("seed"),
	})
	if err != nil {
		return err
	}
	fmt.Printf("jobs sent %d, taken %d, refused %d, completed %d, open %d; slowest %s\n",
		report.Sent, report.Taken, report.Refused, report.Completed, report.Open, report.Slowest.Round(time.Millisecond))
	if report.Completed != report.Sent {
		return errors.New("not all jobs were completed")
	}
	return nil
}

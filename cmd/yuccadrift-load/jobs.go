package main

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/yuccadrift/yuccadrift/internal/load"
)

func jobsCommand() *cli.Command {
	return &cli.Command{
		Name:  "jobs",
		Usage: "submit jobs to the queues of nodes and wait until all are completed",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "target", Usage: "`IP:PORT` of a node's callers' address (repeatable)", Required: true},
			&cli.StringFlag{Name: "host", Usage: "`HOST` of the queues", Required: true},
			&cli.StringSliceFlag{Name: "queue", Usage: "path `PREFIX` of a queue (repeatable)", Required: true},
			&cli.IntFlag{Name: "jobs", Usage: "`N` jobs", Value: 200},
			&cli.FloatFlag{Name: "rate", Usage: "jobs per second", Value: 20},
			&cli.DurationFlag{Name: "takes", Usage: "duration of a task", Value: 200 * time.Millisecond},
			&cli.DurationFlag{Name: "patience", Usage: "how long to wait for a job's completion", Value: 30 * time.Second},
			&cli.Uint64Flag{Name: "seed", Usage: "determines the IDs and sizes of the jobs", Value: 1},
		},
		Action: runJobs,
	}
}

func runJobs(ctx context.Context, cmd *cli.Command) error {
	report, err := load.RunJobs(ctx, load.JobPlan{
		Targets:           cmd.StringSlice("target"),
		Host:              cmd.String("host"),
		Queues:            cmd.StringSlice("queue"),
		Jobs:              cmd.Int("jobs"),
		Rate:              cmd.Float("rate"),
		TaskDuration:      cmd.Duration("takes"),
		CompletionTimeout: cmd.Duration("patience"),
		Seed:              cmd.Uint64("seed"),
	})
	if err != nil {
		return err
	}
	fmt.Printf("jobs sent %d, taken %d, refused %d, completed %d, open %d; slowest %s\n",
		report.Sent, report.Accepted, report.Refused, report.Completed, report.Incomplete, report.Slowest.Round(time.Millisecond))
	if report.Completed != report.Sent {
		return errors.New("not all jobs were completed")
	}
	return nil
}

package operatorcmd

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/yuccadrift/yuccadrift/internal/dayreport"
)

func reportRefusalsCommand() *cli.Command {
	return &cli.Command{
		Name:      "refusals",
		Usage:     "list refusals that something else in the nodes' logs contradicts",
		ArgsUsage: "[FILE...]",
		Description: `A refusal (429 or 503) promises that a job was not accepted and never runs. Reads the
logs of all nodes from files, or from standard input if no file is given, and lists the jobs
that were accepted before a refusal, that ran after one, or that were refused after an
answer that promised nothing (502 or 504). Needs no platform. Answers are compared in the
order of their times, those of the nodes' clocks.

Examples:
   yuccadrift report refusals logs/*.log
   yuccadrift report refusals --output json < all.log`,
		Action: reportRefusals,
	}
}

func reportRefusals(_ context.Context, cmd *cli.Command) error {
	f := format(cmd.String(flagOutput))
	if !f.valid() {
		return errors.Errorf("--%s %s is none of table, json, csv", flagOutput, f)
	}
	var log dayreport.Log
	if err := readDayLogs(&log, cmd.Args().Slice(), cmd.Root().Reader); err != nil {
		return err
	}
	r, ok := dayreport.BuildRefusals(&log)
	if !ok {
		return errors.Errorf("no line of a node was found; %d lines of other programs, %d cut ones", log.Foreign, log.Truncated)
	}
	return printResult(cmd.Root().Writer, f, r, refusalAnswerTable(r), contradictionCountTable(r), contradictionTable(r))
}

func refusalAnswerTable(r dayreport.RefusalReport) *table {
	t := &table{title: "answers to submissions and cancellations", header: []string{"FROM", "TO", "NODES", "REQUESTS", "ACCEPTED", "REFUSED", "UNKNOWN"}}
	t.add(formatTimeOfDay(r.From), formatTimeOfDay(r.To), fmt.Sprint(r.Nodes), fmt.Sprint(r.Requests), fmt.Sprint(r.Accepted), fmt.Sprint(r.Refused), fmt.Sprint(r.Unknown))
	return t
}

func contradictionCountTable(r dayreport.RefusalReport) *table {
	t := &table{title: "contradictions", header: []string{"KIND", "REQUESTS"}}
	for _, kind := range dayreport.Contradictions() {
		t.add(string(kind), fmt.Sprint(r.Count(kind)))
	}
	return t
}

func contradictionTable(r dayreport.RefusalReport) *table {
	t := &table{title: "contradicted refusals", header: []string{"KIND", "CALL", "JOB", "BEFORE", "BY", "REFUSED", "BY", "TIMES", "TOLD"}}
	for _, c := range r.Contradicted {
		t.add(string(c.Kind), c.Method, c.Job, formatMilliseconds(c.EarlierAt), c.EarlierBy, formatMilliseconds(c.RefusedAt), c.RefusedBy, fmt.Sprint(c.Refusals), c.Reason)
	}
	return t
}

func formatMilliseconds(t time.Time) string { return t.UTC().Format("15:04:05.000") }

package operatorcmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/yuccadrift/yuccadrift/internal/dayreport"
)

const (
	flagSlow = "slow"
	flagHTML = "html"
	// defaultSlowStart is the delay of a job's first start from which on the job
	// counts as late.
	defaultSlowStart = time.Second
)

func reportDayCommand() *cli.Command {
	return &cli.Command{
		Name:      "day",
		Usage:     "explain a day from the nodes' logs: refusals, late jobs and their causes",
		ArgsUsage: "[FILE...]",
		Description: `Reads the logs of all nodes from files, or from standard input if no file is given.
Needs no platform. Lines that can't be read are skipped, counted and listed.

A late start is attributed to the condition that lasted longest while the job waited:
its owner could not reach the store, its partition had no owner, its owner was
overloaded, or VMs were in transit to its pool. If none applies, there was no free
capacity.

Examples:
   yuccadrift report day logs/*.log
   yuccadrift report day --html day.html logs/*.log
   yuccadrift report day --output json < all.log`,
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: flagSlow, Usage: "count a job as late if it starts `DURATION` or more after it was accepted", Value: defaultSlowStart},
			&cli.StringFlag{Name: flagHTML, Usage: "also write an HTML page with plots to `FILE`"},
		},
		Action: reportDay,
	}
}

func reportDay(_ context.Context, cmd *cli.Command) error {
	slow := cmd.Duration(flagSlow)
	if slow <= 0 {
		return errors.Errorf("--%s must be more than 0, it is %s", flagSlow, slow)
	}
	f := format(cmd.String(flagOutput))
	if !f.valid() {
		return errors.Errorf("--%s %s is none of table, json, csv", flagOutput, f)
	}
	var log dayreport.Log
	if err := readDayLogs(&log, cmd.Args().Slice(), cmd.Root().Reader); err != nil {
		return err
	}
	r, ok := dayreport.Build(&log, slow)
	if !ok {
		return errors.Errorf("no line of a node was found; %d lines of other programs, %d cut ones", log.Foreign, log.Truncated)
	}
	if name := cmd.String(flagHTML); name != "" {
		if err := writePage(name, r); err != nil {
			return err
		}
	}
	tables := []*table{dayTable(r), refusalTable(r), outageTable(r), slowTable(r)}
	if len(r.Workspaces) > 0 {
		tables = append(tables, workspaceTable(r))
	}
	tables = append(tables, orderTable(r), secondsTable(r), problemTable(r))
	return printResult(cmd.Root().Writer, f, r, tables...)
}

func readDayLogs(log *dayreport.Log, files []string, input io.Reader) error {
	if len(files) == 0 {
		return log.Read(input, "standard input")
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "log")
		}
		err = log.Read(file, name)
		file.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

func writePage(name string, r dayreport.Report) error {
	file, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "page")
	}
	err = dayreport.WritePage(file, r)
	if closed := file.Close(); err == nil {
		err = errors.Wrap(closed, "page")
	}
	return err
}

func dayTable(r dayreport.Report) *table {
	t := &table{title: "day", header: []string{"FROM", "TO", "NODES", "LINES", "TAKEN", "COMPLETED", "FAILED", "CANCELLED", "OPEN", "START MS 50/95/100", "END MS 50/95/100"}}
	j := r.Jobs
	t.add(formatTimeOfDay(r.From), formatTimeOfDay(r.To), fmt.Sprint(r.Nodes), fmt.Sprint(r.Lines), fmt.Sprint(j.Accepted), fmt.Sprint(j.Completed),
		fmt.Sprint(j.Failed), fmt.Sprint(j.Cancelled), fmt.Sprint(j.Open), formatPercentiles(j.Started), formatPercentiles(j.Ended))
	return t
}

func formatTimeOfDay(t time.Time) string { return t.UTC().Format(time.TimeOnly) }

func formatPercentiles(t dayreport.Percentiles) string {
	return fmt.Sprintf("%.0f/%.0f/%.0f", t.Median, t.P95, t.Max)
}

func refusalTable(r dayreport.Report) *table {
	t := &table{title: "calls refused", header: []string{"CAUSE", "CALL", "STATUS", "TOLD", "TIMES", "FIRST", "LAST"}}
	for _, x := range r.Refusals {
		t.add(string(x.Cause), x.Method, fmt.Sprint(x.Status), x.Reason, fmt.Sprint(x.Count), formatTimeOfDay(x.First), formatTimeOfDay(x.Last))
	}
	return t
}

func outageTable(r dayreport.Report) *table {
	t := &table{title: "the store away", header: []string{"FROM", "SECONDS", "NODES", "CALLERS", "TAKEN IN THE END", "HELD", "LONGEST RETURN"}}
	for _, o := range r.Outages {
		t.add(formatTimeOfDay(o.From), fmt.Sprintf("%.1f", o.To.Sub(o.From).Seconds()), fmt.Sprint(o.Nodes), fmt.Sprint(o.Callers), fmt.Sprint(o.Accepted),
			fmt.Sprint(o.Held), o.LongestReturn.String())
	}
	return t
}

func slowTable(r dayreport.Report) *table {
	t := &table{title: "jobs that began late", header: []string{"WAITED FOR", "SERVICE", "JOBS", "LONGEST MS"}}
	for _, s := range r.SlowStarts {
		t.add(string(s.Cause), s.Service, fmt.Sprint(s.Count), fmt.Sprint(s.MaxMS))
	}
	return t
}

func workspaceTable(r dayreport.Report) *table {
	t := &table{title: "workspaces", header: []string{"WORKSPACE", "TAKEN", "REFUSED", "NO PROSPECT", "BEGAN LATE", "WAITED FOR", "BESIDE", "START MS 50/95/100"}}
	for _, w := range r.Workspaces {
		t.add(w.Workspace, fmt.Sprint(w.Accepted), fmt.Sprint(w.Refused), fmt.Sprint(w.Hopeless), fmt.Sprint(w.Slow), string(w.Cause), strings.Join(w.Beside, ", "), formatPercentiles(w.Started))
	}
	return t
}

func orderTable(r dayreport.Report) *table {
	t := &table{title: "orders for VMs", header: []string{"ORDER", "TO POOL", "OUTCOME", "TIMES"}}
	for _, o := range r.Orders {
		t.add(o.Kind, o.Pool, o.Outcome, fmt.Sprint(o.Count))
	}
	return t
}

func secondsTable(r dayreport.Report) *table {
	t := &table{title: "second by second", header: []string{"TIME", "TAKEN", "REFUSED", "BEGAN", "WAIT MS", "COMPLETED", "MEANWHILE"}}
	for _, s := range r.Seconds {
		t.add(formatTimeOfDay(s.At), fmt.Sprint(s.Accepted), fmt.Sprint(s.Refused), fmt.Sprint(s.Started), fmt.Sprintf("%.0f", s.WaitMS),
			fmt.Sprint(s.Ended), strings.Join(s.Events, "; "))
	}
	return t
}

func problemTable(r dayreport.Report) *table {
	t := &table{title: fmt.Sprintf("lines left out: %d foreign, %d cut", r.Foreign, r.Truncated), header: []string{"FILE", "LINE", "WHAT"}}
	for _, p := range r.Problems {
		t.add(p.File, fmt.Sprint(p.Line), p.Kind)
	}
	return t
}

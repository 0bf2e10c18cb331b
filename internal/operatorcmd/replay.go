package operatorcmd

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/trace"
)

// Flags of record.
const (
	flagFollow = "follow"
	flagNote   = "note"
)

func recordCommand() *cli.Command {
	return &cli.Command{
		Name:      "record",
		Usage:     "record the log and the list of VMs into a trace for replay",
		ArgsUsage: "FILE",
		Description: `Records all that the log retains, with the outcomes of the records, and with
--follow also later changes of the log and of the list of VMs. Ctrl-C ends the
recording and leaves a complete trace.

Examples:
   yuccadrift record incident.jsonl.gz
   yuccadrift record --follow 10m --note "rack lost in mid-wave" wave.jsonl.gz`,
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: flagFollow, Usage: "go on recording for `DURATION`"},
			&cli.StringFlag{Name: flagNote, Usage: "`TEXT` to keep in the trace"},
		},
		Action: recordTrace,
	}
}

func recordTrace(ctx context.Context, cmd *cli.Command) error {
	file, err := oneArg(cmd, "file to write")
	if err != nil {
		return err
	}
	o, err := loadOptions(cmd)
	if err != nil {
		return err
	}
	client, err := connect(ctx, o)
	if err != nil {
		return err
	}
	defer client.Close()
	out, err := os.Create(file)
	if err != nil {
		return exitErrorf(ExitUsage, "cannot write the trace: %v", err)
	}
	defer out.Close()
	snapshot, err := startSnapshot(ctx, client, o)
	if err != nil {
		return err
	}
	rec, err := trace.NewRecorder(client, o.stream, cmd.String(flagNote), snapshot, out)
	if err != nil {
		return exitErrorf(ExitUsage, "%v", err)
	}
	if err := recordEntries(ctx, cmd, o, rec); err != nil {
		return exitErrorf(ExitUnreachable, "%v", err)
	}
	end, err := rec.Close()
	if err != nil {
		return exitErrorf(ExitUsage, "%v", err)
	}
	t := &table{title: "recorded", header: []string{"FILE", "OFFSET", "OUTCOMES"}}
	t.add(file, fmt.Sprint(end.Offset), formatCounts(end.Statuses))
	return printResult(cmd.Root().Writer, o.format, end, t)
}

// recordEntries records the retained entries and the list of VMs. With --follow,
// it goes on recording for that duration.
func recordEntries(ctx context.Context, cmd *cli.Command, o options, rec *trace.Recorder) error {
	if d := cmd.Duration(flagFollow); d > 0 {
		ctx, cancel := context.WithTimeout(ctx, d)
		defer cancel()
		return rec.Follow(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	if err := rec.RecordEntries(ctx); err != nil {
		return err
	}
	return rec.RecordVMList(ctx)
}

func replayCommand() *cli.Command {
	return &cli.Command{
		Name:      "replay",
		Usage:     "apply recorded traces again and report outcomes that differ",
		ArgsUsage: "FILE...",
		Description: `Needs no platform. Beside the outcomes, it checks the invariants that a trace can
show: revisions never decrease, a VM is in one pool, drains stay within budgets, no
VM reboots without a decision, no request runs twice or despite a "not-run" answer.

Example:
   yuccadrift replay testdata/traces/*.jsonl.gz`,
		Action: replayTraces,
	}
}

// replayResult is one trace in the output of replay.
type replayResult struct {
	File string `json:"file"`
	trace.Result
}

func replayTraces(_ context.Context, cmd *cli.Command) error {
	o, err := loadOptions(cmd)
	if err != nil {
		return err
	}
	if !cmd.Args().Present() {
		return exitErrorf(ExitUsage, "no trace given: name one or more files")
	}
	var results []replayResult
	differing := 0
	for _, file := range cmd.Args().Slice() {
		r, err := replayTrace(file)
		if err != nil {
			return err
		}
		if len(r.Differences) > 0 {
			differing++
		}
		results = append(results, replayResult{File: file, Result: r})
	}
	if err := printResult(cmd.Root().Writer, o.format, results, replayTable(results), differenceTable(results)); err != nil {
		return err
	}
	if differing > 0 {
		return exitErrorf(ExitRejected, "%d of %d traces differ", differing, len(results))
	}
	return nil
}

func replayTrace(file string) (trace.Result, error) {
	in, err := os.Open(file)
	if err != nil {
		return trace.Result{}, exitErrorf(ExitUsage, "cannot read the trace: %v", err)
	}
	defer in.Close()
	r, err := trace.Replay(in)
	if err != nil {
		return r, exitErrorf(ExitRejected, "%s: %v", file, err)
	}
	return r, nil
}

func replayTable(results []replayResult) *table {
	t := &table{title: "replayed", header: []string{"FILE", "RECORDED", "NOTE", "OFFSET", "ENTRIES", "OUTCOMES", "VM EVENTS", "REQUESTS", "DIFFERENCES"}}
	for _, r := range results {
		t.add(r.File, r.Header.Recorded.Format(time.DateOnly), orDash(r.Header.Note), fmt.Sprint(r.Offset), fmt.Sprint(r.Entries),
			formatCounts(r.Statuses), fmt.Sprint(r.VMEvents), fmt.Sprint(r.Requests), fmt.Sprint(len(r.Differences)))
	}
	return t
}

func differenceTable(results []replayResult) *table {
	t := &table{title: "differences", header: []string{"FILE", "LINE", "OFFSET", "WHAT"}}
	for _, r := range results {
		for _, d := range r.Differences {
			t.add(r.File, fmt.Sprint(d.Line), fmt.Sprint(d.Offset), d.What)
		}
	}
	return t
}

func formatCounts(statuses map[ledger.Status]int) string {
	text := ""
	for _, status := range slices.Sorted(maps.Keys(statuses)) {
		text += fmt.Sprintf("%d %s, ", statuses[status], status)
	}
	if text == "" {
		return dash
	}
	return text[:len(text)-len(", ")]
}

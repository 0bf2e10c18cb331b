package operatorcmd

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/yuccadrift/yuccadrift/internal/burnmetrics"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/measure"
)

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:     "report",
		Commands: []*cli.Command{reportDayCommand(), reportRefusalsCommand()},
		Usage:    "show service-level burn beside buffer cost, roll-out time and moves",
		Description: `The burn rate is the unavailability in a window relative to an even use of the
budget: at 1, the budget lasts exactly its own window. If both a long and a short
window are above a rate, the burn is still going on.

Examples:
   yuccadrift report
   yuccadrift report --output csv
   yuccadrift report --output json`,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s, err := openForRead(ctx, cmd)
			if err != nil {
				return err
			}
			defer s.Close()
			var r measure.Report
			s.view(func(state *ledger.State) {
				now := time.Now().UTC()
				r = measure.Of(state, now)
				b := measure.BaselineOf(state, now)
				r.Baseline = &b
			})
			return printResult(cmd.Root().Writer, s.format, r, burnTable(r), causeTable(r), bufferTable(r), baselineTable(r), rollOutTable(r))
		},
	}
}

func burnTable(r measure.Report) *table {
	t := &table{title: "budget burn", header: []string{"SERVICE", "SERVING", "SPENT", "ALLOWED", "LEFT", "RUNS OUT"}}
	for _, w := range measure.Windows() {
		t.header = append(t.header, "BURN "+strings.ToUpper(burnmetrics.WindowName(w)))
	}
	for _, m := range r.Services {
		row := []string{
			m.Name,
			fmt.Sprintf("%d of %d", m.Serving, m.Size),
			formatVMSeconds(m.Spent),
			formatVMSeconds(m.Allowed),
			formatBudgetLeft(m),
			formatRunsOut(m, r.Time),
		}
		for _, b := range m.Burns {
			row = append(row, fmt.Sprintf("%.2f", b.Rate))
		}
		t.add(row...)
	}
	return t
}

// formatVMSeconds formats VM-seconds in seconds, minutes or hours.
func formatVMSeconds(seconds float64) string {
	const minute, hour = 60, 3600
	switch {
	case seconds >= hour:
		return fmt.Sprintf("%.1f VM-h", seconds/hour)
	case seconds >= minute:
		return fmt.Sprintf("%.1f VM-min", seconds/minute)
	}
	return fmt.Sprintf("%.0f VM-s", seconds)
}

func formatBudgetLeft(m measure.Service) string {
	if m.Allowed <= 0 {
		return dash
	}
	return fmt.Sprintf("%.1f%%", 100*m.Left/m.Allowed)
}

func formatRunsOut(m measure.Service, now time.Time) string {
	switch {
	case m.Left <= 0:
		return "spent"
	case m.RunsOut == nil:
		return "not at this rate"
	}
	return "in " + formatDuration(m.RunsOut.Sub(now))
}

func causeTable(r measure.Report) *table {
	t := &table{title: "what spent it", header: []string{"SERVICE", "CAUSE", "SPENT", "TIMES"}}
	for _, m := range r.Services {
		for _, c := range m.Causes {
			if c.VMSeconds > 0 || c.Events > 0 {
				t.add(m.Name, c.Name, formatVMSeconds(c.VMSeconds), fmt.Sprint(c.Events))
			}
		}
	}
	return t
}

func bufferTable(r measure.Report) *table {
	t := &table{title: "buffer and moves", header: []string{"POOL", "SPARE NOW", "SPARE IN WINDOW", "MOVES", "REBOOTS"}}
	reboots := 0
	for _, m := range r.Services {
		reboots += m.Reboots
		t.add(m.Name, fmt.Sprint(m.Spare), formatVMSeconds(m.SpareVMSeconds), fmt.Sprint(m.Moves), fmt.Sprint(m.Reboots))
	}
	t.add("(reserve)", fmt.Sprint(r.Fleet.Free), formatVMSeconds(r.Fleet.FreeVMSeconds)+" in 24h", dash, dash)
	t.add(fmt.Sprintf("(all %d VMs)", r.Fleet.VMs), fmt.Sprintf("%.1f%%", 100*r.Fleet.Buffer), dash, fmt.Sprint(r.Fleet.Moves), fmt.Sprint(reboots))
	return t
}

// baselineTable compares the spare VMs held with those needed to absorb failures.
func baselineTable(r measure.Report) *table {
	t := &table{title: "buffer against its baseline", header: []string{"POOL", "HELD", "NEEDED SHARED", "BASELINE: EACH POOL ITS OWN"}}
	held := r.Fleet.Free
	for _, m := range r.Services {
		held += m.Spare
		t.add(m.Name, fmt.Sprint(m.Spare), dash, fmt.Sprint(r.Baseline.Own[m.Name]))
	}
	t.add("(all)", fmt.Sprint(held), fmt.Sprint(r.Baseline.Shared), fmt.Sprint(r.Baseline.OwnTotal))
	return t
}

func rollOutTable(r measure.Report) *table {
	t := &table{title: "roll-out", header: []string{"WAVE", "STATUS", "VMS", "BACK", "SKIPPED", "TOOK"}}
	for _, w := range r.Waves {
		t.add(w.Name, string(w.Status), fmt.Sprint(w.VMs), fmt.Sprint(w.Finished), fmt.Sprint(w.Skipped), formatDuration(w.Took))
	}
	return t
}

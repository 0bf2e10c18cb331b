package operatorcmd

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/yuccadrift/yuccadrift/internal/forecast"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/pool"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Durations of the steps of a VM's turn, for pools with too few drains to learn
// them from.
const (
	defaultReboot = 90 * time.Second
	defaultDrain  = 10 * time.Second
	defaultReturn = 5 * time.Second
)

// forecastResult is the output of wave start --dry-run.
type forecastResult struct {
	// Ends reports whether the wave ends within the forecast's horizon.
	Ends     bool         `json:"ends"`
	End      time.Time    `json:"end"`
	Takes    string       `json:"takes"`
	Deadline time.Time    `json:"deadline"`
	InTime   bool         `json:"in_time"`
	Turns    []turnResult `json:"turns"`
	Waiting  []string     `json:"waiting"`
	Moves    int          `json:"moves"`
	duration time.Duration
}

type turnResult struct {
	VM     string `json:"vm"`
	Pool   string `json:"pool"`
	Zone   string `json:"zone"`
	Rack   string `json:"rack"`
	After  string `json:"after"` // from the wave's start
	Out    string `json:"out"`   // how long out of service
	Target string `json:"target,omitempty"`
}

// forecastWave simulates the wave on a copy of the state, with the planner that
// the stewards use, and prints the result.
func forecastWave(ctx context.Context, cmd *cli.Command, start record.WaveStart) error {
	s, err := openForRead(ctx, cmd)
	if err != nil {
		return err
	}
	defer s.Close()
	times := forecast.Times{Drain: defaultDrain, Reboot: cmd.Duration(flagReboot), Return: defaultReturn}
	var wave forecast.Wave
	s.view(func(state *ledger.State) {
		wave, err = forecast.ForWave(state, time.Now(), start, pool.DefaultPolicy(), times)
	})
	if errors.Is(err, forecast.ErrRefused) {
		return exitErrorf(ExitRejected, "%v", err)
	}
	if err != nil {
		return err
	}
	r := newForecastResult(wave, start.Deadline)
	return printResult(cmd.Root().Writer, s.format, r, r.summaryTable(), r.turnTable())
}

func newForecastResult(w forecast.Wave, deadline time.Time) forecastResult {
	r := forecastResult{
		Ends:     !w.End.IsZero(),
		End:      w.End,
		Deadline: deadline,
		Waiting:  w.Waiting,
		Moves:    w.Moves,
		Turns:    []turnResult{},
	}
	if r.Ends {
		r.duration = w.Duration()
		r.Takes = formatDuration(r.duration)
		r.InTime = !w.End.After(deadline)
	}
	for _, t := range w.Turns {
		r.Turns = append(r.Turns, turnResult{
			VM: t.VM, Pool: t.Pool, Zone: t.Zone, Rack: t.Rack, Target: t.Target,
			After: formatDuration(t.Out.Sub(w.Start)), Out: formatDuration(t.Back.Sub(t.Out)),
		})
	}
	return r
}

func (r forecastResult) summaryTable() *table {
	t := &table{title: "forecast", header: []string{"TURNS", "TAKES", "IN TIME", "DEADLINE", "MOVES", "WITHOUT A TURN"}}
	takes, inTime := "does not end", "no"
	if r.Ends {
		takes = r.Takes
	}
	if r.InTime {
		inTime = "yes"
	}
	t.add(fmt.Sprint(len(r.Turns)), takes, inTime, formatTime(r.Deadline), fmt.Sprint(r.Moves), fmt.Sprint(len(r.Waiting)))
	return t
}

func (r forecastResult) turnTable() *table {
	t := &table{title: "plan", header: []string{"AFTER", "VM", "POOL", "ZONE", "RACK", "OUT FOR", "GOES TO"}}
	for _, turn := range r.Turns {
		t.add(turn.After, turn.VM, turn.Pool, turn.Zone, turn.Rack, turn.Out, orDash(turn.Target))
	}
	for _, vm := range r.Waiting {
		t.add(dash, vm, dash, dash, dash, dash, "no turn: down, or its pool's budget does not recover")
	}
	return t
}

func waitTable(waves []waveResult) *table {
	t := &table{title: "waiting pools", header: []string{"WAVE", "POOL", "REASON"}}
	for _, w := range waves {
		for _, pool := range slices.Sorted(maps.Keys(w.Waits)) {
			t.add(w.Wave, pool, w.Waits[pool])
		}
	}
	return t
}

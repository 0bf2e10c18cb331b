package operatorcmd

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/maintenance"
	"github.com/yuccadrift/yuccadrift/internal/pool"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/wait"
)

// Flags of wave.
const (
	flagPools    = "pools"
	flagDeadline = "deadline"
	flagName     = "name"
	flagReason   = "reason"
	flagWait     = "wait"
	flagDryRun   = "dry-run"
	flagReboot   = "reboot"
)

// wavePollInterval is how often wave show --wait checks the wave.
const wavePollInterval = 100 * time.Millisecond

func waveCommand() *cli.Command {
	return &cli.Command{
		Name:   "wave",
		Usage:  "run maintenance waves: drain, reboot and return every VM of some pools",
		Action: groupAction,
		Commands: []*cli.Command{
			waveStartCommand(),
			waveControlCommand("pause", "start no further drains; VMs that are out return", record.WavePause),
			waveControlCommand("resume", "continue a paused wave", record.WaveResume),
			waveControlCommand("abort", "end a wave; VMs that are out return", record.WaveAbort),
			waveShowCommand(),
		},
	}
}

func waveStartCommand() *cli.Command {
	return &cli.Command{
		Name:  "start",
		Usage: "start a wave over pools",
		Description: `Every VM that is in the pools now is drained, rebooted and returned once, as fast
as the pools' availability budgets allow.

Examples:
   yuccadrift wave start --pools booking,returns --dry-run
   yuccadrift wave start --pools booking,returns --deadline 8h
   yuccadrift wave start --name kernel-6.12 --pools export`,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: flagPools, Usage: "`POOL,...` to maintain", Required: true},
			&cli.DurationFlag{Name: flagDeadline, Usage: "the wave should end within `DURATION`", Value: 24 * time.Hour},
			&cli.StringFlag{Name: flagName, Usage: "`NAME` of the wave; default: wave- and a unique ID"},
			&cli.BoolFlag{Name: flagDryRun, Usage: "show the plan and its expected duration; start nothing"},
			&cli.DurationFlag{Name: flagReboot, Usage: "`DURATION` of a reboot, for pools without a known drain", Value: defaultReboot},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			name := cmd.String(flagName)
			if name == "" {
				name = "wave-" + strings.ToLower(newRecordID())
			}
			body := record.WaveStart{Pools: cmd.StringSlice(flagPools), Deadline: time.Now().Add(cmd.Duration(flagDeadline)).UTC()}
			if cmd.Bool(flagDryRun) {
				return forecastWave(ctx, cmd, body)
			}
			return proposeChange(ctx, cmd, record.Subject{Kind: record.SubjectWave, Name: name}, body, "start")
		},
	}
}

func waveControlCommand(name, usage string, command record.WaveCommand) *cli.Command {
	return &cli.Command{
		Name:      name,
		Usage:     usage,
		ArgsUsage: "WAVE",
		Flags:     []cli.Flag{&cli.StringFlag{Name: flagReason, Usage: "`TEXT` that is kept with the wave"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			wave, err := oneArg(cmd, "wave")
			if err != nil {
				return err
			}
			body := record.WaveControl{Command: command, Reason: cmd.String(flagReason)}
			return proposeChange(ctx, cmd, record.Subject{Kind: record.SubjectWave, Name: wave}, body, name)
		},
	}
}

// waveResult is one wave in the output of wave show.
type waveResult struct {
	Wave     string            `json:"wave"`
	Status   ledger.WaveStatus `json:"status"`
	Reason   string            `json:"reason,omitempty"`
	Pools    []string          `json:"pools"`
	Started  time.Time         `json:"started"`
	Finished time.Time         `json:"finished"`
	Deadline time.Time         `json:"deadline"`
	Pending  int               `json:"pending"`
	Out      int               `json:"out"`
	Back     int               `json:"back"`
	Skipped  map[string]string `json:"skipped,omitempty"`
	// Waits gives, for each waiting pool, why no VM can be drained now.
	Waits map[string]string `json:"waits,omitempty"`
}

func waveShowCommand() *cli.Command {
	return &cli.Command{
		Name:      "show",
		Usage:     "show waves and their progress",
		ArgsUsage: "[WAVE]",
		Description: `Examples:
   yuccadrift wave show
   yuccadrift --timeout 2h wave show --wait kernel-6.12`,
		Flags:  []cli.Flag{&cli.BoolFlag{Name: flagWait, Usage: "wait until the wave is over, for --timeout at most"}},
		Action: showWaves,
	}
}

func showWaves(ctx context.Context, cmd *cli.Command) error {
	if cmd.Bool(flagWait) && cmd.Args().Len() != 1 {
		return exitErrorf(ExitUsage, "--%s needs the name of a wave", flagWait)
	}
	s, err := openForRead(ctx, cmd)
	if err != nil {
		return err
	}
	defer s.Close()
	name := cmd.Args().First()
	var waitErr error
	if cmd.Bool(flagWait) {
		waitErr = s.awaitWave(ctx, name)
	}
	waves := s.listWaves(name)
	if name != "" && len(waves) == 0 {
		return exitErrorf(ExitRejected, "no wave %s on record", name)
	}
	return worseError(waitErr, printResult(cmd.Root().Writer, s.format, waves, waveTable(waves), skipTable(waves), waitTable(waves)))
}

// awaitWave waits until the wave is over or no longer on record. It returns an
// error if the session's timeout is over first.
func (s *session) awaitWave(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	for ctx.Err() == nil {
		over := true
		s.view(func(state *ledger.State) {
			if w, ok := state.Waves[name]; ok {
				over = !w.Active()
			}
		})
		if over {
			return nil
		}
		wait.Sleep(ctx, wavePollInterval)
	}
	return exitErrorf(ExitUnknown, "wave %s is not over after %s", name, s.timeout)
}

func (s *session) listWaves(name string) []waveResult {
	results := []waveResult{}
	s.view(func(state *ledger.State) {
		round := maintenance.Round(pool.NewView(state, time.Now()), pool.DefaultPolicy())
		for _, id := range slices.Sorted(maps.Keys(state.Waves)) {
			if name == "" || name == id {
				results = append(results, newWaveResult(state.Waves[id], round.Waits))
			}
		}
	})
	return results
}

func newWaveResult(w *ledger.Wave, waits []pool.Wait) waveResult {
	r := waveResult{Wave: w.ID, Status: w.Status, Reason: w.Reason, Pools: w.Pools, Started: w.StartedAt,
		Finished: w.FinishedAt, Deadline: w.Deadline, Skipped: map[string]string{}, Waits: map[string]string{}}
	for _, wait := range waits {
		if wait.Wave == w.ID {
			r.Waits[wait.Pool] = wait.Reason
		}
	}
	for vm, progress := range w.VMs {
		switch progress {
		case ledger.WavePending:
			r.Pending++
		case ledger.WaveOut:
			r.Out++
		case ledger.WaveBack:
			r.Back++
		case ledger.WaveSkipped:
			r.Skipped[vm] = w.Skips[vm]
		}
	}
	return r
}

func waveTable(waves []waveResult) *table {
	t := &table{title: "waves", header: []string{"WAVE", "STATUS", "POOLS", "PENDING", "OUT", "BACK", "SKIPPED", "STARTED", "TOOK", "DEADLINE", "REASON"}}
	for _, w := range waves {
		took := dash
		if !w.Finished.IsZero() {
			took = formatDuration(w.Finished.Sub(w.Started))
		}
		t.add(w.Wave, string(w.Status), strings.Join(w.Pools, ","), fmt.Sprint(w.Pending), fmt.Sprint(w.Out), fmt.Sprint(w.Back),
			fmt.Sprint(len(w.Skipped)), formatTime(w.Started), took, formatTime(w.Deadline), orDash(w.Reason))
	}
	return t
}

func skipTable(waves []waveResult) *table {
	t := &table{title: "skipped VMs", header: []string{"WAVE", "VM", "REASON"}}
	for _, w := range waves {
		for _, vm := range slices.Sorted(maps.Keys(w.Skipped)) {
			t.add(w.Wave, vm, w.Skipped[vm])
		}
	}
	return t
}

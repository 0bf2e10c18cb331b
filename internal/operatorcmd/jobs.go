package operatorcmd

import (
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Flags of jobs.
const (
	flagService        = "service"
	flagTeam           = "team"
	flagCores          = "cores"
	flagMemory         = "memory-mb"
	flagAccelerators   = "accelerators"
	flagRunTime        = "run-time"
	flagUrgent         = "urgent"
	flagRepeatable     = "repeatable"
	flagCheckpointable = "checkpointable"
	flagStatus         = "status"
)

const milliCoresPerCore = 1000

func jobsCommand() *cli.Command {
	return &cli.Command{
		Name:   "jobs",
		Usage:  "submit, list, cancel and explain jobs",
		Action: groupAction,
		Commands: []*cli.Command{
			jobSubmitCommand(),
			jobListCommand(),
			jobCancelCommand(),
			jobExplainCommand(),
		},
	}
}

func jobSubmitCommand() *cli.Command {
	return &cli.Command{
		Name:      "submit",
		Usage:     "submit a job to a service's pool",
		ArgsUsage: "JOB",
		Description: `Examples:
   yuccadrift jobs submit --service export --team cad --cores 4 --memory-mb 8192 --run-time 30m night-export-17
   yuccadrift jobs submit --service back-office --team billing --repeatable --urgent reconcile-9`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagService, Usage: "`SERVICE` whose pool runs the job", Required: true},
			&cli.StringFlag{Name: flagTeam, Usage: "`TEAM` whose quota the job counts against", Required: true},
			&cli.FloatFlag{Name: flagCores, Usage: "`CORES`, fractions allowed", Value: 1},
			&cli.IntFlag{Name: flagMemory, Usage: "memory in `MB`", Value: 1024},
			&cli.IntFlag{Name: flagAccelerators, Usage: "`N` accelerators"},
			&cli.DurationFlag{Name: flagRunTime, Usage: "declared run time, a `DURATION`", Value: time.Minute},
			&cli.BoolFlag{Name: flagUrgent, Usage: "start the job ahead of other work"},
			&cli.BoolFlag{Name: flagRepeatable, Usage: "the job may be started again if its end is unknown"},
			&cli.BoolFlag{Name: flagCheckpointable, Usage: "the job can be checkpointed and resumed"},
		},
		Action: jobSubmit,
	}
}

func jobSubmit(ctx context.Context, cmd *cli.Command) error {
	id, err := oneArg(cmd, "job's name")
	if err != nil {
		return err
	}
	body := record.JobSubmit{
		Service:        cmd.String(flagService),
		Team:           cmd.String(flagTeam),
		MilliCores:     int(math.Round(cmd.Float(flagCores) * milliCoresPerCore)),
		MemoryMB:       cmd.Int(flagMemory),
		Accelerators:   cmd.Int(flagAccelerators),
		RunTime:        cmd.Duration(flagRunTime),
		Urgent:         cmd.Bool(flagUrgent),
		Repeatable:     cmd.Bool(flagRepeatable),
		Checkpointable: cmd.Bool(flagCheckpointable),
	}
	return proposeChange(ctx, cmd, record.Subject{Kind: record.SubjectJob, Name: id}, body, "submit")
}

func jobCancelCommand() *cli.Command {
	return &cli.Command{
		Name:      "cancel",
		Usage:     "cancel a job",
		ArgsUsage: "JOB",
		Flags:     []cli.Flag{&cli.StringFlag{Name: flagReason, Usage: "`TEXT` that is kept with the job"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			id, err := oneArg(cmd, "job")
			if err != nil {
				return err
			}
			body := record.JobCancel{Reason: cmd.String(flagReason)}
			return proposeChange(ctx, cmd, record.Subject{Kind: record.SubjectJob, Name: id}, body, "cancel")
		},
	}
}

func jobListCommand() *cli.Command {
	return &cli.Command{
		Name:  "list",
		Usage: "list jobs; ended ones stay listed for a while",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagService, Usage: "only jobs of this `SERVICE`"},
			&cli.StringFlag{Name: flagStatus, Usage: "only jobs with this `STATUS`: queued, placed, done, cancelled"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s, err := openForRead(ctx, cmd)
			if err != nil {
				return err
			}
			defer s.Close()
			jobs := s.listJobs(cmd.String(flagService), ledger.JobStatus(cmd.String(flagStatus)))
			return printResult(cmd.Root().Writer, s.format, jobs, jobTable(jobs))
		},
	}
}

// listJobs returns copies of the jobs of a service with a status, in the order
// of their IDs. An empty argument matches all.
func (s *session) listJobs(service string, status ledger.JobStatus) []ledger.Job {
	jobs := []ledger.Job{}
	s.view(func(state *ledger.State) {
		for _, id := range slices.Sorted(maps.Keys(state.Jobs)) {
			j := state.Jobs[id]
			if (service == "" || j.Spec.Service == service) && (status == "" || j.Status == status) {
				jobs = append(jobs, *j)
			}
		}
	})
	return jobs
}

func jobTable(jobs []ledger.Job) *table {
	t := &table{title: "jobs", header: []string{"JOB", "SERVICE", "TEAM", "STATUS", "WORKER", "ATTEMPT", "CORES", "MEMORY MB", "URGENT", "RESULT", "REASON"}}
	for _, j := range jobs {
		t.add(j.ID, j.Spec.Service, j.Spec.Team, string(j.Status), orDash(j.Worker), fmt.Sprint(j.Attempt), formatCores(j.Spec.MilliCores),
			fmt.Sprint(j.Spec.MemoryMB), yesNo(j.Spec.Urgent), orDash(string(j.Result)), orDash(j.Reason))
	}
	return t
}

func formatCores(milliCores int) string {
	return strings.TrimSuffix(strings.TrimRight(fmt.Sprintf("%.3f", float64(milliCores)/milliCoresPerCore), "0"), ".")
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

package operatorcmd

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/placement"
)

// explanation is the output of jobs explain.
type explanation struct {
	Job   string   `json:"job"`
	Facts []string `json:"facts"`
}

func jobExplainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "explain why a job runs, waits or ended, and what to do",
		ArgsUsage: "JOB",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			id, err := oneArg(cmd, "job")
			if err != nil {
				return err
			}
			s, err := openForRead(ctx, cmd)
			if err != nil {
				return err
			}
			defer s.Close()
			e := explanation{Job: id}
			s.view(func(state *ledger.State) {
				if j, ok := state.Jobs[id]; ok {
					e.Facts = explainJob(state, j)
				}
			})
			if len(e.Facts) == 0 {
				return exitErrorf(ExitRejected, "no job %s on record", id)
			}
			t := &table{title: "job " + id, header: []string{"FACT"}}
			for _, fact := range e.Facts {
				t.add(fact)
			}
			return printResult(cmd.Root().Writer, s.format, e, t)
		},
	}
}

func explainJob(state *ledger.State, j *ledger.Job) []string {
	facts := []string{fmt.Sprintf("submitted %s by team %s to service %s", formatTime(j.SubmittedAt), j.Spec.Team, j.Spec.Service)}
	if j.Attempt > 0 {
		facts = append(facts, fmt.Sprintf("%d attempts, %d failed and %d lapsed of at most %d", j.Attempt, len(j.Failures), j.Lapses, ledger.MaxTries))
	}
	for _, f := range j.Failures {
		facts = append(facts, fmt.Sprintf("failed on %s at %s", f.Worker, formatTime(f.Ended)))
	}
	switch j.Status {
	case ledger.JobQueued:
		return append(facts, explainQueuedJob(state, j)...)
	case ledger.JobPlaced:
		facts = append(facts, fmt.Sprintf("placed on %s since %s with %s cores and %d MB", j.Worker, formatTime(j.StartedAt), formatCores(j.MilliCores), j.MemoryMB))
	default:
		facts = append(facts, fmt.Sprintf("%s %s, result %s", j.Status, formatTime(j.EndedAt), orDash(string(j.Result))))
	}
	if j.Reason != "" {
		facts = append(facts, j.Reason)
	}
	if j.Result == "lapsed" && !j.Spec.Repeatable {
		facts = append(facts, "it is not repeatable and its end is not known, so it is not started again; check its effect and submit a new job if it did not run")
	}
	return facts
}

// explainQueuedJob returns what a queued job waits for, as the placement explains
// it. It uses the declared sizes of jobs: what the stewards have learned about
// actual sizes is not on the log.
func explainQueuedJob(state *ledger.State, j *ledger.Job) []string {
	p, queue := placement.FromState(state, j.Spec.Service, placement.Knowledge{})
	facts := []string{"queued since " + formatTime(j.QueuedAt)}
	for i := range queue {
		if queue[i].ID == j.ID {
			facts = append(facts, p.Explain(&queue[i], placement.Policy{}))
		}
	}
	return facts
}

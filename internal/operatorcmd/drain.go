package operatorcmd

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Flags of drain.
const (
	flagTo       = "to"
	flagRelease  = "release"
	flagEstimate = "estimate"
)

const defaultEstimate = 5 * time.Minute

// changeResult is the output of a command that changes one subject.
type changeResult struct {
	Subject  record.Subject  `json:"subject"`
	Change   string          `json:"change"`
	Status   ledger.Status   `json:"status"`
	Offset   uint64          `json:"offset,omitempty"`
	BasedOn  record.Revision `json:"based_on"`
	RecordID string          `json:"record_id"`
	Reason   string          `json:"reason,omitempty"`
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "take one VM out of service, within its pool's budget",
		ArgsUsage: "VM",
		Description: `The VM gets no new work, its requests in flight finish, and it returns to its
pool unless --to or --release is given. The ledger refuses the drain if it would
exceed the pool's availability budget; the reason names the limit.

Examples:
   yuccadrift drain vm-17
   yuccadrift drain --to returns vm-17
   yuccadrift drain --release vm-17`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagTo, Usage: "join `POOL` afterwards"},
			&cli.BoolFlag{Name: flagRelease, Usage: "leave the pool for the common reserve afterwards"},
			&cli.DurationFlag{Name: flagEstimate, Usage: "expected `DURATION` out of service, which counts against the budget", Value: defaultEstimate},
		},
		Action: drain,
	}
}

func drain(ctx context.Context, cmd *cli.Command) error {
	vm, err := oneArg(cmd, "VM")
	if err != nil {
		return err
	}
	if cmd.IsSet(flagTo) && cmd.Bool(flagRelease) {
		return exitErrorf(ExitUsage, "--%s and --%s are mutually exclusive", flagTo, flagRelease)
	}
	body := record.VMDrain{
		Reason:   record.DrainOperator,
		Target:   cmd.String(flagTo),
		Release:  cmd.Bool(flagRelease),
		Estimate: cmd.Duration(flagEstimate),
	}
	if body.Target != "" || body.Release {
		body.Reason = record.DrainMove
	}
	return proposeChange(ctx, cmd, record.Subject{Kind: record.SubjectVM, Name: vm}, body, "drain")
}

// oneArg returns the command's only argument. what is the argument's name in the
// error message.
func oneArg(cmd *cli.Command, what string) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", exitErrorf(ExitUsage, "%s takes one argument, the %s", cmd.FullName(), what)
	}
	return cmd.Args().First(), nil
}

// proposeChange opens a session, proposes body on the subject's present revision
// and prints the outcome. what is the name of the change in the output.
func proposeChange(ctx context.Context, cmd *cli.Command, sub record.Subject, body record.Body, what string) error {
	s, err := openSession(ctx, cmd)
	if err != nil {
		return err
	}
	defer s.Close()
	return s.proposeAndPrint(ctx, cmd, sub, body, what)
}

func (s *session) proposeAndPrint(ctx context.Context, cmd *cli.Command, sub record.Subject, body record.Body, what string) error {
	rec, out, err := s.proposeWithRetry(ctx, sub, body)
	r := changeResult{Subject: sub, Change: what, Status: out.Status, Offset: out.Offset, BasedOn: rec.Base, RecordID: rec.ID, Reason: out.Reason}
	if exitCode(err) == ExitUnknown {
		r.Status = statusUnknown
	}
	t := &table{title: "change", header: []string{"SUBJECT", "CHANGE", "OUTCOME", "BASED ON"}}
	t.add(sub.String(), what, r.outcome(), fmt.Sprint(r.BasedOn))
	if showErr := printResult(cmd.Root().Writer, s.format, r, t); showErr != nil {
		return showErr
	}
	return err
}

// maxProposals bounds the attempts of proposeWithRetry.
const maxProposals = 10

// proposeWithRetry proposes body on the subject's present revision. If another
// change of the subject took effect first and body applies to any revision, it
// proposes body again on the new revision: a job that was placed just before its
// cancellation must still be cancelled, and a burst of cancellations loses many
// such races.
func (s *session) proposeWithRetry(ctx context.Context, sub record.Subject, body record.Body) (record.Record, ledger.Outcome, error) {
	for n := 1; ; n++ {
		rec := s.newRecord(sub, body)
		out, err := s.propose(ctx, rec)
		if out.Status != ledger.Stale || out.Current == 0 || !appliesToAnyRevision(body) || n == maxProposals {
			return rec, out, err
		}
	}
}

// appliesToAnyRevision reports whether the change means the same on every
// revision of its subject.
func appliesToAnyRevision(body record.Body) bool {
	switch body.(type) {
	case record.JobCancel, record.WaveControl:
		return true
	}
	return false
}

// statusUnknown extends the ledger's statuses: the outcome of the change is not
// known.
const statusUnknown ledger.Status = "unknown"

func (r changeResult) outcome() string {
	switch r.Status {
	case ledger.Effective:
		return fmt.Sprintf("effective at offset %d", r.Offset)
	case statusUnknown:
		return "unknown; look at history before you repeat it"
	}
	return fmt.Sprintf("%s at offset %d: %s", r.Status, r.Offset, r.Reason)
}

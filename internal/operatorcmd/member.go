package operatorcmd

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/operator"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

const flagStopped = "stopped"

// memberProbeTimeout bounds the check whether a member still answers.
const memberProbeTimeout = 2 * time.Second

func memberCommand() *cli.Command {
	return &cli.Command{
		Name:   "member",
		Usage:  "manage the membership of the entry VMs",
		Action: groupAction,
		Commands: []*cli.Command{
			{
				Name:      "remove",
				Usage:     "remove a lost entry VM that the others cannot evict",
				ArgsUsage: "MEMBER",
				Description: `Needed only after half or more of the entry VMs were lost at once: the remaining
ones are no majority. A member that still runs but is unreachable could go on
granting not-repeatable requests that another member grants, too. Make sure that
its VM is stopped, and confirm this with --stopped.

Example:
   yuccadrift member remove --stopped entry-3.01JDZDJWG0ABCDEFGHJKMNPQRS`,
				Flags: []cli.Flag{
					&cli.BoolFlag{Name: flagStopped, Usage: "the member's VM is stopped or gone for good"},
				},
				Action: removeMember,
			},
		},
	}
}

func removeMember(ctx context.Context, cmd *cli.Command) error {
	name, err := oneArg(cmd, "MEMBER")
	if err != nil {
		return err
	}
	if !cmd.Bool(flagStopped) {
		return exitErrorf(ExitUsage, "make sure that the VM of %s is stopped and confirm this with --%s", name, flagStopped)
	}
	s, err := openSession(ctx, cmd)
	if err != nil {
		return err
	}
	defer s.Close()
	address := ""
	s.follower.View(func(st *ledger.State) {
		if m, ok := st.Members[name]; ok {
			address = m.Address
		}
	})
	if address == "" {
		return exitErrorf(ExitRejected, "%s is no member; yuccadrift status lists them", name)
	}
	if nodeAnswers(ctx, address) {
		return exitErrorf(ExitRejected, "%s is not stopped: a process answers at %s", name, address)
	}
	return s.proposeAndPrint(ctx, cmd, record.Subject{Kind: record.SubjectMember, Name: name}, record.MemberLeave{}, "remove")
}

// nodeAnswers reports whether a node answers at a peer address.
func nodeAnswers(ctx context.Context, address string) bool {
	c, err := operator.NewClient(address)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	ctx, cancel := context.WithTimeout(ctx, memberProbeTimeout)
	defer cancel()
	_, err = c.Status(ctx)
	return err == nil
}

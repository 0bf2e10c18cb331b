package operatorcmd

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/yuccadrift/yuccadrift/internal/entrypeer"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
)

// openForRead opens a session for a command that changes nothing. If the platform
// is unreachable and nodes are configured, the session holds the state with the
// highest offset among these nodes, and a notice on the error output says so:
// operators need to see their pools during an outage of hours, too.
func openForRead(ctx context.Context, cmd *cli.Command) (*session, error) {
	o, err := loadOptions(cmd)
	if err != nil {
		return nil, err
	}
	s, err := openSessionWith(ctx, o)
	if exitCode(err) != ExitUnreachable || len(o.nodes) == 0 {
		return s, err
	}
	state, peerErr := newestPeerState(ctx, o)
	if peerErr != nil {
		return nil, exitErrorf(ExitUnreachable, "%v; no node returned its state either: %v", err, peerErr)
	}
	fmt.Fprintf(cmd.Root().ErrWriter, "yuccadrift: %v; shown is the state at offset %d, as a node has it\n", err, state.Offset)
	return &session{options: o, peerState: state}, nil
}

// newestPeerState returns the state with the highest offset among the
// configured nodes.
func newestPeerState(ctx context.Context, o options) (*ledger.State, error) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	states := entrypeer.NewStateClient(o.nodes)
	defer states.Close()
	snapshot, err := states.NewestState(ctx)
	if err != nil {
		return nil, err
	}
	return ledger.DecodeSnapshot(snapshot)
}

// view calls fn with the session's state.
func (s *session) view(fn func(*ledger.State)) {
	if s.peerState != nil {
		fn(s.peerState)
		return
	}
	s.follower.View(fn)
}

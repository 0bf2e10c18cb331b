package operatorcmd

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/yuccadrift/yuccadrift/internal/entrypeer"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
)

// openForRead opens a session for a command that only shows something. While the
// platform is out of reach it shows the highest state that the nodes given have,
// and says so: in an outage of hours operators still need to see their pools.
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
		return nil, exitErrorf(ExitUnreachable, "%v; nor has a node passed its state on: %v", err, peerErr)
	}
	fmt.Fprintf(cmd.Root().ErrWriter, "yuccadrift: %v; shown is the state at offset %d, as a node has it\n", err, state.Offset)
	return &session{options: o, peerState: state}, nil
}

// newestPeerState returns the state with the highest offset among the nodes.
func newestPeerState(ctx context.Context, o options) (*ledger.State, error) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	states := entrypeer.NewStates(o.nodes)
	defer states.Close()
	snapshot, err := states.NewestState(ctx)
	if err != nil {
		return nil, err
	}
	return ledger.DecodeSnapshot(snapshot)
}

// view calls fn with the state that the command shows.
func (s *session) view(fn func(*ledger.State)) {
	if s.peerState != nil {
		fn(s.peerState)
		return
	}
	s.follower.View(fn)
}

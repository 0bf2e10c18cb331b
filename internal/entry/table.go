package entry

import (
	"context"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/routing"
)

// catchUpTimeout limits one catch-up with the log after a pause.
const catchUpTimeout = time.Second

// Follower provides the state folded from the log. It is implemented by
// follower.Follower.
type Follower interface {
	View(func(*ledger.State))
	Fresh() time.Time
	// Started reports whether the state is complete enough to serve requests.
	Started() bool
	Changed() <-chan struct{}
	// CatchUp reads and folds the log to its end.
	CatchUp(ctx context.Context) error
}

// followTable replaces the table after each change of the state.
func (e *Entry) followTable(ctx context.Context) error {
	changed := e.cfg.Follower.Changed()
	for {
		e.refreshTable()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// refreshTable builds a table from the current state. Fresh is read first: the state
// viewed later contains at least what that log read returned.
//
// No table is built until the log was read to its end once or the state of a peer was
// taken over. A starting process folds old records first: it would serve with
// documents that were replaced long ago, and send requests to VMs that have left
// their pool since.
func (e *Entry) refreshTable() {
	fresh := e.cfg.Follower.Fresh()
	if !e.cfg.Follower.Started() {
		e.cfg.Readiness.SetNotReady("table", "the log has not been read to its end yet")
		return
	}
	var table *routing.Table
	e.cfg.Follower.View(func(s *ledger.State) { table = routing.Build(s) })
	e.dispatcher.Update(table, fresh)
	if len(table.Services) == 0 {
		e.cfg.Readiness.SetNotReady("table", "no service document is known yet")
		return
	}
	e.cfg.Readiness.SetReady("table")
}

// runPauseBeat detects that the process was paused and then reads the log, which
// releases held requests.
func (e *Entry) runPauseBeat(ctx context.Context) error {
	ticker := time.NewTicker(routing.PauseBeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if e.dispatcher.Beat(time.Now()) {
			e.catchUp(ctx)
		}
	}
}

func (e *Entry) catchUp(ctx context.Context) {
	e.cfg.Logger.Warn("the process was paused; reading the log before sending new attempts")
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if err := e.cfg.Follower.CatchUp(ctx); err != nil {
		e.cfg.Logger.Warn("cannot read the log after a pause", "error", err)
		return
	}
	e.refreshTable()
}

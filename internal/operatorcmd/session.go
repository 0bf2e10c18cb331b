package operatorcmd

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"
	"github.com/urfave/cli/v3"

	"github.com/yuccadrift/yuccadrift/internal/entrypeer"
	"github.com/yuccadrift/yuccadrift/internal/follower"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// logEndPollInterval is how often open looks whether the log is folded to its end.
const logEndPollInterval = 2 * time.Millisecond

// session is one command's connection to the platform, with the log folded to
// its end.
type session struct {
	options
	client   *platform.Client
	states   *entrypeer.States
	follower *follower.Follower
	stop     func()
	// peerState is a node's state in place of the log's; nil as a rule.
	peerState *ledger.State
}

// openSession connects and folds the log up to its present end.
func openSession(ctx context.Context, cmd *cli.Command) (*session, error) {
	o, err := loadOptions(cmd)
	if err != nil {
		return nil, err
	}
	return openSessionWith(ctx, o)
}

func openSessionWith(ctx context.Context, o options) (*session, error) {
	client, err := connect(ctx, o)
	if err != nil {
		return nil, err
	}
	s := &session{options: o, client: client}
	s.states = entrypeer.NewStates(o.nodes)
	s.follower = follower.New(follower.Config{
		Log:    client,
		Stream: o.stream,
		// A log whose beginning retention has removed is read from a snapshot on,
		// or from the state of a node where none was published yet.
		SnapshotStream: o.snapshotStream,
		Peers:          s.states,
		Logger:         hclog.NewNullLogger(),
	})
	s.startFollower(ctx)
	if err := s.awaitLogEnd(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// connect returns a client after one read has shown that the platform answers.
func connect(ctx context.Context, o options) (*platform.Client, error) {
	if o.platform == "" {
		return nil, exitErrorf(ExitUsage, "which platform? give --%s IP:PORT or a settings file", flagPlatform)
	}
	client := platform.NewClient(o.platform, platform.ClientOptions{Timeout: o.timeout})
	probe, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	_, err := client.Read(probe, o.stream, 1, 1, 0)
	if err != nil && !errors.Is(err, platform.ErrTrimmed) {
		client.Close()
		return nil, exitErrorf(ExitUnreachable, "cannot reach the platform at %s: %v", o.platform, errors.Cause(err))
	}
	return client, nil
}

// startFollower starts the follower under a supervisor; Close ends both.
func (s *session) startFollower(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	supervisor := suture.New("yuccadrift", suture.Spec{PassThroughPanics: true})
	supervisor.Add(s.follower)
	done := supervisor.ServeBackground(ctx)
	s.stop = func() {
		cancel()
		<-done
	}
}

func (s *session) awaitLogEnd(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	tick := time.NewTicker(logEndPollInterval)
	defer tick.Stop()
	for s.follower.Fresh().IsZero() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			condition, detail := s.follower.Condition()
			return exitErrorf(ExitUnreachable, "the log at %s could not be read to its end within %s: %s %s", s.platform, s.timeout, condition, detail)
		}
	}
	return nil
}

// Close ends the follower and the connections.
func (s *session) Close() {
	if s.peerState != nil {
		return
	}
	s.stop()
	s.states.Close()
	s.client.Close()
}

// newRecordID returns a record ID.
func newRecordID() string {
	return ulid.MustNew(ulid.Now(), rand.Reader).String()
}

// newRecord returns a record on the subject's present revision.
func (s *session) newRecord(sub record.Subject, body record.Body) record.Record {
	rec := record.Record{ID: newRecordID(), Subject: sub, Author: s.author, Time: time.Now().UTC(), Body: body}
	s.follower.View(func(state *ledger.State) {
		rec.Base = state.Revision(sub)
		rec.Seen = state.Offset
	})
	return rec
}

// propose appends rec and waits for its outcome. The error's exit code says
// what became of it; nil means that it is effective.
func (s *session) propose(ctx context.Context, rec record.Record) (ledger.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	out, err := s.follower.Propose(ctx, rec)
	if errors.Is(err, platform.ErrRejected) {
		return out, exitErrorf(ExitRejected, "%v", err)
	}
	if err != nil {
		return out, exitErrorf(ExitUnknown, "outcome unknown after %s: record %s may have taken or may yet take effect", s.timeout, rec.ID)
	}
	switch out.Status {
	case ledger.Effective:
		return out, nil
	case ledger.Stale:
		return out, exitErrorf(ExitConflict, "void: revision %d came first (%s)", out.Current, out.Reason)
	case ledger.Duplicate:
		return out, exitErrorf(ExitConflict, "void: %s", out.Reason)
	}
	return out, exitErrorf(ExitRejected, "rejected: %s", out.Reason)
}

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

// logEndPollInterval is how often awaitLogEnd checks whether the follower has
// applied the log to its end.
const logEndPollInterval = 2 * time.Millisecond

// session is one command's connection to the platform, with the state that the
// log yields up to its end.
type session struct {
	options
	client   *platform.Client
	states   *entrypeer.StateClient
	follower *follower.Follower
	stop     func()
	// peerState replaces the state read from the log while the platform is
	// unreachable; nil otherwise. A session with a peerState has no connection.
	peerState *ledger.State
}

// openSession connects to the platform and applies the log up to its present
// end.
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
	s.states = entrypeer.NewStateClient(o.nodes)
	s.follower = follower.New(follower.Config{
		Log:    client,
		Stream: o.stream,
		// If retention has removed the log's beginning, the follower starts from a
		// snapshot, or from a node's state if no snapshot was published yet.
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

// connect returns a client once the platform has answered one read.
func connect(ctx context.Context, o options) (*platform.Client, error) {
	if o.platform == "" {
		return nil, exitErrorf(ExitUsage, "no platform address: set --%s IP:PORT or use a settings file", flagPlatform)
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

// startFollower starts the follower under a supervisor; Close stops both.
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
			return exitErrorf(ExitUnreachable, "log at %s not read to its end within %s: %s %s", s.platform, s.timeout, condition, detail)
		}
	}
	return nil
}

// Close stops the follower and closes the connections.
func (s *session) Close() {
	if s.peerState != nil {
		return
	}
	s.stop()
	s.states.Close()
	s.client.Close()
}

func newRecordID() string {
	return ulid.MustNew(ulid.Now(), rand.Reader).String()
}

// newRecord returns a record with a new ID, based on the subject's present
// revision.
func (s *session) newRecord(sub record.Subject, body record.Body) record.Record {
	rec := record.Record{ID: newRecordID(), Subject: sub, Author: s.author, Time: time.Now().UTC(), Body: body}
	s.follower.View(func(state *ledger.State) {
		rec.Base = state.Revision(sub)
		rec.Seen = state.Offset
	})
	return rec
}

// propose appends rec and waits for its outcome. It returns nil if the record is
// effective; otherwise the exit code of the error gives the kind of outcome.
func (s *session) propose(ctx context.Context, rec record.Record) (ledger.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	out, err := s.follower.Propose(ctx, rec)
	if errors.Is(err, platform.ErrRejected) {
		return out, exitErrorf(ExitRejected, "%v", err)
	}
	if err != nil {
		return out, exitErrorf(ExitUnknown, "outcome unknown after %s: record %s may have taken effect or may still take effect", s.timeout, rec.ID)
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

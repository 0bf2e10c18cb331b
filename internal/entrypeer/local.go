package entrypeer

import (
	"context"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/yuccadrift/yuccadrift/internal/claim"
)

// Local is the Claimer of an entry VM that has no peers.
type Local struct {
	self string
	desk *Desk
}

type always struct{}

func (always) Valid(claim.Instant) bool { return true }

// NewLocal returns a Claimer that owns every key.
func NewLocal(self string, cfg claim.Config) *Local {
	owner := claim.NewOwner(cfg, self, always{})
	owner.Join(now(), nil, claim.Change{Offset: 1, Joined: []string{self}})
	return &Local{self: self, desk: NewDesk(owner)}
}

// Claim implements Claimer.
func (l *Local) Claim(ctx context.Context, req claim.Request) claim.Decision {
	attempt := claim.Attempt{Holder: l.self, ID: ulid.Make()}
	until, ok := ctx.Deadline()
	if !ok {
		until = time.Now().Add(maxRun)
	}
	for {
		r := l.desk.Claim(req, attempt, until.Add(reportSlack))
		if r.Code != claim.CodeInProgress || ctx.Err() != nil {
			return decide(req, attempt, r)
		}
		if !l.desk.Await(ctx, req.Key, attempt) {
			return decide(req, attempt, r)
		}
	}
}

// Report implements Claimer.
func (l *Local) Report(res claim.Result) { l.desk.Report(res) }

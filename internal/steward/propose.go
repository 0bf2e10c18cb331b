package steward

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/ulid/v2"

	"github.com/yuccadrift/yuccadrift/internal/follower"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/pool"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Bounds of proposing.
const (
	// proposeTimeout bounds the wait for one record's outcome.
	proposeTimeout = 10 * time.Second
	// proposeParallel is how many records of one round are under way at once.
	proposeParallel = 16
)

// proposer appends decisions as records.
type proposer struct {
	follower *follower.Follower
	author   string
	logger   hclog.Logger
	metrics  *metrics
}

// propose appends a proposal that was decided at offset seen and reports whether it
// took effect. An unknown outcome counts as "no": if the record takes effect
// later, the next look at the state finds it.
func (p *proposer) propose(ctx context.Context, seen uint64, d pool.Proposal) bool {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	out, err := p.follower.Propose(ctx, record.Record{
		ID:      ulid.Make().String(),
		Subject: d.Subject,
		Base:    d.Base,
		Seen:    seen,
		Author:  p.author,
		Time:    time.Now(),
		Body:    d.Body,
	})
	if err != nil {
		p.metrics.observeProposal(d.Body.Kind(), outcomeUnknown)
		p.logger.Warn("outcome unknown", "subject", d.Subject, "kind", d.Body.Kind(), "error", err)
		return false
	}
	p.metrics.observeProposal(d.Body.Kind(), out.Status)
	p.logger.Debug("proposed", "subject", d.Subject, "kind", d.Body.Kind(), "why", d.Why,
		"status", out.Status, "reason", out.Reason, "offset", out.Offset)
	return out.Status == ledger.Effective
}

// proposeAll appends the proposals of one round, several at a time, and waits.
func (p *proposer) proposeAll(ctx context.Context, seen uint64, list []pool.Proposal) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, proposeParallel)
	for _, d := range list {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			p.propose(ctx, seen, d)
		})
	}
	wg.Wait()
}

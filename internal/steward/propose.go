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

// Limits of proposals.
const (
	// proposeTimeout bounds the wait for the outcome of a record.
	proposeTimeout = 10 * time.Second
	// proposeParallel is the number of records of a round that are appended
	// concurrently.
	proposeParallel = 16
)

// proposer appends decisions as records.
type proposer struct {
	follower *follower.Follower
	author   string
	logger   hclog.Logger
	metrics  *metrics
}

// propose appends a proposal that was decided at offset seen and reports
// whether it took effect. It returns false if the outcome is unknown: if the
// record takes effect later, the next read of the state shows it.
func (p *proposer) propose(ctx context.Context, seen uint64, d pool.Proposal) bool {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	outcome, err := p.follower.Propose(ctx, record.Record{
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
	p.metrics.observeProposal(d.Body.Kind(), outcome.Status)
	p.logger.Debug("proposed", "subject", d.Subject, "kind", d.Body.Kind(), "why", d.Why,
		"status", outcome.Status, "reason", outcome.Reason, "offset", outcome.Offset)
	return outcome.Status == ledger.Effective
}

// proposeAll appends the proposals of a round concurrently and waits for their
// outcomes.
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

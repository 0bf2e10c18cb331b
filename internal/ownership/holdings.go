package ownership

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/platform"
)

// holding is one owned partition.
type holding struct {
	epoch  int64
	cancel context.CancelCauseFunc
	done   chan struct{}
	// confirmed is when the latest join was sent whose answer listed it.
	confirmed instant
}

// assign starts and stops owners by what the group said to a join sent at a time. changed
// tells whether others have come or gone since the join before. The lock is held.
func (m *Manager) assign(ctx context.Context, a platform.Assignment, sent instant, changed bool) {
	if time.Now().Before(m.runFrom) {
		m.released = m.generation
		return // others are about to come, and the next deal is another one
	}
	listed := map[platform.Partition]bool{}
	for _, p := range a.Parts {
		if isPresence(p) {
			continue
		}
		listed[p] = true
		if h := m.held[p]; h != nil && changed && sent.at.After(m.lapse(h.confirmed)) {
			m.giveUp(p, h, a.Generation, "another member may have owned it since")
		}
		switch {
		case m.retiring[p] != nil:
			continue // it is started anew once the previous owner has left word of its runs
		case a.Generation < m.superseded[p]:
			continue // the answer is older than the owner that asked for it
		}
		if m.held[p] == nil {
			m.held[p] = m.start(ctx, p, a.Generation)
		}
		m.held[p].confirmed = sent
	}
	for p, h := range m.held {
		if !listed[p] {
			m.giveUp(p, h, a.Generation, "the group gave it to another member")
		}
	}
	if m.stopping == 0 {
		m.released = m.generation
	}
}

// giveUp stops the owner of a partition. The lock is held.
func (m *Manager) giveUp(p platform.Partition, h *holding, generation int64, reason string) {
	m.logger.Info("partition handed over", "topic", p.Topic, "partition", p.Part, "generation", generation, "reason", reason)
	m.retire(p, h, nil)
}

// retire stops the owner of a partition for a cause. The lock is held.
func (m *Manager) retire(p platform.Partition, h *holding, cause error) {
	h.cancel(cause)
	delete(m.held, p)
	m.retiring[p] = h
	m.stopping++
	go m.awaitStopped(p, h)
}

// awaitStopped tells the group at once when an owner has stopped whose partition passes
// on. The group deals the partition out when it hears of a generation in which this
// process has lost it. Heard earlier, the next owner would fence this one before it has
// left word of its runs, and wait for their leases: seconds in place of some 60 ms.
func (m *Manager) awaitStopped(p platform.Partition, h *holding) {
	<-h.done
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.retiring, p)
	m.stopping--
	if m.stopping == 0 {
		m.released = m.generation
		m.Confirm()
	}
}

func (m *Manager) start(ctx context.Context, p platform.Partition, epoch int64) *holding {
	ctx, cancel := context.WithCancelCause(ctx)
	h := &holding{epoch: epoch, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(h.done)
		err := m.run(ctx, p, epoch)
		if ctx.Err() != nil {
			return
		}
		m.logger.Warn("ownership ended", "topic", p.Topic, "partition", p.Part, "epoch", epoch, "error", err)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.renew = true
	}()
	return h
}

// ErrSuperseded is the cause with which an owner is stopped that a later one has asked to.
var ErrSuperseded = errors.New("a later owner has taken the partition over")

// Release stops the owner of a partition here, if its epoch is lower than one, and waits until
// it has stopped or ctx ends.
func (m *Manager) Release(ctx context.Context, p platform.Partition, below int64) {
	m.mu.Lock()
	m.superseded[p] = max(m.superseded[p], below)
	h := m.held[p]
	if h == nil {
		h = m.retiring[p]
	}
	if h == nil || h.epoch >= below {
		m.mu.Unlock()
		return
	}
	if m.held[p] == h {
		m.logger.Info("partition handed over", "topic", p.Topic, "partition", p.Part, "epoch", below, "reason", "its next owner asks for it")
		m.retire(p, h, ErrSuperseded)
	}
	m.mu.Unlock()
	select {
	case <-h.done:
	case <-ctx.Done():
	}
}

// stopAll stops all owners and waits until they have left word of their runs.
func (m *Manager) stopAll() {
	m.mu.Lock()
	var stopped []*holding
	for p, h := range m.held {
		h.cancel(nil)
		stopped = append(stopped, h)
		delete(m.held, p)
	}
	m.mu.Unlock()
	for _, h := range stopped {
		<-h.done
	}
}

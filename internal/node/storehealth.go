package node

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/platform"
)

// storeLostAfter is how long after the last good call the store counts as lost. The
// node makes several calls a second.
const storeLostAfter = 1500 * time.Millisecond

// failFastAfter is how long after the last good call nothing new is sent on behalf of
// callers. The node's own calls go on and find the store's return; a slow store
// answers within half of it.
const failFastAfter = 900 * time.Millisecond

// storeHealth knows whether the store answers this node.
type storeHealth struct {
	logger hclog.Logger

	mu           sync.Mutex
	lastAnswerAt time.Time
	isLost       bool
}

// record notes the outcome of a call to the store.
func (h *storeHealth) record(call platform.StoreCall) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if call.Answered {
		if h.isLost {
			h.logger.Info("store answers again", "away_ms", now.Sub(h.lastAnswerAt).Milliseconds())
		}
		h.lastAnswerAt = now
		h.isLost = false
		return
	}
	if !h.isLost && now.Sub(h.lastAnswerAt) > storeLostAfter {
		h.isLost = true
		h.logger.Warn("store does not answer", "since_ms", now.Sub(h.lastAnswerAt).Milliseconds())
	}
}

// sinceLastAnswer is how long ago the store last answered.
func (h *storeHealth) sinceLastAnswer() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.lastAnswerAt)
}

// check tells why the store counts as lost, nil if it doesn't.
func (h *storeHealth) check() error {
	if silence := h.sinceLastAnswer(); silence > storeLostAfter {
		return errors.Errorf("no answer of the store for %s", silence.Round(time.Millisecond))
	}
	return nil
}

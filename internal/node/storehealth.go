package node

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/platform"
)

// storeLostAfter is the time since the store's last answer after which it counts as lost. The
// node makes several calls a second.
const storeLostAfter = 1500 * time.Millisecond

// failFastAfter is the time since the store's last answer after which the node makes no more
// calls on behalf of callers. Its own calls go on and detect when the store answers again. A
// slow store answers within half of this time.
const failFastAfter = 900 * time.Millisecond

// storeHealth tracks whether the store answers this node. It is safe for concurrent use.
type storeHealth struct {
	logger hclog.Logger

	mu           sync.Mutex
	lastAnswerAt time.Time
	isLost       bool
	isFailing    bool // the latest call was not answered
	// onReturn is called when the store answers after a silence of more than failFastAfter.
	onReturn func()
}

// notifyOfReturn sets the function that is called when the store answers after a silence of more than
// failFastAfter.
func (h *storeHealth) notifyOfReturn(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onReturn = f
}

// record records whether a call to the store was answered.
func (h *storeHealth) record(call platform.StoreCall) {
	if onReturn := h.update(call); onReturn != nil {
		onReturn()
	}
}

// update applies a call and returns what is to be called then, nil for nothing.
func (h *storeHealth) update(call platform.StoreCall) (onReturn func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.isFailing = !call.Served
	if call.Served {
		if h.isLost {
			h.logger.Info("store answers again", "away_ms", now.Sub(h.lastAnswerAt).Milliseconds())
		}
		if now.Sub(h.lastAnswerAt) > failFastAfter {
			onReturn = h.onReturn
		}
		h.lastAnswerAt = now
		h.isLost = false
		return onReturn
	}
	if !h.isLost && now.Sub(h.lastAnswerAt) > storeLostAfter {
		h.isLost = true
		h.logger.Warn("store does not answer", "since_ms", now.Sub(h.lastAnswerAt).Milliseconds())
	}
	return nil
}

// recordRelayed records that the store answers a node that this one follows. Such a node makes no calls of its
// own; once one has failed, only an answer to a later one counts.
func (h *storeHealth) recordRelayed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.isFailing {
		h.lastAnswerAt = time.Now()
	}
}

// mayRely reports whether this node's latest call to the store was answered.
func (h *storeHealth) mayRely() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.isFailing
}

// sinceLastAnswer returns the time since the store's last answer.
func (h *storeHealth) sinceLastAnswer() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.lastAnswerAt)
}

// check returns an error if the store counts as lost.
func (h *storeHealth) check() error {
	if silence := h.sinceLastAnswer(); silence > storeLostAfter {
		return errors.Errorf("no answer of the store for %s", silence.Round(time.Millisecond))
	}
	return nil
}

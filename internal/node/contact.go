package node

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/platform"
)

// outOfTouch is how long after the last good call the store counts as lost. The
// node makes several calls a second.
const outOfTouch = 1500 * time.Millisecond

// hopeless is how long after the last good call nothing new is sent on behalf of
// callers. The node's own calls go on and find the store's return; a slow store
// answers within half of it.
const hopeless = 900 * time.Millisecond

// contact knows whether the store answers this node.
type contact struct {
	logger hclog.Logger

	mu   sync.Mutex
	good time.Time
	lost bool
}

// called notes the outcome of a call to the store.
func (c *contact) called(call platform.StoreCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if call.Answered {
		if c.lost {
			c.logger.Info("store answers again", "away_ms", now.Sub(c.good).Milliseconds())
		}
		c.good = now
		c.lost = false
		return
	}
	if !c.lost && now.Sub(c.good) > outOfTouch {
		c.lost = true
		c.logger.Warn("store does not answer", "since_ms", now.Sub(c.good).Milliseconds())
	}
}

// age is how long ago the store last answered.
func (c *contact) age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.good)
}

// check tells why the store counts as lost, nil if it doesn't.
func (c *contact) check() error {
	if age := c.age(); age > outOfTouch {
		return errors.Errorf("no answer of the store for %s", age.Round(time.Millisecond))
	}
	return nil
}

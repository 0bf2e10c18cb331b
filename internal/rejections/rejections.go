// Package rejections logs entries that can't be used, each once: their writer may repeat them, and readers read them
// again after a restart of the read.
package rejections

import (
	"sync"

	"github.com/hashicorp/go-hclog"
)

const (
	// maxEntries bounds the entries that are logged and remembered: enough to find their writer, at some 20 kB of memory.
	maxEntries = 200
	// maxText bounds what is logged of a key and of a reason, which may quote the entry.
	maxText = 300
)

// Log logs rejected entries. It is safe for concurrent use.
type Log struct {
	logger  hclog.Logger
	message string

	mu   sync.Mutex
	seen map[string]bool
}

// New returns a log whose lines have the given message.
func New(logger hclog.Logger, message string) *Log {
	return &Log{logger: logger, message: message, seen: map[string]bool{}}
}

// Reject logs that the entry of a key can't be used, unless that has been logged since the key was last accepted.
func (l *Log) Reject(key string, reason error) {
	key = shorten(key)
	l.mu.Lock()
	isKnown := l.seen[key]
	if !isKnown && len(l.seen) < maxEntries {
		l.seen[key] = true
	}
	mustLog := !isKnown && l.seen[key]
	l.mu.Unlock()
	if mustLog {
		l.logger.Error(l.message, "key", key, "reason", shorten(reason.Error()))
	}
}

// Accept records that the entry of a key can be used.
func (l *Log) Accept(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.seen, shorten(key))
}

func shorten(text string) string {
	if len(text) <= maxText {
		return text
	}
	return text[:maxText] + "..."
}

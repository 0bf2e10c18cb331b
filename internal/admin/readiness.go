package admin

import (
	"slices"
	"sync"
)

// Readiness collects the reasons why a process is not ready to serve. Each
// source (a duty or a package) has at most one reason. It is safe for concurrent
// use.
type Readiness struct {
	mu      sync.Mutex
	reasons map[string]string
}

// NewReadiness returns a Readiness without reasons, which means ready.
func NewReadiness() *Readiness {
	return &Readiness{reasons: map[string]string{}}
}

// SetNotReady sets the reason of source. It replaces an earlier reason.
func (r *Readiness) SetNotReady(source, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reasons[source] = reason
}

// SetReady removes the reason of source.
func (r *Readiness) SetReady(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.reasons, source)
}

// Reasons returns one "source: reason" line per source, sorted, or none if the
// process is ready.
func (r *Readiness) Reasons() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	lines := make([]string, 0, len(r.reasons))
	for source, reason := range r.reasons {
		lines = append(lines, source+": "+reason)
	}
	slices.Sort(lines)
	return lines
}

package admin

import (
	"slices"
	"sync"
)

// Readiness collects why a process is not ready to serve. Each source (a duty,
// a peer package) holds at most one reason. It is safe for concurrent use.
type Readiness struct {
	mu      sync.Mutex
	reasons map[string]string
}

// NewReadiness returns a Readiness without reasons: a process that reports
// none is ready.
func NewReadiness() *Readiness {
	return &Readiness{reasons: map[string]string{}}
}

// Unready gives source's reason, in place of its earlier one.
func (r *Readiness) Unready(source, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reasons[source] = reason
}

// Ready takes source's reason back.
func (r *Readiness) Ready(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.reasons, source)
}

// Reasons returns "source: reason" lines in the order of their sources; none
// means ready.
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

// Package routehistory remembers to which services the routes of a path have led.
//
// A job lies with the service of the route by which it was accepted. A configuration may replace that route by
// one of the same host and path prefix that leads to another service. Requests for the job then name the same
// path as before, and only this history tells where the job may lie.
package routehistory

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Path is where callers reach the jobs of a route. The same path and job ID always mean the same job.
type Path struct {
	Host, Prefix string
}

// PathOf returns the path of a route.
func PathOf(q *workload.Queue) Path { return Path{Host: q.Host, Prefix: q.PathPrefix} }

// Entry is the history of a path.
type Entry struct {
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Services are all services that the path has led to, each once.
	Services []string `json:"services"`
	// Current is the service that it led to last.
	Current string `json:"current"`
	// ChangedAtMS is when it last began to lead to another service, in Unix milliseconds; 0 if it never has.
	ChangedAtMS int64 `json:"changed_ms,omitempty"`
}

// Table holds the histories of paths.
type Table map[Path]Entry

// Observe adds the routes of a configuration that is in force at now. It returns the entries that have changed.
func (t Table) Observe(queues []workload.Queue, now time.Time) []Entry {
	var changed []Entry
	for i := range queues {
		p, service := PathOf(&queues[i]), queues[i].Service
		e, isKnown := t[p]
		if isKnown && e.Current == service {
			continue
		}
		if isKnown {
			e.ChangedAtMS = now.UnixMilli()
		}
		e.Host, e.Prefix, e.Current = p.Host, p.Prefix, service
		e.Services = withService(e.Services, service)
		t[p] = e
		changed = append(changed, e)
	}
	return changed
}

// Merge adds what another table knows. The entries of t state the current service.
func (t Table) Merge(other Table) {
	for p, theirs := range other {
		ours, isKnown := t[p]
		if !isKnown {
			t[p] = theirs
			continue
		}
		for _, s := range theirs.Services {
			ours.Services = withService(ours.Services, s)
		}
		ours.ChangedAtMS = max(ours.ChangedAtMS, theirs.ChangedAtMS)
		t[p] = ours
	}
}

// withService returns a list with a service. It leaves the list unchanged.
func withService(services []string, service string) []string {
	if slices.Contains(services, service) {
		return services
	}
	return append(slices.Clone(services), service)
}

// Encode returns the stored form of an entry. The key is a digest, since a path may be longer than a key.
func (e Entry) Encode() (key string, value []byte, err error) {
	value, err = json.Marshal(e)
	return strconv.FormatUint(xxhash.Sum64String(e.Host+"\n"+e.Prefix), 16), value, errors.Wrap(err, "encode the history of a path")
}

// Decode decodes a stored entry.
func Decode(value []byte) (Entry, error) {
	var e Entry
	if err := json.Unmarshal(value, &e); err != nil {
		return Entry{}, errors.Wrap(err, "history of a path")
	}
	if len(e.Services) == 0 {
		return Entry{}, errors.New("history of a path: no service")
	}
	return e, nil
}

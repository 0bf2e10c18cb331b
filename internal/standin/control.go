package standin

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/platform"
)

// KeyCounters counts the requests with one key at the backend servers. Seen counts
// requests whose header arrived, Runs those that began to run, and Refused those
// answered as not run because no slot was free.
type KeyCounters struct {
	Seen    int `json:"seen"`
	Runs    int `json:"runs"`
	Refused int `json:"refused"`
}

func (k KeyCounters) plus(other KeyCounters) KeyCounters {
	return KeyCounters{Seen: k.Seen + other.Seen, Runs: k.Runs + other.Runs, Refused: k.Refused + other.Refused}
}

// VMCounters counts the requests at one backend server, without health checks.
type VMCounters struct {
	Seen               int `json:"seen"`
	Runs               int `json:"runs"`
	Refused            int `json:"refused"`
	RefusedConnections int `json:"refused_connections"`
	// CutInFlight counts requests cut by a reboot or by closing the Server,
	// CutAbandoned runs cut so whose client had disconnected before, and
	// LostInFlight requests cut by the loss of the VM.
	CutInFlight  int `json:"cut_in_flight"`
	CutAbandoned int `json:"cut_abandoned"`
	LostInFlight int `json:"lost_in_flight"`
	// MaxBusySlots is the maximum number of slots in use at a time.
	MaxBusySlots int `json:"max_busy"`
	// LastSeen is the time at which the last request arrived.
	LastSeen time.Time `json:"last_seen"`
}

// BackendCounters is the sum over all backend servers.
type BackendCounters struct {
	Seen               int                   `json:"seen"`
	Runs               int                   `json:"runs"`
	Refused            int                   `json:"refused"`
	RefusedConnections int                   `json:"refused_connections"`
	CutInFlight        int                   `json:"cut_in_flight"`
	CutAbandoned       int                   `json:"cut_abandoned"`
	LostInFlight       int                   `json:"lost_in_flight"`
	MaxRunsPerKey      int                   `json:"max_runs_per_key"`
	VMs                map[string]VMCounters `json:"vms"`
	// Keys holds the requested keys and all keys that ran more than once.
	Keys map[string]KeyCounters `json:"keys"`
}

// FaultRequest is the body of POST /control/faults.
type FaultRequest struct {
	Order    []Fault  `json:"order,omitempty"`
	Clear    []string `json:"clear,omitempty"`
	ClearAll bool     `json:"clear_all,omitempty"`
}

// FaultReply lists the IDs of the ordered faults and all active faults.
type FaultReply struct {
	IDs    []string `json:"ids"`
	Active []Fault  `json:"active"`
}

// AdvertiseRequest is the body of POST /control/advertise: addresses by VM.
type AdvertiseRequest struct {
	Addresses map[string]string `json:"addresses"`
}

// Query parameters of the counters.
const (
	// QueryKey requests the counters of one key. It may be repeated.
	QueryKey = "key"
	// QueryAllKeys requests the counters of all keys if it is "1".
	QueryAllKeys = "all_keys"
)

func (s *Server) controlRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /control/{$}", s.controlPage)
	mux.HandleFunc("GET /control/faults", handle(func(*http.Request, *struct{}) (any, error) {
		return FaultReply{IDs: []string{}, Active: s.platform.Faults()}, nil
	}))
	mux.HandleFunc("POST /control/faults", handle(s.orderFaults))
	mux.HandleFunc("GET /control/counters", handle(func(r *http.Request, _ *struct{}) (any, error) {
		query := r.URL.Query()
		return s.Counters(query.Get(QueryAllKeys) == "1", query[QueryKey]...), nil
	}))
	mux.HandleFunc("POST /control/advertise", handle(func(_ *http.Request, in *AdvertiseRequest) (any, error) {
		if err := s.platform.Advertise(in.Addresses); err != nil {
			return nil, errors.Wrap(platform.ErrRejected, err.Error())
		}
		return struct{}{}, nil
	}))
	mux.HandleFunc("POST /control/reset", func(w http.ResponseWriter, _ *http.Request) {
		s.Reset()
		w.WriteHeader(http.StatusNoContent)
	})
}

func (s *Server) controlPage(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	fmt.Fprintln(w, "yuccadrift-standin")
	fmt.Fprintln(w, "GET  /control/faults    active faults")
	fmt.Fprintln(w, `POST /control/faults    {"order":[{"kind":"log_refuse","for_ms":5000}],"clear":["1"],"clear_all":false}`)
	fmt.Fprintln(w, "GET  /control/counters  counters (?key=K, ?all_keys=1)")
	fmt.Fprintln(w, `POST /control/advertise {"addresses":{"vm-01":"127.0.0.1:4001"}}  what the list shows`)
	fmt.Fprintln(w, "POST /control/reset     clear faults and counters")
	fmt.Fprintln(w, "\nFaults take target, skip, count, for_ms and where named delay_ms and factors:")
	for _, help := range FaultHelp {
		fmt.Fprintf(w, "  %-18s %s\n", help.Kind, help.Text)
	}
	fmt.Fprintln(w, "\nActive:")
	for _, f := range s.platform.Faults() {
		fmt.Fprintf(w, "  %s", mustJSON(f))
	}
}

func (s *Server) orderFaults(_ *http.Request, in *FaultRequest) (any, error) {
	if in.ClearAll {
		s.platform.ClearAllFaults()
	}
	s.platform.ClearFaults(in.Clear...)
	ids, err := s.platform.ActivateFaults(in.Order...)
	if err != nil {
		return nil, errors.Wrap(platform.ErrRejected, err.Error())
	}
	return FaultReply{IDs: ids, Active: s.platform.Faults()}, nil
}

// Counters returns the counters of the platform and of the backend servers, with
// the requested keys.
func (s *Server) Counters(allKeys bool, keys ...string) Counters {
	c := s.platform.Counters()
	c.Backends = BackendCounters{VMs: map[string]VMCounters{}, Keys: map[string]KeyCounters{}}
	all := map[string]KeyCounters{}
	for _, b := range s.allBackends() {
		b.addTo(&c.Backends, all)
	}
	for key, counts := range all {
		c.Backends.MaxRunsPerKey = max(c.Backends.MaxRunsPerKey, counts.Runs)
		if allKeys || counts.Runs > 1 {
			c.Backends.Keys[key] = counts
		}
	}
	for _, key := range keys {
		c.Backends.Keys[key] = all[key]
	}
	return c
}

func (b *backend) addTo(sum *BackendCounters, keys map[string]KeyCounters) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum.VMs[b.vm] = b.counts
	sum.Seen += b.counts.Seen
	sum.Runs += b.counts.Runs
	sum.Refused += b.counts.Refused
	sum.RefusedConnections += b.counts.RefusedConnections
	sum.CutInFlight += b.counts.CutInFlight
	sum.CutAbandoned += b.counts.CutAbandoned
	sum.LostInFlight += b.counts.LostInFlight
	for key, counts := range b.keys {
		keys[key] = keys[key].plus(counts)
	}
}

// Reset clears all faults and counters. It keeps the state of the platform.
func (s *Server) Reset() {
	s.platform.ClearAllFaults()
	s.platform.ResetCounters()
	for _, b := range s.allBackends() {
		b.mu.Lock()
		b.counts = VMCounters{}
		b.keys = map[string]KeyCounters{}
		b.mu.Unlock()
	}
}

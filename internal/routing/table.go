// Package routing decides which service and route a request path names, which
// backend server takes the request, and whether it is admitted and may be retried.
// It does no I/O and reads no clock.
package routing

import (
	"cmp"
	"slices"
	"strings"

	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Backend is one backend server of a service.
type Backend struct {
	VM      string
	Zone    string
	Address string // IP:port
	// Unhealthy is true if the VM was found unhealthy. It gets requests only if no other
	// backend server is available, so that a wrong finding about a whole pool does not
	// stop the service.
	Unhealthy bool
}

// Service holds the routes, limits and backends of one service. It must not be
// modified.
type Service struct {
	Name   string
	Limits document.Limits
	// Routes are sorted with the longest prefix first.
	Routes []document.Route
	// Backends are sorted by VM.
	Backends []Backend
}

// Table is the routing state derived from the log at one offset. It must not be
// modified once built.
type Table struct {
	Offset   uint64
	Services map[string]*Service
	// Members is the number of entry processes that share the backend servers, at least
	// 1.
	Members int
}

// Build derives the table from the state. The table shares no data with the state
// that a later record modifies.
func Build(state *ledger.State) *Table {
	t := &Table{
		Offset:   state.Offset,
		Services: make(map[string]*Service, len(state.Services)),
		Members:  max(1, len(state.Members)),
	}
	for name, svc := range state.Services {
		t.Services[name] = &Service{
			Name:     name,
			Limits:   svc.Doc.Limits,
			Routes:   sortRoutes(svc.Doc.Routes),
			Backends: backends(state.PoolVMs(name)),
		}
	}
	return t
}

func sortRoutes(routes []document.Route) []document.Route {
	out := slices.Clone(routes)
	slices.SortStableFunc(out, func(a, b document.Route) int {
		return cmp.Compare(len(b.Prefix), len(a.Prefix))
	})
	return out
}

func backends(vms map[string]*ledger.VM) []Backend {
	out := make([]Backend, 0, len(vms))
	for _, vm := range vms {
		if vm.Phase != record.PhaseServing {
			continue
		}
		out = append(out, Backend{VM: vm.ID, Zone: vm.Zone, Address: vm.Address, Unhealthy: vm.Down})
	}
	slices.SortFunc(out, func(a, b Backend) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// Split splits a request path into the service name, which is the first element, and
// the rest, which starts with a slash.
func Split(path string) (service, rest string) {
	path = strings.TrimPrefix(path, "/")
	service, rest, _ = strings.Cut(path, "/")
	return service, "/" + rest
}

// Route returns the route with the longest prefix that covers path. A prefix covers
// whole path elements only: /book covers /book and /book/7, but not /booking.
func (s *Service) Route(path string) (document.Route, bool) {
	for _, r := range s.Routes {
		if covers(r.Prefix, path) {
			return r, true
		}
	}
	return document.Route{}, false
}

func covers(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	if !ok {
		return false
	}
	return rest == "" || strings.HasSuffix(prefix, "/") || strings.HasPrefix(rest, "/")
}

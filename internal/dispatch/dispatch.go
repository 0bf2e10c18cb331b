// Package dispatch sends a caller's request to a backend server. It waits for a
// current routing table, claims a not-repeatable request, picks a backend server
// and retries where that is safe and within the retry budget.
package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/backend"
	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/outcome"
	"github.com/yuccadrift/yuccadrift/internal/routing"
)

// Backends sends attempts to backend servers. It is implemented by
// backend.Client.
type Backends interface {
	Do(ctx context.Context, req *backend.Request) backend.Answer
	Update(shares map[string]int)
}

// Claims decides whether a not-repeatable request may run now.
type Claims interface {
	// Begin requests the exclusive right to run a call until ctx's deadline. If
	// the Permit is nil, the Denial holds the answer.
	Begin(ctx context.Context, call *Call) (Permit, Denial)
}

// Permit is the right to run one not-repeatable request.
type Permit interface {
	// End reports the request's outcome; it must be called exactly once. answer
	// is returned to a later retry; it is nil if the answer was not buffered.
	End(o outcome.Outcome, answer *backend.Answer)
}

// Denial is the answer to a not-repeatable request that may not run now.
type Denial struct {
	Outcome    outcome.Outcome
	Reason     outcome.Reason
	RetryAfter time.Duration // 0 if a retry can't succeed
	// Answer is the earlier attempt's answer; its Status is 0 if none is stored.
	Answer backend.Answer
}

// Observer records metrics of retries and shed requests.
type Observer interface {
	Retried(service string, failure backend.Failure)
	Shed(service string, class document.Class, refusal routing.Refusal)
}

// Config configures a Dispatcher.
type Config struct {
	Zone string
	// MaxConnections is the maximum number of connections from this process to
	// one backend server, even if a service document allows more.
	MaxConnections int
	Backends       Backends
	Claims         Claims
	Observer       Observer
	// Rand is used to pick backend servers. It must be safe for concurrent use.
	Rand    routing.Rand
	Sharing routing.Sharing
}

// Dispatcher sends callers' requests to backend servers. It is safe for
// concurrent use.
type Dispatcher struct {
	cfg   Config
	pause *routing.Pause
	view  atomic.Pointer[view]

	mu       sync.Mutex // guards services and updates of view
	services map[string]*service
}

// view is the table in use and the state of its services. fresh is when the log
// read that the table is built from was sent, or a later such time.
type view struct {
	table    *routing.Table
	services map[string]*service
	fresh    time.Time
}

type service struct {
	pool    *routing.Pool
	queue   queue
	retries *routing.Budget
	// refusals bounds tries after a backend server refused because it had no free
	// slot. Each is cheap, but under overload they would multiply.
	refusals *routing.Budget
}

// New returns a Dispatcher with an empty table.
func New(cfg Config) *Dispatcher {
	d := &Dispatcher{cfg: cfg, pause: routing.NewPause(time.Now()), services: map[string]*service{}}
	d.view.Store(&view{table: &routing.Table{Members: 1}})
	return d
}

// Update replaces the table in use. fresh is when the log read that the table is
// built from was sent.
func (d *Dispatcher) Update(table *routing.Table, fresh time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if table.Offset < d.Table().Offset {
		return // two duties build tables, and the older table may arrive last
	}
	if cur := d.view.Load().fresh; fresh.Before(cur) {
		fresh = cur // the new table contains everything in the current one
	}
	shares := map[string]int{}
	services := make(map[string]*service, len(table.Services))
	for name, svc := range table.Services {
		s := d.services[name]
		if s == nil {
			s = newService(d.cfg)
			d.services[name] = s
		}
		s.pool.Update(svc, table.Members)
		services[name] = s
		for _, b := range svc.Backends {
			shares[b.Address] = min(d.cfg.MaxConnections, routing.ConnectionShare(svc.Limits, table.Members))
		}
	}
	for name, s := range d.services {
		if _, ok := services[name]; !ok {
			s.pool.Update(&routing.Service{}, table.Members)
		}
	}
	d.cfg.Backends.Update(shares)
	d.view.Store(&view{table: table, services: services, fresh: fresh})
}

func newService(cfg Config) *service {
	return &service{pool: routing.NewPool(cfg.Zone, cfg.Sharing), retries: routing.NewBudget(), refusals: routing.NewBudget()}
}

// Table returns the table in use.
func (d *Dispatcher) Table() *routing.Table { return d.view.Load().table }

// InFlights returns the number of attempts of this process in flight by VM, and
// the log offset of the table in use when they were counted. No attempt starts
// at a VM that is not in this table.
func (d *Dispatcher) InFlights() (offset uint64, counts map[string]int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts = map[string]int{}
	for _, s := range d.services {
		s.pool.AddInFlight(counts)
	}
	return d.Table().Offset, counts
}

// SetHealthy records the result of health checks of the VM's backend server.
func (d *Dispatcher) SetHealthy(name, vm string, healthy bool) {
	if s := d.view.Load().services[name]; s != nil {
		s.pool.SetHealthy(vm, healthy)
	}
}

// Status is the state of a service in this entry process.
type Status struct {
	Service string
	Pool    routing.Status
	Waiting int // quick requests waiting for a slot
}

// Status returns the services of the table in use.
func (d *Dispatcher) Status() []Status {
	services := d.view.Load().services
	out := make([]Status, 0, len(services))
	for name, s := range services {
		out = append(out, Status{Service: name, Pool: s.pool.Status(), Waiting: s.queue.length()})
	}
	return out
}

// Beat records that the process is running and reports whether new attempts are
// held until the log has been read again. It must be called every
// routing.PauseBeat.
func (d *Dispatcher) Beat(now time.Time) bool {
	d.pause.Beat(now)
	return d.holdsNewAttempts()
}

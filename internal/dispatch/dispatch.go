// Package dispatch carries one caller's request to a backend server: it waits
// for a current table, claims a not-repeatable request, picks a backend server,
// and tries again where that is safe and the retry budget bears it.
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

// Backends sends one attempt. It is implemented by backend.Client.
type Backends interface {
	Do(ctx context.Context, req *backend.Request) backend.Answer
	Update(shares map[string]int)
}

// Claims decides whether a not-repeatable request may run now.
type Claims interface {
	// Begin asks for the only right to run a call, up to ctx's deadline. A nil
	// Permit comes with the Denial to answer.
	Begin(ctx context.Context, call *Call) (Permit, Denial)
}

// Permit is the right to run one not-repeatable request.
type Permit interface {
	// End tells what became of the request; it is called exactly once. answer is
	// what a retry may be answered with, nil when it is not held.
	End(o outcome.Outcome, answer *backend.Answer)
}

// Denial is the answer to a not-repeatable request that may not run now.
type Denial struct {
	Outcome    outcome.Outcome
	Reason     outcome.Reason
	RetryAfter time.Duration // 0: not worth trying again
	// Answer is the earlier attempt's, when it is kept; else its Status is 0.
	Answer backend.Answer
}

// Observer takes what the metrics show.
type Observer interface {
	Retried(service string, why backend.Failure)
	Shed(service string, class document.Class, why routing.Refusal)
}

// Config is what a Dispatcher needs.
type Config struct {
	Zone string
	// MaxConnections caps this process's connections to one backend server,
	// whatever the documents say.
	MaxConnections int
	Backends       Backends
	Claims         Claims
	Observer       Observer
	// Rand chooses among backend servers. It must be safe for concurrent use.
	Rand    routing.Rand
	Sharing routing.Sharing
}

// Dispatcher sends callers' requests on. It is safe for concurrent use.
type Dispatcher struct {
	cfg   Config
	pause *routing.Pause
	view  atomic.Pointer[view]

	mu       sync.Mutex // guards the building of a view
	services map[string]*service
}

// view is the table in use with what belongs to its services.
type view struct {
	table    *routing.Table
	services map[string]*service
	fresh    time.Time
}

type service struct {
	pool    *routing.Pool
	queue   queue
	retries *routing.Budget
	// refusals bounds tries after a backend server refused for want of a slot.
	// They are cheap, but under overload they would multiply.
	refusals *routing.Budget
}

// New returns a Dispatcher with an empty table.
func New(cfg Config) *Dispatcher {
	d := &Dispatcher{cfg: cfg, pause: routing.NewPause(time.Now()), services: map[string]*service{}}
	d.view.Store(&view{table: &routing.Table{Members: 1}})
	return d
}

// Update puts a table in use. fresh is when the read of the log that the table
// rests on was sent.
func (d *Dispatcher) Update(table *routing.Table, fresh time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if table.Offset < d.Table().Offset {
		return // two duties build tables; the older one may come last
	}
	if cur := d.view.Load().fresh; fresh.Before(cur) {
		fresh = cur // what the table in use holds, this one holds as well
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

// InFlights returns how many attempts of this process are under way, by VM, and
// the offset of the log that the table in use rested on before they were
// counted: no attempt starts at a VM that this table has not.
func (d *Dispatcher) InFlights() (offset uint64, counts map[string]int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts = map[string]int{}
	for _, s := range d.services {
		s.pool.AddInFlight(counts)
	}
	return d.Table().Offset, counts
}

// SetHealthy takes the finding of a health check.
func (d *Dispatcher) SetHealthy(name, vm string, healthy bool) {
	if s := d.view.Load().services[name]; s != nil {
		s.pool.SetHealthy(vm, healthy)
	}
}

// Status is a service as one entry process sees it.
type Status struct {
	Service string
	Pool    routing.Status
	Waiting int // quick requests that wait for a slot
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

// Beat notes that the process runs and reports whether new work is held until
// a newer table is put in use. It is to be called every routing.PauseBeat.
func (d *Dispatcher) Beat(now time.Time) bool {
	d.pause.Beat(now)
	return d.holdsNewAttempts()
}

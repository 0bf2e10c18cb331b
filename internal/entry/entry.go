// Package entry assembles the request path of one entry VM.
package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/yuccadrift/yuccadrift/internal/backend"
	"github.com/yuccadrift/yuccadrift/internal/caller"
	"github.com/yuccadrift/yuccadrift/internal/dispatch"
	"github.com/yuccadrift/yuccadrift/internal/requestmetrics"
	"github.com/yuccadrift/yuccadrift/internal/routing"
	"github.com/yuccadrift/yuccadrift/internal/settings"
	"github.com/yuccadrift/yuccadrift/internal/supervise"
)

// Limits that are not configurable.
const (
	// maxBackendHeader is the maximum size in bytes of a backend server's answer header.
	maxBackendHeader = 256 << 10
	// bodyMemory limits the request bodies that are buffered, in bytes: half of the memory
	// that a node may use.
	bodyMemory = 64 << 20
	// callersStopTimeout is never reached: the callers' server applies its own limits.
	callersStopTimeout = 48 * time.Hour
)

// Config configures an Entry.
type Config struct {
	Settings  settings.Entry
	Callers   caller.Listener
	Follower  Follower
	Claims    dispatch.Claims
	CheckKey  func(service, key string) error
	Registry  prometheus.Registerer
	Readiness Readiness
	Logger    hclog.Logger
	// Stop is closed when the process must stop.
	Stop <-chan struct{}
	// OnDrained is called when the last caller was served, before the process ends. It
	// leaves the membership of entry VMs.
	OnDrained func(context.Context)
	// Sharing is how entry processes share the slots of backend servers.
	Sharing routing.Sharing
}

// Readiness controls whether the balancer sends callers to this process.
type Readiness interface {
	SetNotReady(source, reason string)
	SetReady(source string)
}

// Entry is the request path of one process.
type Entry struct {
	cfg        Config
	backends   *backend.Client
	dispatcher *dispatch.Dispatcher
	server     *caller.Server
}

// sharedRand uses the global random generator, which is safe for concurrent use; a
// seeded source is not.
type sharedRand struct{}

func (sharedRand) Uint64() uint64 { return rand.Uint64() }

// New returns an Entry that does not serve yet.
func New(cfg Config) *Entry {
	s := cfg.Settings
	metrics := requestmetrics.New(cfg.Registry)
	backends := backend.NewClient(backend.Config{
		ConnectTimeout:       s.Backends.ConnectTimeout.Duration,
		IdleTimeout:          s.Backends.IdleTimeout.Duration,
		MaxBufferedBodyBytes: int(s.Callers.MaxHeldReplyBytes),
		MaxHeaderBytes:       maxBackendHeader,
	})
	dispatcher := dispatch.New(dispatch.Config{
		Zone:           s.Node.Zone,
		MaxConnections: s.Backends.MaxConnections,
		Backends:       backends,
		Claims:         cfg.Claims,
		Observer:       metrics,
		Rand:           rand.New(sharedRand{}),
		Sharing:        cfg.Sharing,
	})
	cfg.Registry.MustRegister(requestmetrics.Services(dispatcher.Status))
	e := &Entry{cfg: cfg, backends: backends, dispatcher: dispatcher}
	e.server = e.newCallerServer(metrics)
	return e
}

func (e *Entry) newCallerServer(metrics *requestmetrics.Metrics) *caller.Server {
	s := e.cfg.Settings.Callers
	handler := caller.NewHandler(caller.HandlerConfig{
		Dispatcher:   e.dispatcher,
		Observer:     metrics,
		CheckKey:     e.cfg.CheckKey,
		MaxHeader:    s.MaxHeaderBytes,
		MaxBody:      s.MaxBodyBytes,
		BodyMemory:   max(bodyMemory, s.MaxBodyBytes),
		StallTimeout: s.StallTimeout.Duration,
		Logger:       e.cfg.Logger.Named("callers"),
	})
	return caller.NewServer(caller.ServerConfig{
		Listener:       e.cfg.Callers,
		Handler:        handler,
		Readiness:      e.cfg.Readiness,
		Logger:         e.cfg.Logger.Named("callers"),
		MaxConnections: s.MaxConnections,
		MaxHeader:      s.MaxHeaderBytes,
		HeaderTimeout:  s.HeaderTimeout.Duration,
		IdleTimeout:    s.IdleTimeout.Duration,
		Stop:           e.cfg.Stop,
		Notice:         e.cfg.Settings.Drain.Notice.Duration,
		Drain:          e.drainLimit,
	})
}

// InFlights returns the number of attempts of this process in flight by VM, and the
// log offset of the table in use when they were counted.
func (e *Entry) InFlights() (offset uint64, counts map[string]int) { return e.dispatcher.InFlights() }

// Offset returns the log offset of the table in use.
func (e *Entry) Offset() uint64 { return e.dispatcher.Table().Offset }

// drainLimit returns how long requests in flight may take when the process stops: the
// maximum of the setting and the limits in all service documents.
func (e *Entry) drainLimit() time.Duration {
	limit := e.cfg.Settings.Drain.Limit.Duration
	for _, svc := range e.dispatcher.Table().Services {
		limit = max(limit, svc.Limits.Drain)
	}
	return limit
}

// Duties returns the duties of the request path.
func (e *Entry) Duties() []supervise.Duty {
	return []supervise.Duty{
		{Name: "table", Serve: e.followTable},
		{Name: "beat", Serve: e.runPauseBeat},
		{Name: "watch", Serve: e.checkHealth},
		{Name: "connections", Serve: e.trimConnections},
		{Name: "callers", Serve: e.serveCallers, StopTimeout: callersStopTimeout},
	}
}

func (e *Entry) serveCallers(ctx context.Context) error {
	err := e.server.Serve(ctx)
	if errors.Is(err, supervise.ErrStop) && e.cfg.OnDrained != nil {
		e.cfg.OnDrained(ctx)
	}
	return err
}

// trimConnections periodically closes idle connections to backend servers.
func (e *Entry) trimConnections(ctx context.Context) error {
	ticker := time.NewTicker(e.cfg.Settings.Backends.IdleTimeout.Duration / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			e.backends.Trim(now)
		}
	}
}

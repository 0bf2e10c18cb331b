// Package entry puts the request path of one entry VM together.
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

// Bounds that are no settings.
const (
	// maxBackendHeader is the largest header of an answer in bytes.
	maxBackendHeader = 256 << 10
	// bodyMemory bounds the request bodies held at once, in bytes: half of what
	// a node may use.
	bodyMemory = 64 << 20
	// callersStopTimeout is a bound on the callers' server that is never reached: it
	// keeps its own limits.
	callersStopTimeout = 48 * time.Hour
)

// Config is what an Entry needs.
type Config struct {
	Settings  settings.Entry
	Callers   caller.Listener
	Follower  Follower
	Claims    dispatch.Claims
	CheckKey  func(service, key string) error
	Registry  prometheus.Registerer
	Readiness Readiness
	Logger    hclog.Logger
	// Stop is closed when the process is told to end.
	Stop <-chan struct{}
	// Drained is called once no caller is served any more, before the process
	// ends: to leave the entry VMs in order.
	Drained func(context.Context)
	// Sharing is how slots of backend servers are shared.
	Sharing routing.Sharing
}

// Readiness tells the balancer whether to send callers here.
type Readiness interface {
	Unready(source, reason string)
	Ready(source string)
}

// Entry is the request path of one process.
type Entry struct {
	cfg        Config
	backends   *backend.Client
	dispatcher *dispatch.Dispatcher
	server     *caller.Server
}

// sharedRand draws from the runtime's own generator, which any goroutine may
// use; a seeded source may not be shared.
type sharedRand struct{}

func (sharedRand) Uint64() uint64 { return rand.Uint64() }

// New returns an Entry that is not serving yet.
func New(cfg Config) *Entry {
	s := cfg.Settings
	metrics := requestmetrics.New(cfg.Registry)
	backends := backend.NewClient(backend.Config{
		ConnectTimeout: s.Backends.ConnectTimeout.Duration,
		IdleTimeout:    s.Backends.IdleTimeout.Duration,
		HoldMax:        int(s.Callers.MaxHeldReplyBytes),
		HeaderMax:      maxBackendHeader,
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

// InFlights returns how many requests of this process are under way, by VM, and
// the offset of the log that the process acted on when it counted.
func (e *Entry) InFlights() (offset uint64, counts map[string]int) { return e.dispatcher.InFlights() }

// Offset returns the offset of the log that the table in use rests on.
func (e *Entry) Offset() uint64 { return e.dispatcher.Table().Offset }

// drainLimit is how long requests in flight may take when the process stops:
// the longest that a document asks for, and at least the setting.
func (e *Entry) drainLimit() time.Duration {
	limit := e.cfg.Settings.Drain.Limit.Duration
	for _, svc := range e.dispatcher.Table().Services {
		limit = max(limit, svc.Limits.Drain)
	}
	return limit
}

// Duties returns what has to run.
func (e *Entry) Duties() []supervise.Duty {
	return []supervise.Duty{
		{Name: "table", Serve: e.followTable},
		{Name: "beat", Serve: e.runPauseBeat},
		{Name: "watch", Serve: e.checkHealth},
		{Name: "connections", Serve: e.trimConnections},
		{Name: "callers", Serve: e.serveCallers, StopWithin: callersStopTimeout},
	}
}

func (e *Entry) serveCallers(ctx context.Context) error {
	err := e.server.Serve(ctx)
	if errors.Is(err, supervise.ErrStop) && e.cfg.Drained != nil {
		e.cfg.Drained(ctx)
	}
	return err
}

// trimConnections closes connections to backend servers that were idle too long.
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

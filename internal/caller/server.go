package caller

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/net/netutil"

	"github.com/yuccadrift/yuccadrift/internal/supervise"
	"github.com/yuccadrift/yuccadrift/internal/wait"
)

// headerSlack is the header size in bytes that net/http accepts beyond MaxHeader. Up
// to it the handler rejects the request with an outcome and an error line; beyond it
// net/http answers 431 itself, also before anything was sent to a backend server.
const headerSlack = 32 << 10

// Listener is a net.Listener. Packages that don't import net use this name.
type Listener = net.Listener

// Readiness controls whether the balancer sends callers to this process.
type Readiness interface {
	SetNotReady(source, reason string)
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Listener       Listener
	Handler        *Handler
	Readiness      Readiness
	Logger         hclog.Logger
	MaxConnections int
	MaxHeader      int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	// Stop is closed when the process must stop.
	Stop <-chan struct{}
	// Notice is how long the balancer may still send callers here after
	// SetNotReady.
	Notice time.Duration
	// Drain returns how long requests in flight may take after Notice.
	Drain func() time.Duration
}

// Server is the HTTP server for callers.
type Server struct {
	cfg  ServerConfig
	http *http.Server
}

// NewServer returns a Server that owns cfg.Listener.
func NewServer(cfg ServerConfig) *Server {
	return &Server{cfg: cfg, http: &http.Server{
		Handler:           cfg.Handler,
		ReadHeaderTimeout: cfg.HeaderTimeout,
		IdleTimeout:       cfg.IdleTimeout,
		MaxHeaderBytes:    cfg.MaxHeader + headerSlack,
		ErrorLog:          cfg.Logger.StandardLogger(nil),
		// OPTIONS * names no service; the handler rejects it.
		DisableGeneralOptionsHandler: true,
	}}
}

// Serve serves callers until Stop is closed, then stops gracefully and returns
// supervise.ErrStop. It is a duty's Serve function.
func (s *Server) Serve(ctx context.Context) error {
	ended := make(chan error, 1)
	go func() { ended <- s.http.Serve(netutil.LimitListener(s.cfg.Listener, s.cfg.MaxConnections)) }()
	select {
	case err := <-ended:
		return supervise.Fatal(errors.Wrap(err, "callers' server"))
	case <-ctx.Done():
		_ = s.http.Close() // another duty failed for good
		<-ended
		return ctx.Err()
	case <-s.cfg.Stop:
		s.gracefulStop(ctx)
		<-ended
		return supervise.ErrStop
	}
}

// gracefulStop marks the process unready and still serves requests for Notice, while
// the balancer stops sending callers here. Each answer meanwhile closes its
// connection, so that few connections are idle at the shutdown: a request that
// arrives on an idle connection while it is closed would be lost.
func (s *Server) gracefulStop(ctx context.Context) {
	s.cfg.Readiness.SetNotReady("callers", "the process is stopping")
	s.cfg.Handler.DisableKeepAlive()
	s.cfg.Logger.Info("stopping: unready, still serving requests", "notice", s.cfg.Notice)
	wait.Sleep(ctx, s.cfg.Notice)
	limit := s.cfg.Drain()
	s.cfg.Logger.Info("stopping: finishing requests in flight", "in_flight", s.cfg.Handler.InFlight(), "limit", limit)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		s.cfg.Logger.Warn("stopping: requests were aborted at the limit", "in_flight", s.cfg.Handler.InFlight())
		_ = s.http.Close()
	}
}

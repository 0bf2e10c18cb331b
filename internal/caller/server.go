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

// headerSlack is what net/http itself takes beyond MaxHeader. Within it the
// handler refuses with an outcome and a line that helps; beyond it net/http
// answers 431 by itself, also before anything was sent on.
const headerSlack = 32 << 10

// Listener is a listener on its way through packages that open none.
type Listener = net.Listener

// Readiness tells the balancer whether to send callers here.
type Readiness interface {
	Unready(source, reason string)
}

// ServerConfig is what a Server needs.
type ServerConfig struct {
	Listener       Listener
	Handler        *Handler
	Readiness      Readiness
	Logger         hclog.Logger
	MaxConnections int
	MaxHeader      int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	// Stop is closed when the process is told to end.
	Stop <-chan struct{}
	// Notice is the time for which the balancer may still send callers here.
	Notice time.Duration
	// Drain returns how long requests in flight may take after Notice.
	Drain func() time.Duration
}

// Server takes callers' connections.
type Server struct {
	cfg  ServerConfig
	http *http.Server
}

// NewServer returns a Server on cfg.Listener, which it owns from then on.
func NewServer(cfg ServerConfig) *Server {
	return &Server{cfg: cfg, http: &http.Server{
		Handler:           cfg.Handler,
		ReadHeaderTimeout: cfg.HeaderTimeout,
		IdleTimeout:       cfg.IdleTimeout,
		MaxHeaderBytes:    cfg.MaxHeader + headerSlack,
		ErrorLog:          cfg.Logger.StandardLogger(nil),
		// OPTIONS * names no service; the handler says so.
		DisableGeneralOptionsHandler: true,
	}}
}

// Serve answers callers until Stop, then leaves without cutting a request, and
// returns supervise.ErrStop. It is a duty's Serve function.
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

// gracefulStop ends the service for callers: unready first, so that the balancer looks
// elsewhere, while requests are still taken. Each answer meanwhile closes its
// connection, so that hardly any connection is idle when the rest are closed: a
// request that arrives on an idle connection just as it is closed would be cut.
func (s *Server) gracefulStop(ctx context.Context) {
	s.cfg.Readiness.Unready("callers", "the process is stopping")
	s.cfg.Handler.Leave()
	s.cfg.Logger.Info("stopping: unready, still taking requests", "notice", s.cfg.Notice)
	wait.Sleep(ctx, s.cfg.Notice)
	limit := s.cfg.Drain()
	s.cfg.Logger.Info("stopping: finishing requests in flight", "in_flight", s.cfg.Handler.InFlight(), "limit", limit)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		s.cfg.Logger.Warn("stopping: requests were cut at the limit", "in_flight", s.cfg.Handler.InFlight())
		_ = s.http.Close()
	}
}

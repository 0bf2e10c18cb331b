package front

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/listen"
	"github.com/yuccadrift/yuccadrift/internal/wait"
	"github.com/yuccadrift/yuccadrift/platform"
)

// Timeouts and sizes of callers' connections.
const (
	headerTimeout  = 3 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
	// balancerDetectionTime is how long the balancer may take to detect that a node is no
	// longer ready: it probes each second and acts on the second failure.
	balancerDetectionTime = 2300 * time.Millisecond
	// shutdownTimeout is how long requests in progress may take after that.
	shutdownTimeout = 1500 * time.Millisecond
)

// Server serves callers, and the balancer's readiness probes.
type Server struct {
	callerListener net.Listener
	readyListener  net.Listener
	handler        http.Handler
	checkReady     func() error
	logger         hclog.Logger
	stopping       atomic.Bool
}

// NewServer returns a server. checkReady returns why the node should get no new connections,
// nil if it is ready.
func NewServer(callers, ready net.Listener, checkReady func() error, logger hclog.Logger) *Server {
	return &Server{callerListener: callers, readyListener: ready, checkReady: checkReady, logger: logger}
}

// SetHandler sets the handler of callers' requests. It must be called before Run.
func (s *Server) SetHandler(h http.Handler) { s.handler = h }

// IsStopping reports whether the node is stopping.
func (s *Server) IsStopping() bool { return s.stopping.Load() }

// Run serves until ctx ends. It then reports the node as not ready, serves on until the
// balancer has detected that, completes the requests in progress and returns.
func (s *Server) Run(ctx context.Context) error {
	callers := s.newHTTPServer(s.handler)
	ready := s.newHTTPServer(http.HandlerFunc(s.serveReadyz))
	serveErrors := make(chan error, 2)
	go func() { serveErrors <- callers.Serve(s.callerListener) }()
	go func() { serveErrors <- ready.Serve(s.readyListener) }()
	select {
	case err := <-serveErrors:
		return errors.Wrap(err, "serve callers")
	case <-ctx.Done():
	}
	s.stopping.Store(true)
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), balancerDetectionTime+shutdownTimeout)
	defer cancel()
	wait.Pause(shutdownCtx, balancerDetectionTime)
	err := callers.Shutdown(shutdownCtx)
	if err != nil {
		s.logger.Warn("requests in progress were cut off at the shutdown timeout", "error", err)
	}
	if err := ready.Close(); err != nil {
		s.logger.Debug("readiness listener can't be closed", "error", err)
	}
	return ctx.Err()
}

func (s *Server) newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       listen.WithClaim,
		ErrorLog:          s.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
}

func (s *Server) serveReadyz(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if s.IsStopping() || s.checkReady() != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

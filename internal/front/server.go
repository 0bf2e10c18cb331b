package front

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/wait"
	"github.com/yuccadrift/yuccadrift/platform"
)

// Times of callers' connections.
const (
	headerTimeout  = 3 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
	// balancerDetectionTime is how long the balancer may take to see that a node is not ready
	// any more: it asks each second and believes the second miss.
	balancerDetectionTime = 2300 * time.Millisecond
	// shutdownTimeout is how long calls in progress get after that.
	shutdownTimeout = 1500 * time.Millisecond
)

// Server serves callers, and the balancer's question for readiness.
type Server struct {
	callerListener net.Listener
	readyListener  net.Listener
	handler        http.Handler
	checkReady     func() error
	logger         hclog.Logger
	stopping       atomic.Bool
}

// NewServer returns a server. isReady tells why the node should get no new
// connections, nil if it should.
func NewServer(callers, ready net.Listener, checkReady func() error, logger hclog.Logger) *Server {
	return &Server{callerListener: callers, readyListener: ready, checkReady: checkReady, logger: logger}
}

// SetHandler sets what answers callers; it must be called before Run.
func (s *Server) SetHandler(h http.Handler) { s.handler = h }

// IsStopping tells whether the node is stopping.
func (s *Server) IsStopping() bool { return s.stopping.Load() }

// Run serves until ctx ends. Then the node is no longer ready, goes on until the
// balancer has seen that, lets calls in progress finish and returns.
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
		s.logger.Warn("calls in progress were cut at the end of the time to finish", "error", err)
	}
	if err := ready.Close(); err != nil {
		s.logger.Debug("readiness listener", "error", err)
	}
	return ctx.Err()
}

func (s *Server) newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
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

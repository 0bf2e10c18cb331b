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
	headerTimeout = 3 * time.Second
	idleTimeout   = 60 * time.Second
	maxHeader     = 16 << 10
	// noticed is how long the balancer may take to see that a node is not ready
	// any more: it asks each second and believes the second miss.
	noticed = 2300 * time.Millisecond
	// finish is how long calls in progress get after that.
	finish = 1500 * time.Millisecond
)

// Server serves callers, and the balancer's question for readiness.
type Server struct {
	callers net.Listener
	ready   net.Listener
	handler http.Handler
	isReady func() error
	logger  hclog.Logger
	leaving atomic.Bool
}

// NewServer returns a server. isReady tells why the node should get no new
// connections, nil if it should.
func NewServer(callers, ready net.Listener, isReady func() error, logger hclog.Logger) *Server {
	return &Server{callers: callers, ready: ready, isReady: isReady, logger: logger}
}

// SetHandler sets what answers callers; it must be called before Run.
func (s *Server) SetHandler(h http.Handler) { s.handler = h }

// Leaving tells whether the node is stopping.
func (s *Server) Leaving() bool { return s.leaving.Load() }

// Run serves until ctx ends. Then the node is no longer ready, goes on until the
// balancer has seen that, lets calls in progress finish and returns.
func (s *Server) Run(ctx context.Context) error {
	callers := s.server(s.handler)
	ready := s.server(http.HandlerFunc(s.readyz))
	ended := make(chan error, 2)
	go func() { ended <- callers.Serve(s.callers) }()
	go func() { ended <- ready.Serve(s.ready) }()
	select {
	case err := <-ended:
		return errors.Wrap(err, "serve callers")
	case <-ctx.Done():
	}
	s.leaving.Store(true)
	late, cancel := context.WithTimeout(context.WithoutCancel(ctx), noticed+finish)
	defer cancel()
	wait.Pause(late, noticed)
	err := callers.Shutdown(late)
	if err != nil {
		s.logger.Warn("calls in progress were cut at the end of the time to finish", "error", err)
	}
	if err := ready.Close(); err != nil {
		s.logger.Debug("readiness listener", "error", err)
	}
	return ctx.Err()
}

func (s *Server) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          s.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
}

func (s *Server) readyz(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if s.Leaving() || s.isReady() != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

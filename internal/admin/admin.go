// Package admin serves the admin endpoint of a daemon over HTTP: metrics,
// health, readiness and, if the settings enable them, profiles.
package admin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/yuccadrift/yuccadrift/internal/supervise"
)

// Limits of one admin connection. They keep a stuck scraper from holding
// connections. There is no write timeout, because a profile takes long.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = time.Minute
	maxHeaderBytes = 16 << 10
	// shutdownTimeout bounds the answers in progress when the daemon stops.
	shutdownTimeout = 2 * time.Second
)

// Config configures a Server.
type Config struct {
	Listener  net.Listener
	Registry  *prometheus.Registry
	Readiness *Readiness
	Profiles  bool // serve /debug/pprof/
	Logger    hclog.Logger
}

// Server is the admin endpoint of one daemon.
type Server struct {
	config Config
	mux    *http.ServeMux
}

// New returns a Server on config.Listener. The Server owns the listener.
func New(config Config) *Server {
	s := &Server{config: config, mux: http.NewServeMux()}
	s.mux.Handle("GET /metrics", promhttp.HandlerFor(config.Registry, promhttp.HandlerOpts{}))
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeText(w, http.StatusOK, "ok")
	})
	s.mux.HandleFunc("GET /readyz", s.readyz)
	if config.Profiles {
		s.handleProfiles()
	}
	return s
}

// Handle registers a handler for pattern. It must be called before Serve.
func (s *Server) Handle(pattern string, handler http.Handler) {
	s.mux.Handle(pattern, handler)
}

// Serve answers requests until ctx ends. It is the Serve function of a
// supervise.Duty. Errors are fatal, since the listener cannot be reused after a
// failure.
func (s *Server) Serve(ctx context.Context) error {
	server := &http.Server{
		Handler:           s.mux,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          s.config.Logger.StandardLogger(nil),
	}
	serveResult := make(chan error, 1)
	go func() { serveResult <- server.Serve(s.config.Listener) }()
	select {
	case err := <-serveResult:
		return supervise.Fatal(errors.Wrap(err, "admin server"))
	case <-ctx.Done():
		shutdown(server)
		<-serveResult
		return ctx.Err()
	}
}

// shutdown waits up to shutdownTimeout for answers in progress and then closes
// their connections.
func shutdown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close() // the listener is already closed, only connections remain
	}
}

// readyz answers 200 if the process is ready, otherwise 503 with one reason per
// line.
func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	reasons := s.config.Readiness.Reasons()
	if len(reasons) == 0 {
		writeText(w, http.StatusOK, "ready")
		return
	}
	writeText(w, http.StatusServiceUnavailable, strings.Join(reasons, "\n"))
}

func (s *Server) handleProfiles() {
	s.mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	s.mux.HandleFunc("GET /debug/pprof/cmdline", pprof.Cmdline)
	s.mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	s.mux.HandleFunc("GET /debug/pprof/symbol", pprof.Symbol)
	s.mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = fmt.Fprintln(w, text) // the client may have disconnected
}

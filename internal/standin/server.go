package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/supervise"
)

// reconcilePeriod is the interval at which the Server checks which VMs are up.
const reconcilePeriod = 10 * time.Millisecond

// ServerOptions configures a Server.
type ServerOptions struct {
	// Listen is the "IP:port" of the platform's API and the control page;
	// "127.0.0.1:0" if empty. Backend servers listen on the same IP.
	Listen string
	// Work is the run time of requests without HeaderWorkMS.
	Work time.Duration
	// Logger is optional; nil disables logging.
	Logger hclog.Logger
}

// Server serves a Platform over HTTP and runs the backend servers of its VMs.
type Server struct {
	platform *Platform
	work     time.Duration
	logger   hclog.Logger
	ip       string
	listener net.Listener

	mu       sync.Mutex
	backends map[string]*backend
}

// NewServer returns a Server. It binds all addresses, so that they are known before
// Serve runs.
func NewServer(p *Platform, opts ServerOptions) (*Server, error) {
	if opts.Listen == "" {
		opts.Listen = "127.0.0.1:0"
	}
	if opts.Logger == nil {
		opts.Logger = hclog.NewNullLogger()
	}
	listener, err := listenOn(opts.Listen)
	if err != nil {
		return nil, err
	}
	ip, _, err := net.SplitHostPort(listener.Addr().String())
	if err != nil {
		return nil, err
	}
	s := &Server{
		platform: p,
		work:     opts.Work,
		logger:   opts.Logger,
		ip:       ip,
		listener: listener,
		backends: map[string]*backend{},
	}
	p.clearAddresses()
	if err := s.reconcile(); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// Addr returns the "IP:port" of the platform's API and the control page.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// BackendAddresses returns the addresses of the backend servers in the order of
// their VMs' creation.
func (s *Server) BackendAddresses() []string {
	var addresses []string
	for _, m := range s.platform.vmInfos() {
		addresses = append(addresses, m.address)
	}
	return addresses
}

// Serve serves until ctx ends and then closes all listeners. A failure to serve the
// API is fatal, since Serve can't be restarted: its listener is closed.
func (s *Server) Serve(ctx context.Context) error {
	server := &http.Server{Handler: s.routes(), ReadHeaderTimeout: readHeaderWait}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(s.listener) }()
	defer s.close()
	defer server.Close()
	ticker := time.NewTicker(reconcilePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-failed:
			return supervise.Fatal(errors.Wrap(err, "serve the platform's interface"))
		case <-s.platform.fleet.changed:
		case <-ticker.C:
		}
		if err := s.reconcile(); err != nil {
			s.logger.Warn("backend server can't listen, retrying", "error", err)
		}
	}
}

func (s *Server) close() {
	s.listener.Close()
	for _, b := range s.allBackends() {
		b.close(false)
	}
}

func (s *Server) allBackends() []*backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*backend, 0, len(s.backends))
	for _, b := range s.backends {
		list = append(list, b)
	}
	return list
}

// reconcile opens and closes backend servers to match their VMs. It returns the last
// error. A backend server whose address is still in use is retried in the next
// call.
func (s *Server) reconcile() error {
	var lastErr error
	for _, m := range s.platform.vmInfos() {
		if err := s.reconcileVM(m); err != nil {
			lastErr = err
		}
	}
	return lastErr
}

func (s *Server) reconcileVM(m vmInfo) error {
	b := s.backendOf(m)
	boots, open := b.isOpen()
	if open && (!m.up || boots != m.boots) {
		b.close(m.lost)
		open = false
		s.logger.Info("VM went down", "vm", m.id)
	}
	if open || !m.up {
		return nil
	}
	address := m.address
	if address == "" {
		address = net.JoinHostPort(s.ip, strconv.Itoa(m.port))
	}
	listener, err := listenOn(address)
	if err != nil {
		return err
	}
	b.open(listener, m.connections, m.boots)
	s.platform.setAddress(m.id, listener.Addr().String())
	s.logger.Info("VM is up", "vm", m.id, "zone", m.zone, "address", listener.Addr().String(), "boots", m.boots)
	return nil
}

func (s *Server) backendOf(m vmInfo) *backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.backends[m.id]
	if !ok {
		b = &backend{vm: m.id, platform: s.platform, slots: m.slots, work: s.work, keys: map[string]KeyCounters{}}
		s.backends[m.id] = b
	}
	return b
}

// mustJSON encodes a message of this package. It panics if the message can't be
// encoded, which is a bug.
func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return append(data, '\n')
}

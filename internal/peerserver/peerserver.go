// Package peerserver runs the gRPC server on a daemon's peer address. The peer
// packages register their services on it.
package peerserver

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"github.com/yuccadrift/yuccadrift/internal/supervise"
)

// Limits of peer connections.
const (
	// maxStreams is the maximum number of concurrent calls of one peer.
	maxStreams = 1024
	// A peer that vanished without closing its connection is detected after
	// keepaliveInterval and keepaliveTimeout, so that calls to it don't hang.
	keepaliveInterval = 2 * time.Second
	keepaliveTimeout  = 2 * time.Second
	// minPingInterval is the minimum interval at which peers may ping.
	minPingInterval = time.Second
	// flowControlWindow is the flow control window of streams and connections in bytes.
	// It is fixed because grpc-go's bandwidth estimation answers each message of a few
	// bytes with a ping and a window update, which doubles the bytes of leases and
	// greetings.
	flowControlWindow = 1 << 20
	// stopTimeout is the time that calls in progress get to finish when the daemon stops.
	stopTimeout = 2 * time.Second
)

// DialOptions returns the dial options that clients of a Server must use.
func DialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithStaticStreamWindowSize(flowControlWindow),
		grpc.WithStaticConnWindowSize(flowControlWindow),
	}
}

// Server is the gRPC server of one daemon.
type Server struct {
	listener net.Listener
	grpc     *grpc.Server
}

// New returns a Server that owns listener.
func New(listener net.Listener) *Server {
	return &Server{
		listener: listener,
		grpc: grpc.NewServer(
			grpc.MaxConcurrentStreams(maxStreams),
			grpc.StaticStreamWindowSize(flowControlWindow),
			grpc.StaticConnWindowSize(flowControlWindow),
			grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
			grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: true}),
		),
	}
}

// Registrar returns the registrar for the peer services. Services must be registered
// before Serve.
func (s *Server) Registrar() grpc.ServiceRegistrar { return s.grpc }

// Serve serves calls until ctx ends. It is a duty's Serve function. The listener can't
// be reused after a failure, so errors are fatal.
func (s *Server) Serve(ctx context.Context) error {
	ended := make(chan error, 1)
	go func() { ended <- s.grpc.Serve(s.listener) }()
	select {
	case err := <-ended:
		return supervise.Fatal(errors.Wrap(err, "peer server"))
	case <-ctx.Done():
		s.stop()
		<-ended
		return ctx.Err()
	}
}

// stop waits up to stopTimeout for calls in progress and then cancels them.
func (s *Server) stop() {
	cut := time.AfterFunc(stopTimeout, s.grpc.Stop)
	defer cut.Stop()
	s.grpc.GracefulStop()
}

package node

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/yuccadrift/yuccadrift/internal/membudget"
	"github.com/yuccadrift/yuccadrift/platform"
)

// Shares of the process's memory and descriptors that clients may take. The rest is for the node's own state, its
// calls to the store, workers and other nodes, and memory that the collector has not freed yet.
const (
	// callerMemoryShare and peerMemoryShare are a quarter and an eighth of the memory.
	callerMemoryShare = 4
	peerMemoryShare   = 8
	// defaultMemoryMB is the memory of the process if the settings don't state it.
	defaultMemoryMB = 1024
	// connBytes is the memory of an HTTP connection with its receive buffer, peerConnBytes that of another node.
	connBytes     = 40 << 10
	peerConnBytes = 48 << 10
	// callerConnectionShare is the part of callers' memory, and of the descriptors, that their connections may
	// take. The rest of the memory is for their requests.
	callerConnectionShare = 2
	// peerConnectionShare of the descriptors is for the connections of other nodes.
	peerConnectionShare = 4
	// probeConnections are those of the readiness and the metrics listener each.
	probeConnections = 16
	minConnections   = 16
)

// clientGroups are the connections of the node's listeners.
type clientGroups struct {
	budget                             *membudget.Budget
	callers, readiness, metrics, peers *membudget.Group
}

// memoryOf returns the memory of the process in megabytes.
func memoryOf(s platform.Settings) int {
	if s.MemoryMB <= 0 {
		return defaultMemoryMB
	}
	return s.MemoryMB
}

// newClientGroups divides the memory and descriptors of a process.
func newClientGroups(s platform.Settings) clientGroups {
	megabytes := memoryOf(s)
	callers := membudget.Limits{Bytes: megabytes << 20 / callerMemoryShare, ConnBytes: connBytes}
	callers.Connections = callers.Bytes / callerConnectionShare / connBytes
	peers := membudget.Limits{Bytes: megabytes << 20 / peerMemoryShare, ConnBytes: peerConnBytes}
	peers.Connections = peers.Bytes / peerConnBytes
	if s.Descriptors > 0 {
		callers.Connections = min(callers.Connections, s.Descriptors/callerConnectionShare)
		peers.Connections = min(peers.Connections, s.Descriptors/peerConnectionShare)
	}
	callers.Connections, peers.Connections = max(minConnections, callers.Connections), max(minConnections, peers.Connections)
	probes := membudget.Limits{Bytes: probeConnections * connBytes, Connections: probeConnections, ConnBytes: connBytes}
	b := membudget.New()
	return clientGroups{budget: b, callers: b.NewGroup(callers), readiness: b.NewGroup(probes), metrics: b.NewGroup(probes), peers: b.NewGroup(peers)}
}

// clientLogInterval is the time between two lines on clients that were closed or refused.
const clientLogInterval = 5 * time.Second

// watchClients logs that clients were closed or refused.
func (n *Node) watchClients(ctx context.Context) error {
	ticker := time.NewTicker(clientLogInterval)
	defer ticker.Stop()
	last := n.clients.Usage()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		u := n.clients.Usage()
		if u.Closed > last.Closed || u.Refused > last.Refused {
			n.logger.Warn("clients were closed or refused for want of memory or descriptors", "closed", u.Closed-last.Closed, "refused", u.Refused-last.Refused, "reserved_kb", u.Reserved>>10, "limit_kb", u.Limit>>10)
		}
		last = u
	}
}

// registerClientMetrics registers the metrics of a budget.
func registerClientMetrics(r prometheus.Registerer, b *membudget.Budget) {
	gauge := func(name, help string, value func(membudget.Usage) int) {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return float64(value(b.Usage())) }))
	}
	counter := func(name, help string, value func(membudget.Usage) int) {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 { return float64(value(b.Usage())) }))
	}
	gauge("yuccadrift_client_memory_bytes", "Memory that is reserved for the connections and requests of clients.", func(u membudget.Usage) int { return u.Reserved })
	gauge("yuccadrift_client_memory_limit_bytes", "Memory that clients may take.", func(u membudget.Usage) int { return u.Limit })
	counter("yuccadrift_client_connections_closed_total", "Connections without progress that were closed for others.", func(u membudget.Usage) int { return u.Closed })
	counter("yuccadrift_client_refused_total", "Connections and requests that were refused for want of memory or descriptors.", func(u membudget.Usage) int { return u.Refused })
}

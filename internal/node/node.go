// Package node assembles the process that runs on each entry VM of the users'
// platform.
package node

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/yuccadrift/yuccadrift/internal/admin"
	"github.com/yuccadrift/yuccadrift/internal/fleetowner"
	"github.com/yuccadrift/yuccadrift/internal/front"
	"github.com/yuccadrift/yuccadrift/internal/hedge"
	"github.com/yuccadrift/yuccadrift/internal/intake"
	"github.com/yuccadrift/yuccadrift/internal/joblog"
	"github.com/yuccadrift/yuccadrift/internal/listen"
	"github.com/yuccadrift/yuccadrift/internal/logging"
	"github.com/yuccadrift/yuccadrift/internal/nodepeer"
	"github.com/yuccadrift/yuccadrift/internal/owner"
	"github.com/yuccadrift/yuccadrift/internal/ownership"
	"github.com/yuccadrift/yuccadrift/internal/published"
	"github.com/yuccadrift/yuccadrift/internal/registry"
	"github.com/yuccadrift/yuccadrift/internal/settings"
	"github.com/yuccadrift/yuccadrift/internal/supervise"
	"github.com/yuccadrift/yuccadrift/internal/suspend"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

const binary = "yuccadrift-node"

// lease is how long a run lives without renewal: longer than the detection of a
// lost owner and the takeover together, which take about 2.2 s, and else as short
// as it can be, as the tasks of a lost worker wait for it.
const lease = 3500 * time.Millisecond

// Node is the process.
type Node struct {
	settings  platform.Settings
	logger    hclog.Logger
	store     *platform.Store
	contact   *contact
	sleep     *suspend.Meter
	published *published.Follower
	registry  *registry.Follower
	manager   *ownership.Manager
	owners    *owners
	machines  *platform.Machines
	intake    *intake.Router
	deps      owner.Deps
	front     *front.Server
	admin     *admin.Server
	peers     listen.Listener
	// frontServes ends when callers are no longer served.
	frontServes context.Context
	frontEnded  context.CancelFunc
}

// Ports of the process, counted from the first one that is free for it.
const (
	metricsPort = 0
	peersPort   = 1
)

// peerAddress is an address on one of the ports that are free for the process.
func peerAddress(s platform.Settings, port int) string {
	return fmt.Sprintf("%s:%d", s.IP, s.PeerPorts[0]+port)
}

// Run runs a node by the settings file at path until ctx ends.
func Run(ctx context.Context, path string, out io.Writer) error {
	began := time.Now()
	hangups := catchHangups()
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	boundMemory(s.MemoryMB)
	async := logging.NewAsync(out)
	defer async.Close()
	logger := logging.New(binary, settings.Node{ID: s.Node, Zone: s.Zone}, settings.Log{Level: "info", Format: settings.LogJSON}, async)
	n, err := build(ctx, s, logger, async)
	if err != nil {
		return err
	}
	logger.Info("started", "took", time.Since(began).String(), "callers", s.Caller, "store", s.Store.Address, "partitions", s.Store.Partitions)
	context.AfterFunc(ctx, func() { logger.Info("told to stop, callers that wait get their answers") })
	err = supervise.Run(ctx, binary, logger, n.duties(path, hangups)...)
	logger.Info("stopped", "dropped_lines", async.Dropped(), "error", fmt.Sprint(err))
	return err
}

func build(ctx context.Context, s platform.Settings, logger hclog.Logger, async *logging.Async) (_ *Node, err error) {
	n := &Node{settings: s, logger: logger}
	n.frontServes, n.frontEnded = context.WithCancel(context.WithoutCancel(ctx))
	registryOfMetrics := prometheus.NewRegistry()
	registryOfMetrics.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "yuccadrift_log_lines_dropped_total",
		Help: "Log lines that were dropped because nobody read them fast enough.",
	}, func() float64 { return float64(async.Dropped()) }))
	if n.sleep, err = suspend.NewMeter(); err != nil {
		return nil, err
	}
	n.contact = &contact{logger: logger.Named("store"), good: time.Now()}
	hedger := hedge.New()
	n.store = platform.NewStore(s.Store, func(c platform.StoreCall) {
		n.contact.called(c)
		if c.Answered {
			hedger.Heard(c.Began, c.Waited)
		}
	})
	n.published = published.New(n.store, logger.Named("published"))
	n.registry = registry.New(n.store, logger.Named("registry"))
	n.machines = platform.NewMachines(s.Machines)
	n.deps = owner.Deps{
		Store:      n.store,
		Hedger:     hedger,
		Workers:    platform.NewWorkers(),
		Adviser:    platform.NewAdviser(s.Advice),
		Fleet:      n.machines,
		Published:  n.published,
		Registry:   n.registry,
		Logger:     logger.Named("owner"),
		Metrics:    owner.NewMetrics(registryOfMetrics),
		Bounds:     s.Bounds,
		Partitions: s.Store.Partitions,
		Lease:      min(lease, s.Bounds.MaxLease),
	}
	n.joinOthers(hedger)
	return n, n.listen(ctx, registryOfMetrics)
}

// joinOthers makes what shares the work among the nodes.
func (n *Node) joinOthers(hedger *hedge.Hedger) {
	s, logger := n.settings, n.logger
	self := peerAddress(s, peersPort)
	n.owners = &owners{partitions: s.Store.Partitions, self: self, clients: nodepeer.NewClients(), local: map[int]*owner.Owner{}, reports: map[int]owner.Report{}}
	n.manager = ownership.New(n.store, ownership.Config{
		Node:         s.Node,
		Address:      self,
		MilliCores:   s.MilliCores,
		MinTTL:       s.Store.MinMemberTTL,
		Topics:       []string{joblog.Topic, joblog.FleetTopic},
		Partitions:   s.Store.Partitions,
		HasWork:      n.inUse,
		UniqueID:     func() string { return ulid.Make().String() },
		MemberClient: members{n.owners.clients},
		SuspendedFor: n.suspended,
		Logger:       logger.Named("ownership"),
	}, n.own)
	n.owners.manager = n.manager
	local := localStore{acceptor: joblog.NewAcceptor(n.store, hedger, n.stored), contact: n.contact, hedger: hedger}
	n.intake = intake.New(local, storePeers{n.owners}, logger.Named("intake"))
	n.deps.Confirm = n.manager.RequestJoin
	n.deps.Confirmed = func(partition int) time.Time {
		return n.manager.ConfirmingJoinSentAt(platform.Partition{Topic: joblog.Topic, Part: partition})
	}
	n.deps.AuthorityUntil = func(partition int) time.Time {
		return n.manager.AuthorityUntil(platform.Partition{Topic: joblog.Topic, Part: partition})
	}
	n.deps.Overlap = n.manager.TTL()
	n.deps.Address = self
	n.deps.Release = n.owners.releaseBy
	n.deps.OwnedUntil = func(partition int) time.Time {
		return n.manager.OwnedUntil(platform.Partition{Topic: joblog.Topic, Part: partition})
	}
}

// listen binds the process's addresses.
func (n *Node) listen(ctx context.Context, metrics *prometheus.Registry) error {
	s := n.settings
	callers, err := listen.TCPText(ctx, "address for callers", s.Caller)
	if err != nil {
		return err
	}
	ready, err := listen.TCPText(ctx, "address for readiness", s.Ready)
	if err != nil {
		return err
	}
	n.peers, err = listen.TCPText(ctx, "address for other nodes", n.owners.self)
	if err != nil {
		return err
	}
	page, err := listen.TCPText(ctx, "address for metrics", peerAddress(s, metricsPort))
	if err != nil {
		return err
	}
	n.front = front.NewServer(callers, ready, n.ready, n.logger.Named("front"))
	n.front.SetHandler(&front.Handler{
		Config:  n.published.Config,
		Jobs:    n,
		Owners:  n.owners,
		Logger:  n.logger.Named("front"),
		Metrics: front.NewMetrics(metrics),
		Leaving: n.front.Leaving,
	})
	n.admin = admin.New(admin.Config{Listener: page, Registry: metrics, Readiness: admin.NewReadiness(), Profiles: true, Logger: n.logger.Named("admin")})
	return nil
}

// ready tells why the node should get no new connections.
func (n *Node) ready() error {
	if n.published.Config() == nil {
		return errors.New("no configuration was read yet")
	}
	return n.contact.check()
}

// own runs what the group gave to this node.
func (n *Node) own(ctx context.Context, p platform.Partition, epoch int64) error {
	if p.Topic != joblog.Topic {
		return n.ownFleet(ctx, p.Part, epoch)
	}
	if !n.awaitUse(ctx, p) {
		return ctx.Err()
	}
	defer n.registry.Need()()
	own := owner.New(n.deps, p.Part, epoch)
	n.owners.set(p.Part, own)
	defer n.owners.unset(p.Part, own)
	err := own.Run(ctx)
	if report, ok := own.Report(); ok {
		n.owners.keep(p.Part, report)
	}
	return err
}

// fleetPartition is the one partition of its topic that stands for the fleet.
const fleetPartition = 0

func (n *Node) ownFleet(ctx context.Context, partition int, epoch int64) error {
	if partition != fleetPartition {
		<-ctx.Done()
		return ctx.Err()
	}
	return fleetowner.New(fleetowner.Deps{
		Node:      n.settings.Node,
		Store:     n.store,
		Hedger:    n.deps.Hedger,
		Machines:  n.machines,
		Services:  n.owners,
		Published: n.published,
		Bounds:    n.settings.Bounds,
		OwnedUntil: func() time.Time {
			return n.manager.OwnedUntil(platform.Partition{Topic: joblog.FleetTopic, Part: partition})
		},
		Logger: n.logger.Named("fleet"),
	}, partition, epoch).Run(ctx)
}

// useCheck is the pause between looks whether a partition is in use.
const useCheck = 100 * time.Millisecond

// inUse tells whether a partition has work: that of the fleet, or a service's jobs.
func (n *Node) inUse(p platform.Partition) bool {
	if p.Topic != joblog.Topic {
		return p.Part == fleetPartition
	}
	c := n.published.Config()
	return c != nil && slices.ContainsFunc(c.Services, func(s workload.Service) bool {
		return n.owners.partitionOf(s.Name) == p.Part
	})
}

// awaitUse waits until a partition is in use.
func (n *Node) awaitUse(ctx context.Context, p platform.Partition) bool {
	for ctx.Err() == nil {
		if n.inUse(p) {
			return true
		}
		select {
		case <-ctx.Done():
		case <-time.After(useCheck):
		}
	}
	return false
}

// duties are the process's goroutines.
func (n *Node) duties(path string, hangups <-chan os.Signal) []supervise.Duty {
	return []supervise.Duty{
		{Name: "front", Serve: n.serveFront, StopWithin: n.settings.Bounds.Grace},
		{Name: "published", Serve: n.published.Run},
		{Name: "registry", Serve: n.registry.Run},
		{Name: "ownership", Serve: n.manager.Run},
		{Name: "peers", Serve: n.servePeers, StopWithin: n.settings.Bounds.Grace},
		{Name: "admin", Serve: n.admin.Serve},
		{Name: "reload", Serve: func(ctx context.Context) error { return n.reload(ctx, path, hangups) }},
	}
}

func (n *Node) serveFront(ctx context.Context) error {
	defer n.frontEnded()
	return n.front.Run(ctx)
}

// servePeers answers other nodes until the last caller here has its answer: what
// others store through this node would else have an open outcome, and all of them
// would turn to the store at once.
func (n *Node) servePeers(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	defer context.AfterFunc(n.frontServes, stop)()
	err := nodepeer.Serve(serving, n.peers, peerHandler{n.owners, n.intake})
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// catchHangups takes SIGHUP over for the whole life of the process. One that came
// while nobody took it, as while the process stops, would end it at once, and with
// it all answers that callers still wait for.
func catchHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// reload checks the settings at each SIGHUP. What a process is and where it
// listens can't change while it runs.
func (n *Node) reload(ctx context.Context, path string, hangups <-chan os.Signal) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hangups:
			if _, err := platform.LoadSettings(path); err != nil {
				n.logger.Error("settings can't be read, the last good ones stay", "error", err)
				continue
			}
			n.logger.Info("settings were read again, they take effect at the next start")
		}
	}
}

// Package node assembles the process that runs on each entry VM. Its parts are the front (the
// HTTP server for callers), the server for other nodes, the membership and the owners of the
// partitions that the membership group has assigned to the node, and the followers of the
// store that the owners and the front read.
package node

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/yuccadrift/yuccadrift/internal/admin"
	"github.com/yuccadrift/yuccadrift/internal/assignments"
	"github.com/yuccadrift/yuccadrift/internal/fleetowner"
	"github.com/yuccadrift/yuccadrift/internal/front"
	"github.com/yuccadrift/yuccadrift/internal/hedge"
	"github.com/yuccadrift/yuccadrift/internal/intake"
	"github.com/yuccadrift/yuccadrift/internal/joblog"
	"github.com/yuccadrift/yuccadrift/internal/listen"
	"github.com/yuccadrift/yuccadrift/internal/logging"
	"github.com/yuccadrift/yuccadrift/internal/membudget"
	"github.com/yuccadrift/yuccadrift/internal/nodepeer"
	"github.com/yuccadrift/yuccadrift/internal/owner"
	"github.com/yuccadrift/yuccadrift/internal/ownership"
	"github.com/yuccadrift/yuccadrift/internal/peerbook"
	"github.com/yuccadrift/yuccadrift/internal/published"
	"github.com/yuccadrift/yuccadrift/internal/registry"
	"github.com/yuccadrift/yuccadrift/internal/relay"
	"github.com/yuccadrift/yuccadrift/internal/routehistory"
	"github.com/yuccadrift/yuccadrift/internal/settings"
	"github.com/yuccadrift/yuccadrift/internal/supervise"
	"github.com/yuccadrift/yuccadrift/internal/suspend"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

const binary = "yuccadrift-node"

// runLease is how long a run lives without a renewal of its lease: longer than the detection
// of a lost owner and the takeover together, about 2.2 s. It is otherwise as short as
// possible, since the tasks of a lost worker can't restart before the lease expires.
const runLease = 3500 * time.Millisecond

// Node holds the components of the process.
type Node struct {
	settings     platform.Settings
	logger       hclog.Logger
	store        *platform.Store
	storeHealth  *storeHealth
	suspendMeter *suspend.Meter
	slowdown     prometheus.Gauge
	published    *published.Follower
	assignments  *assignments.Follower
	routes       *routehistory.Follower
	relay        *relay.Follower
	registry     *registry.Follower
	manager      *ownership.Manager
	owners       *ownerDirectory
	peers        configPeers
	vms          *platform.VMClient
	intake       *intake.Router
	ownerDeps    owner.Deps
	fleetMetrics *fleetowner.Metrics
	storeCalls   *prometheus.CounterVec
	front        *front.Server
	admin        *admin.Server
	peerListener listen.Listener
	clients      *membudget.Budget
	// frontCtx ends once the front, the HTTP server for callers, has stopped.
	frontCtx       context.Context
	cancelFrontCtx context.CancelFunc
}

// Ports of the process for metrics and for other nodes, as offsets from its first peer port.
const (
	metricsPortOffset = 0
	peerPortOffset    = 1
)

// addressAt returns the address of the port at an offset from the first peer port.
func addressAt(s platform.Settings, offset int) string {
	return fmt.Sprintf("%s:%d", s.IP, s.PeerPorts[0]+offset)
}

// Run runs a node with the settings file at path until ctx ends.
func Run(ctx context.Context, path string, out io.Writer) error {
	began := time.Now()
	hangups := notifyHangups()
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	configureGC(s.MemoryMB)
	async := logging.NewAsync(out)
	defer async.Close()
	logger := logging.New(binary, settings.Node{ID: s.Node, Zone: s.Zone}, settings.Log{Level: "info", Format: settings.LogJSON}, async)
	n, err := build(ctx, s, logger, async)
	if err != nil {
		return err
	}
	logger.Info("started", "took", time.Since(began).String(), "callers", s.CallerAddress, "store", s.Store.Address, "partitions", s.Store.Partitions)
	context.AfterFunc(ctx, func() { logger.Info("shutting down, requests in progress are completed") })
	err = supervise.Run(ctx, binary, logger, n.duties(path, hangups)...)
	logger.Info("stopped", "dropped_lines", async.Dropped(), "error", fmt.Sprint(err))
	return err
}

func build(ctx context.Context, s platform.Settings, logger hclog.Logger, async *logging.Async) (_ *Node, err error) {
	n := &Node{settings: s, logger: logger}
	n.frontCtx, n.cancelFrontCtx = context.WithCancel(context.WithoutCancel(ctx))
	metrics := prometheus.NewRegistry()
	n.registerMetrics(metrics, async)
	if n.suspendMeter, err = suspend.NewMeter(); err != nil {
		return nil, err
	}
	n.storeHealth = &storeHealth{logger: logger.Named("store"), lastAnswerAt: time.Now()}
	hedger := hedge.New()
	n.store = platform.NewStore(s.Store, func(c platform.StoreCall) {
		n.storeCalls.WithLabelValues(string(c.Kind), strconv.FormatBool(c.Served)).Inc()
		n.storeHealth.record(c)
		if c.Served {
			hedger.RecordAnswer(c.SentAt, c.IsLongPoll)
		}
	})
	n.relay = n.newRelayFollower(logger.Named("relay"))
	n.published = published.New(relayedChanges{n.store, n}, logger.Named("published"))
	n.assignments = assignments.New(n.store, n.published, s.Store.Partitions, logger.Named("assignments"))
	n.routes = routehistory.New(n.store, n.published, logger.Named("routes"))
	n.registry = registry.New(n.store, logger.Named("registry"))
	n.vms = platform.NewVMClient(s.VMServiceAddress)
	n.ownerDeps = owner.Deps{
		Store:         n.store,
		Hedger:        hedger,
		Workers:       platform.NewWorkers(),
		Adviser:       platform.NewAdviser(s.AdviceAddress),
		VMs:           n.vms,
		Published:     n.published,
		Registry:      n.registry,
		Logger:        logger.Named("owner"),
		Metrics:       owner.NewMetrics(metrics),
		Bounds:        s.Bounds,
		Assignments:   n.assignments,
		StoreLimits:   joblog.LimitsOf(s.Store),
		LeaseDuration: min(runLease, s.Bounds.MaxLeaseDuration),
	}
	n.initPeering(hedger)
	return n, n.openListeners(ctx, metrics)
}

// initPeering creates the components that assign partitions to nodes and call other nodes.
func (n *Node) initPeering(hedger *hedge.Hedger) {
	s, logger := n.settings, n.logger
	self := addressAt(s, peerPortOffset)
	n.owners = &ownerDirectory{assignments: n.assignments, selfAddress: self, clients: nodepeer.NewClients(self), logger: logger.Named("owners"), checkStore: n.storeHealth.check, published: n.published, local: map[int]*owner.Owner{}, reports: map[int]owner.HandoverReport{}}
	n.manager = ownership.New(n.store, ownership.Config{
		Node:         s.Node,
		Address:      self,
		MilliCores:   s.MilliCores,
		MinTTL:       s.Store.MinMemberTTL,
		Topics:       []string{joblog.JobsTopic, joblog.FleetTopic},
		Partitions:   s.Store.Partitions,
		HasWork:      n.hasWork,
		UniqueID:     func() string { return ulid.Make().String() },
		MemberClient: memberClient{n.owners.clients},
		SuspendedFor: n.suspendedFor,

		RelayedOwners: n.relay.Owners,
		Logger:        logger.Named("ownership"),
	}, n.runOwner)
	n.owners.manager = n.manager
	n.peers = configPeers{book: peerbook.New(self, rand.IntN), owners: n.owners}
	local := localStore{acceptor: joblog.NewAcceptor(n.store, hedger, joblog.LimitsOf(s.Store), n.onStored), health: n.storeHealth, hedger: hedger}
	n.intake = intake.New(local, storePeers{n.owners}, logger.Named("intake"))
	n.owners.intake = n.intake
	n.ownerDeps.RequestJoin = n.manager.RequestJoin
	n.ownerDeps.ConfirmingJoinSentAt = func(partition int) time.Time {
		return n.manager.ConfirmingJoinSentAt(platform.Partition{Topic: joblog.JobsTopic, Part: partition})
	}
	n.ownerDeps.AuthorityUntil = func(partition int) time.Time {
		return n.manager.AuthorityUntil(platform.Partition{Topic: joblog.JobsTopic, Part: partition})
	}
	n.ownerDeps.MaxOwnerOverlap = n.manager.TTL()
	n.ownerDeps.Address = self
	n.ownerDeps.ReleasePredecessor = n.owners.releasePredecessor
	n.ownerDeps.RequestLoan = n.owners.requestLoan
	n.ownerDeps.OwnedUntil = func(partition int) time.Time {
		return n.manager.OwnedUntil(platform.Partition{Topic: joblog.JobsTopic, Part: partition})
	}
}

// openListeners binds the process's addresses and creates the servers on them.
func (n *Node) openListeners(ctx context.Context, metrics *prometheus.Registry) error {
	s := n.settings
	callers, err := listen.TCPText(ctx, "address for callers", s.CallerAddress)
	if err != nil {
		return err
	}
	ready, err := listen.TCPText(ctx, "address for readiness", s.ReadyAddress)
	if err != nil {
		return err
	}
	n.peerListener, err = listen.TCPText(ctx, "address for other nodes", n.owners.selfAddress)
	if err != nil {
		return err
	}
	metricsListener, err := listen.TCPText(ctx, "address for metrics", addressAt(s, metricsPortOffset))
	if err != nil {
		return err
	}
	groups := newClientGroups(s)
	n.clients = groups.budget
	registerClientMetrics(metrics, n.clients)
	n.intake.LimitJobs(newJobRoom(memoryOf(s), n.clients, metrics).admit)
	n.peerListener = listen.BoundedReads(n.peerListener, groups.peers)
	metricsListener = listen.Bounded(metricsListener, groups.metrics)
	n.front = front.NewServer(listen.Bounded(callers, groups.callers), listen.Bounded(ready, groups.readiness), n.checkReady, n.logger.Named("front"))
	holder := front.NewHolder(n.intake, metrics, n.logger.Named("front"))
	n.storeHealth.notifyOfReturn(holder.StoreAnswers)
	n.front.SetHandler(&front.Handler{
		Config:       n.published.Config,
		Jobs:         n,
		Owners:       n.owners,
		Admission:    n.owners,
		Routes:       formerRoutes{n},
		StoreLimits:  joblog.LimitsOf(s.Store),
		Logger:       n.logger.Named("front"),
		Metrics:      front.NewMetrics(metrics),
		Holder:       holder,
		StoreSilence: n.storeHealth.sinceLastAnswer,
		StartedAt:    time.Now(),
		Random:       rand.Float64,
		IsStopping:   n.front.IsStopping,
	})
	n.admin = admin.New(admin.Config{Listener: metricsListener, Registry: metrics, Readiness: admin.NewReadiness(), Profiles: true, Logger: n.logger.Named("admin")})
	return nil
}

// checkReady returns why the node should get no new connections, nil if it is ready.
func (n *Node) checkReady() error {
	if n.published.Config() == nil {
		return errors.New("no configuration was read yet")
	}
	if n.assignments.Count() == 0 && len(n.published.Services()) > 0 {
		return errors.New("no service has a known partition yet")
	}
	return n.storeHealth.check()
}

// runOwner runs the owner of a partition that the membership group has assigned to this node.
// The owner of a partition of jobs starts once the partition has work.
func (n *Node) runOwner(ctx context.Context, p platform.Partition, epoch int64) error {
	if p.Topic != joblog.JobsTopic {
		return n.runFleetOwner(ctx, p.Part, epoch)
	}
	if !n.awaitWork(ctx, p) {
		return ctx.Err()
	}
	defer n.registry.AddUser()()
	localOwner := owner.New(n.ownerDeps, p.Part, epoch)
	n.owners.setLocalOwner(p.Part, localOwner)
	defer n.owners.removeLocalOwner(p.Part, localOwner)
	err := localOwner.Run(ctx)
	if report, ok := localOwner.HandoverReport(); ok {
		n.owners.keepReport(p.Part, report)
	}
	return err
}

// fleetPartition is the only partition of the fleet's topic that is used.
const fleetPartition = 0

func (n *Node) runFleetOwner(ctx context.Context, partition int, epoch int64) error {
	if partition != fleetPartition {
		<-ctx.Done()
		return ctx.Err()
	}
	return fleetowner.New(fleetowner.Deps{
		Node:      n.settings.Node,
		Store:     n.store,
		Hedger:    n.ownerDeps.Hedger,
		VMs:       n.vms,
		Services:  n.owners,
		Published: n.published,
		Bounds:    n.settings.Bounds,

		Assignments: n.assignments,
		Partitions:  n.settings.Store.Partitions,
		OwnedUntil: func() time.Time {
			return n.manager.OwnedUntil(platform.Partition{Topic: joblog.FleetTopic, Part: partition})
		},
		Logger:  n.logger.Named("fleet"),
		Metrics: n.fleetMetrics,
	}, partition, epoch).Run(ctx)
}

// workCheckInterval is the interval of checks whether a partition has work.
const workCheckInterval = 100 * time.Millisecond

// hasWork reports whether a partition is the fleet's or holds the jobs of a configured service.
func (n *Node) hasWork(p platform.Partition) bool {
	if p.Topic != joblog.JobsTopic {
		return p.Part == fleetPartition
	}
	c := n.published.Config()
	return c != nil && slices.ContainsFunc(c.Services, func(s workload.Service) bool {
		partition, ok := n.assignments.PartitionOf(s.Name)
		return ok && partition == p.Part
	})
}

// awaitWork waits until a partition has work. It returns false if ctx ends before.
func (n *Node) awaitWork(ctx context.Context, p platform.Partition) bool {
	for ctx.Err() == nil {
		if n.hasWork(p) {
			return true
		}
		select {
		case <-ctx.Done():
		case <-time.After(workCheckInterval):
		}
	}
	return false
}

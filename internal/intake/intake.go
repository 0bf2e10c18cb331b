// Package intake stores what callers submit and cancel, over the best available route:
// through the node that owns the partition, through this node's own connection to the
// store, or through any other node that reaches the store.
//
// The store processes the appends to a partition one at a time. If each node wrote for
// itself while the store is some 60 times as slow as usual, as many appends would queue up
// as there are nodes. The queue would take longer than callers wait, and almost no request
// would succeed, although a few large appends could carry the whole load. So each partition
// has one writer, the node that owns it: all other nodes relay their records to it, and it
// appends the waiting records as one batch. Any node may store any record, and storing a
// record twice is harmless, so a wrong view of who the owner is only costs time.
package intake

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/acceptance"
	"github.com/yuccadrift/yuccadrift/internal/heldqueue"
	"github.com/yuccadrift/yuccadrift/internal/membudget"
	"github.com/yuccadrift/yuccadrift/internal/wait"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// Timeouts and limits of relaying records through other nodes.
const (
	// relayPendingAfter is the time after which a node that stores for another responds that
	// the outcome is still pending: some 20 times what a relayed append usually takes, 4 to
	// 10 ms in the store plus the round trip. The response distinguishes a node that waits
	// for a slow store from a node that is frozen or partitioned.
	relayPendingAfter = 250 * time.Millisecond
	// slowRelayPendingAfter replaces relayPendingAfter while the store is slow: hundreds of
	// records wait then, and four requests a second for each are more than a node with 0.8 of
	// a core can answer.
	slowRelayPendingAfter = 900 * time.Millisecond
	// relayTransferMargin is added for the round trip, some 6 ms between zones, and for a
	// process that is busy for some 100 ms.
	relayTransferMargin = 200 * time.Millisecond
	// relayTimeShares is how many of the time to a pending response, and of the margin, fit into the time that
	// the caller has left: after both, half of it is left for other routes.
	relayTimeShares = 4
	// slowRelayTimeShares replaces relayTimeShares for the time to a pending response while the store is slow.
	slowRelayTimeShares = 2
	// peerBackoffTime is how long a node that did not answer is not asked again, so that not
	// every caller waits for it. A lost owner is replaced in some 2 s.
	peerBackoffTime = time.Second
	// retryInterval is the pause before all routes are tried again: a fiftieth of the time
	// that callers wait.
	retryInterval = 60 * time.Millisecond
	// maxRelaysInFlight bounds the concurrent relays. All callers of the largest deployment
	// submit 200 jobs a second at peak load: even a node that gets them all stays below the
	// bound unless a relay takes over a second.
	maxRelaysInFlight = 256
	// maxNotesInFlight bounds the concurrent messages on attempts.
	maxNotesInFlight = 16
	// maxRoutesPerAttempt bounds the other nodes that are tried in one attempt. The store may
	// reject a third of the nodes at the same time: one caller in a hundred then finds four
	// such nodes. They are backed off, and the next attempt tries others.
	maxRoutesPerAttempt = 4
)

// LocalStore is this node's own connection to the store.
type LocalStore interface {
	// Store stores a record; see joblog.Acceptor.
	Store(ctx context.Context, partition int, r workload.Record, pendingAfter <-chan time.Time) (status platform.StoreStatus, pending bool, err error)
	// CheckAvailable returns why calls of this node to the store would fail, nil if the store
	// is available.
	CheckAvailable() error
	// IsSlow reports whether the store is slow to answer.
	IsSlow() bool
}

// StoreRequest asks a node to store a record.
type StoreRequest struct {
	Partition    int
	Record       workload.Record
	PendingAfter time.Duration // after which the node responds that the outcome is pending
}

// StoreResponse is the response of another node to a StoreRequest.
type StoreResponse struct {
	Status      platform.StoreStatus
	Pending     bool // the record still waits for the store; the request may be repeated
	Unavailable bool // the node does not reach the store
	NoRoom      bool // the owner's node has no memory for the record's job
	Reason      string
}

// Peers are the other nodes.
type Peers interface {
	// Owner returns the address of the node that owns a partition, "" if none is known or
	// this node owns it.
	Owner(partition int) string
	// Self returns this node's address.
	Self() string
	// OtherOwners returns the addresses of the other nodes that own partitions.
	OtherOwners() []string
	// Store asks a node to store a record through its own connection to the store. If the
	// request was certainly not sent, Store returns StoreRefused and an error.
	Store(ctx context.Context, address string, q StoreRequest) (StoreResponse, error)
	// NoteAttempt tells a node that a job was handed in a time ago and not stored.
	NoteAttempt(ctx context.Context, address string, id workload.JobID, age time.Duration) error
	// ReportOpen tells the node of the partition's owner of attempts whose outcome is unknown.
	ReportOpen(ctx context.Context, partition int, requests []acceptance.Request) error
}

// Router stores records. It is safe for concurrent use.
type Router struct {
	local      LocalStore
	peers      Peers
	logger     hclog.Logger
	relaySlots chan struct{}
	attempts   *attemptLog
	noteSlots  chan struct{}
	admit      func(workload.Record) error // nil if all records are

	mu             sync.Mutex
	backedOffUntil map[string]time.Time // by address
	firstAttempts  *heldqueue.Attempts
}

// New returns a router.
func New(local LocalStore, peers Peers, logger hclog.Logger) *Router {
	return &Router{
		local:          local,
		peers:          peers,
		logger:         logger,
		relaySlots:     make(chan struct{}, maxRelaysInFlight),
		attempts:       newAttemptLog(peers, logger),
		noteSlots:      make(chan struct{}, maxNotesInFlight),
		backedOffUntil: map[string]time.Time{},
		firstAttempts:  heldqueue.NewAttempts(),
	}
}

// outcome is the result of storing a record over one or more routes.
type outcome struct {
	status platform.StoreStatus
	err    error
	// skipOtherRoutes is set if further routes would not help in this attempt: this node or
	// another that reaches the store has tried, also if it refused for a full queue. A further
	// node would call the same store and only add the record to its queue once more. A refusal
	// by another node doesn't set it while the store is fast; see relayOutcome.
	skipOtherRoutes bool
}

// Accept stores a record. It returns StoreRefused as soon as no route is left and the record
// certainly is not and will not be stored, and StoreInvalid only if no attempt can have stored it. If
// the outcome is unknown, Accept stores the
// record again until the outcome is known or ctx ends; it then returns StoreUnknown. A record that this
// node has stored or relayed lately is not stored again.
func (r *Router) Accept(ctx context.Context, partition int, record workload.Record) (status platform.StoreStatus, err error) {
	if r.attempts.begin(partition, record) {
		return platform.StoreOK, nil
	}
	defer func() { r.attempts.end(partition, record, status) }()
	record = r.withFirstAttempt(record)
	mayBeStored := false
	for {
		res := r.tryRoutes(ctx, partition, record)
		switch {
		case res.status == platform.StoreInvalid && mayBeStored:
			return platform.StoreUnknown, res.err // it would be as invalid again
		case res.status != platform.StoreRefused && res.status != platform.StoreUnknown:
			return res.status, res.err
		case res.status == platform.StoreRefused && !mayBeStored:
			r.rememberAttempt(partition, record)
			return res.status, res.err
		}
		if !mayBeStored {
			mayBeStored = true
			r.attempts.reportOpen(partition, record)
		}
		if wait.Sleep(ctx, retryInterval) != nil {
			return platform.StoreUnknown, errors.Wrap(res.err, "the outcome stayed open")
		}
	}
}

// tryRoutes tries the routes in order until an outcome has skipOtherRoutes set or ctx ends.
// A refusal or an invalid call after an unknown outcome counts as unknown.
func (r *Router) tryRoutes(ctx context.Context, partition int, record workload.Record) outcome {
	mayBeStored := false
	last := outcome{status: platform.StoreRefused, err: errors.New("no node has a way to the store")}
	for _, storeVia := range r.routes(partition) {
		last = storeVia(ctx, partition, record)
		mayBeStored = mayBeStored || last.status == platform.StoreUnknown
		if last.skipOtherRoutes || ctx.Err() != nil {
			break
		}
	}
	if mayBeStored && (last.status == platform.StoreRefused || last.status == platform.StoreInvalid) {
		last.status = platform.StoreUnknown
	}
	return last
}

// route is one way to store a record.
type route func(ctx context.Context, partition int, record workload.Record) outcome

// routes returns the routes to try, in order. The first is the owner's node, unless it is
// this node, unknown or backed off. The second is this node's own connection, the shortest
// route, if it is available and this node is the owner, no owner is known or the store is
// fast. Otherwise other nodes follow in an order per partition that all nodes agree on, so
// that one node becomes the writer in place of the owner.
func (r *Router) routes(partition int) []route {
	var routes []route
	owner := r.peers.Owner(partition)
	if owner != "" && r.isUsable(owner) {
		routes = append(routes, r.viaPeer(owner))
	}
	localUnavailable := r.local.CheckAvailable() != nil
	if owner == "" && !localUnavailable || !localUnavailable && !r.local.IsSlow() {
		return append(routes, r.storeLocally)
	}
	writers := r.peers.OtherOwners()
	if !localUnavailable {
		writers = append(writers, r.peers.Self())
	}
	sortByRendezvousHash(partition, writers)
	for _, address := range writers {
		switch {
		case address == r.peers.Self():
			return append(routes, r.storeLocally)
		case address != owner && r.isUsable(address):
			routes = append(routes, r.viaPeer(address))
		}
		if len(routes) >= maxRoutesPerAttempt {
			break
		}
	}
	return routes
}

// sortByRendezvousHash sorts addresses by their rank as writer of a partition.
func sortByRendezvousHash(partition int, addresses []string) {
	hash := func(address string) uint64 { return xxhash.Sum64String(strconv.Itoa(partition) + "/" + address) }
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(hash(a), hash(b)) })
}

func (r *Router) storeLocally(ctx context.Context, partition int, record workload.Record) outcome {
	if err := r.local.CheckAvailable(); err != nil {
		return outcome{status: platform.StoreRefused, err: err}
	}
	if err := r.checkRoom(partition, record); err != nil {
		return outcome{status: platform.StoreRefused, err: err, skipOtherRoutes: true}
	}
	r.reportInFlight(partition, record)
	status, _, err := r.local.Store(ctx, partition, record, nil)
	return outcome{status: status, err: err, skipOtherRoutes: true}
}

// viaPeer returns the route through another node. The request is repeated as long as that
// node responds that the outcome is pending: the node is alive and its store is slow.
func (r *Router) viaPeer(address string) route {
	return func(ctx context.Context, partition int, record workload.Record) outcome {
		select {
		case r.relaySlots <- struct{}{}:
			defer func() { <-r.relaySlots }()
		default:
			return outcome{status: platform.StoreRefused, err: errors.Errorf("%d records are on their way through other nodes", maxRelaysInFlight)}
		}
		wasPending := false
		for {
			response, err := r.relay(ctx, address, partition, record, wasPending)
			if err == nil && response.Pending {
				wasPending = true
				continue
			}
			return r.relayOutcome(response, err, wasPending)
		}
	}
}

// relayOutcome returns the outcome of a relay, given its last response. wasPending is set if
// the node has responded before that the outcome was pending: a refusal then doesn't apply
// to the earlier request, so the outcome is unknown. So does an invalid call. After a refusal while the store is fast
// other routes are tried, since the store may reject that node and serve this one.
func (r *Router) relayOutcome(response StoreResponse, err error, wasPending bool) outcome {
	res := outcome{status: response.Status, err: err, skipOtherRoutes: err == nil && !response.Unavailable}
	switch {
	case response.NoRoom:
		res.err = membudget.ErrNoRoom
	case err == nil && response.Status != platform.StoreOK:
		res.err = errors.New(response.Reason)
	}
	if err != nil && response.Status != platform.StoreRefused {
		res.status = platform.StoreUnknown
	}
	isRefused := res.status == platform.StoreRefused
	if isRefused {
		res.skipOtherRoutes = res.skipOtherRoutes && (r.local.IsSlow() || response.NoRoom)
	}
	if wasPending && (isRefused || res.status == platform.StoreInvalid) {
		res.status = platform.StoreUnknown
	}
	return res
}

// relay asks a node once to store a record. A caller with little time left doesn't wait for a node that has not
// answered it yet as long as others do, since other routes remain. A node that has answered that the outcome is
// pending is alive; it is asked as seldom as by others.
func (r *Router) relay(ctx context.Context, address string, partition int, record workload.Record, wasPending bool) (StoreResponse, error) {
	q := StoreRequest{Partition: partition, Record: record, PendingAfter: relayPendingAfter}
	margin, timeShares := relayTransferMargin, time.Duration(relayTimeShares)
	if r.local.IsSlow() {
		q.PendingAfter, timeShares = slowRelayPendingAfter, slowRelayTimeShares
	}
	fullTime := q.PendingAfter + margin
	if deadline, ok := ctx.Deadline(); ok && !wasPending {
		timeLeft := max(0, time.Until(deadline))
		q.PendingAfter, margin = min(q.PendingAfter, timeLeft/timeShares), min(margin, timeLeft/relayTimeShares)
	}
	relayCtx, cancel := context.WithTimeout(ctx, q.PendingAfter+margin)
	defer cancel()
	response, err := r.peers.Store(relayCtx, address, q)
	// A node that doesn't answer in a shorter time may just be busy.
	hadTime := q.PendingAfter+margin == fullTime || relayCtx.Err() == nil
	switch {
	case err != nil && ctx.Err() == nil && hadTime:
		r.backOff(address, err)
	case err == nil && response.Unavailable:
		r.backOff(address, errors.New(response.Reason))
	}
	return response, err
}

func (r *Router) isUsable(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !time.Now().Before(r.backedOffUntil[address])
}

// EndBackoff returns a node to the routes, since it has just reached the store.
func (r *Router) EndBackoff(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.backedOffUntil, address)
}

// backOff excludes a node from the routes for peerBackoffTime. It logs when a backoff begins
// but not when it is extended.
func (r *Router) backOff(address string, reason error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for a, until := range r.backedOffUntil {
		if !now.Before(until) {
			delete(r.backedOffUntil, a)
		}
	}
	if _, known := r.backedOffUntil[address]; !known {
		r.logger.Warn("node is not used for relaying until its backoff ends", "address", address, "for", peerBackoffTime.String(), "reason", reason)
	}
	r.backedOffUntil[address] = now.Add(peerBackoffTime)
}

// Serve stores a record for another node. It uses this node's own connection only: relaying
// the record further could loop.
func (r *Router) Serve(ctx context.Context, q StoreRequest) StoreResponse {
	if err := r.local.CheckAvailable(); err != nil {
		return StoreResponse{Status: platform.StoreRefused, Unavailable: true, Reason: err.Error()}
	}
	if r.attempts.begin(q.Partition, q.Record) {
		return StoreResponse{Status: platform.StoreOK}
	}
	if err := r.checkRoom(q.Partition, q.Record); err != nil {
		r.attempts.end(q.Partition, q.Record, platform.StoreRefused)
		return noRoom(err)
	}
	r.reportInFlight(q.Partition, q.Record)
	pendingTimer := time.NewTimer(min(max(0, q.PendingAfter), slowRelayPendingAfter))
	defer pendingTimer.Stop()
	status, pending, err := r.local.Store(ctx, q.Partition, r.withFirstAttempt(q.Record), pendingTimer.C)
	r.attempts.end(q.Partition, q.Record, status)
	if status == platform.StoreUnknown {
		r.attempts.reportOpen(q.Partition, q.Record)
	}
	response := StoreResponse{Status: status, Pending: pending}
	if err != nil {
		response.Reason = err.Error()
	}
	return response
}

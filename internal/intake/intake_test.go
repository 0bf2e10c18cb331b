package intake_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/acceptance"
	"github.com/yuccadrift/yuccadrift/internal/hedge"
	"github.com/yuccadrift/yuccadrift/internal/intake"
	"github.com/yuccadrift/yuccadrift/internal/joblog"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// serialStore processes appends one at a time, as the platform's store does for a
// partition, and refuses an append that would wait for more than maxQueueWait.
type serialStore struct {
	appendTime time.Duration
	turn       chan struct{} // semaphore of the append in progress

	mu      sync.Mutex
	waiting int
	appends int
	keys    map[string]bool
}

// maxQueueWait is the wait beyond which the platform's store refuses an append.
const maxQueueWait = 2 * time.Second

// callTimeout is the timeout of one call to the store.
const callTimeout = 1200 * time.Millisecond

func newSerialStore(appendTime time.Duration) *serialStore {
	return &serialStore{appendTime: appendTime, turn: make(chan struct{}, 1), keys: map[string]bool{}}
}

func (s *serialStore) AppendSpan(ctx context.Context, _ platform.Partition, _ *platform.Producer, records ...platform.KeyedRecord) (platform.Span, platform.StoreStatus, error) {
	s.mu.Lock()
	if time.Duration(s.waiting)*s.appendTime > maxQueueWait {
		s.mu.Unlock()
		return platform.Span{}, platform.StoreRefused, errors.New("busy")
	}
	s.waiting++
	s.mu.Unlock()
	done := make(chan struct{})
	go func() { // the store completes the append even if the caller has given up
		s.turn <- struct{}{}
		time.Sleep(s.appendTime)
		s.mu.Lock()
		s.waiting--
		s.appends++
		for _, r := range records {
			s.keys[r.Key] = true
		}
		s.mu.Unlock()
		<-s.turn
		close(done)
	}()
	select {
	case <-done:
		return platform.Span{}, platform.StoreOK, nil
	case <-ctx.Done():
		return platform.Span{}, platform.StoreUnknown, ctx.Err()
	case <-time.After(callTimeout):
		return platform.Span{}, platform.StoreUnknown, errors.New("no answer in time")
	}
}

func (s *serialStore) Read(context.Context, platform.Partition, int64, time.Duration) (platform.Batch, platform.StoreStatus, error) {
	return platform.Batch{}, platform.StoreRefused, nil
}

func (s *serialStore) Newest(context.Context, platform.Partition) (platform.Batch, platform.StoreStatus, error) {
	return platform.Batch{}, platform.StoreRefused, nil
}

// node is one entry VM of a test.
type node struct {
	router      *intake.Router
	acceptor    *joblog.Acceptor
	hedger      *hedge.Hedger
	unavailable error       // result of CheckAvailable
	frozen      atomic.Bool // does not answer other nodes
}

func (n *node) Store(ctx context.Context, partition int, record workload.Record, pendingAfter <-chan time.Time) (platform.StoreStatus, bool, error) {
	return n.acceptor.Store(ctx, partition, record, pendingAfter)
}

func (n *node) CheckAvailable() error { return n.unavailable }
func (n *node) IsSlow() bool          { return n.hedger.IsSlow() }

// cluster is the nodes of a test. owner is the address of the partition's owner; if it is ""
// each node stores for itself.
type cluster struct {
	nodes []*node
	owner string
}

func address(i int) string { return fmt.Sprint("node-", i) }

// peerView implements intake.Peers for one node of a cluster.
type peerView struct {
	cluster *cluster
	self    string
}

func (v peerView) Owner(int) string {
	if v.cluster.owner == v.self {
		return ""
	}
	return v.cluster.owner
}

func (v peerView) Self() string { return v.self }

func (v peerView) NoteAttempt(_ context.Context, address string, id workload.JobID, age time.Duration) error {
	for i, n := range v.cluster.nodes {
		if address == fmt.Sprint("node-", i) {
			n.router.ServeAttempt(id, age)
		}
	}
	return nil
}

func (v peerView) OtherOwners() []string {
	var others []string
	for i := range v.cluster.nodes {
		if address(i) != v.self {
			others = append(others, address(i))
		}
	}
	return others
}

func (v peerView) Store(ctx context.Context, to string, q intake.StoreRequest) (intake.StoreResponse, error) {
	for i, n := range v.cluster.nodes {
		if address(i) != to {
			continue
		}
		if n.frozen.Load() {
			<-ctx.Done()
			return intake.StoreResponse{}, ctx.Err()
		}
		return n.router.Serve(ctx, q), nil
	}
	return intake.StoreResponse{Status: platform.StoreRefused}, errors.New("connection refused")
}

func (v peerView) ReportOpen(_ context.Context, _ int, requests []acceptance.Request) error {
	for i, n := range v.cluster.nodes {
		if address(i) == v.cluster.owner && !n.frozen.Load() {
			n.router.ServeOpen(requests)
			return nil
		}
	}
	return errors.New("no owner answers")
}

func newCluster(size int, store joblog.Store, owner string) *cluster {
	c := &cluster{owner: owner}
	for i := range size {
		hedger := hedge.New()
		n := &node{acceptor: joblog.NewAcceptor(store, hedger, joblog.Limits{}, nil), hedger: hedger}
		n.router = intake.New(n, peerView{c, address(i)}, hclog.NewNullLogger())
		c.nodes = append(c.nodes, n)
	}
	return c
}

// storeQuiesceTime is long enough for the store to complete all appends in flight.
const storeQuiesceTime = time.Minute

// runInVirtualTime runs a test in virtual time and lets the store finish.
func runInVirtualTime(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		test(t)
		time.Sleep(storeQuiesceTime)
	})
}

func cancelRecord(i int) workload.Record {
	return workload.Record{Job: workload.JobID(fmt.Sprintf("%016x", i)), Cancel: true}
}

// Load while the store is slow: one queue receives some 40 jobs a second at nine nodes, and
// each append occupies the store for 150 ms, 70 times as long as usual (2 ms, without the
// network).
const (
	slowStoreNodes = 9
	slowAppendTime = 150 * time.Millisecond
	submitInterval = 25 * time.Millisecond // between two jobs
	submitDuration = 4 * time.Second
	callerTimeout  = 2900 * time.Millisecond
	// promptLimit is the longest acceptance time with which a short job can still meet its
	// objective of some 2 s.
	promptLimit = 900 * time.Millisecond
)

// submitToSlowStore submits jobs at all nodes in turn while the store is slow, and counts
// those accepted within promptLimit.
func submitToSlowStore(t *testing.T, owner string) (acceptedPromptly, all int) {
	c := newCluster(slowStoreNodes, newSerialStore(slowAppendTime), owner)
	var callers sync.WaitGroup
	var mu sync.Mutex
	for began := time.Now(); time.Since(began) < submitDuration; all++ {
		n, record := c.nodes[all%slowStoreNodes], cancelRecord(all)
		callers.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), callerTimeout)
			defer cancel()
			submittedAt := time.Now()
			status, _ := n.router.Accept(ctx, 0, record)
			if status == platform.StoreOK && time.Since(submittedAt) <= promptLimit {
				mu.Lock()
				acceptedPromptly++
				mu.Unlock()
			}
		})
		time.Sleep(submitInterval)
	}
	callers.Wait()
	return acceptedPromptly, all
}

// A slow store processes the appends to a partition one at a time. If each node appends for
// itself, nine appends wait at any time, callers get no response for over a second, and
// repeated calls lengthen the queue. Through the owner only its own appends, at most two at
// a time, are ahead of a job.
func TestJobsAreAcceptedPromptlyThroughOwnerOfSlowStore(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		alone, all := submitToSlowStore(t, "")
		throughOwner, _ := submitToSlowStore(t, address(0))
		t.Logf("of %d jobs accepted promptly: %d by each node alone, %d through the owner", all, alone, throughOwner)
		assert.Less(t, alone, all/4, "the load must exceed what nodes can store without the owner")
		assert.GreaterOrEqual(t, throughOwner, all*9/10)
	})
}

// The store rejects three of nine nodes for seconds. Without the other nodes their callers
// would be refused, also if the owner is one of the three.
func TestNodesRefusedByStoreAcceptJobsThroughPeers(t *testing.T) {
	for _, owner := range []string{address(0), address(5)} { // rejected and not rejected
		runInVirtualTime(t, func(t *testing.T) {
			c := newCluster(9, newSerialStore(2*time.Millisecond), owner)
			for _, n := range c.nodes[:3] {
				n.unavailable = errors.New("node is rejected")
			}
			for i := range 90 {
				status, err := c.nodes[i%3].router.Accept(t.Context(), 0, cancelRecord(i))
				assert.Equal(t, platform.StoreOK, status, "%v", err)
			}
		})
	}
}

// The owner's node is frozen. The first caller waits for the timeout of one request; later
// callers don't, since the node that they ask stores for itself during the backoff.
func TestFrozenOwnerDelaysOnlyFirstCaller(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		c := newCluster(3, newSerialStore(2*time.Millisecond), address(0))
		c.nodes[0].frozen.Store(true)
		began := time.Now()
		status, _ := c.nodes[1].router.Accept(t.Context(), 0, cancelRecord(1))
		assert.Equal(t, platform.StoreOK, status)
		assert.Less(t, time.Since(began), 500*time.Millisecond)
		began = time.Now()
		status, _ = c.nodes[1].router.Accept(t.Context(), 0, cancelRecord(2))
		assert.Equal(t, platform.StoreOK, status)
		assert.Less(t, time.Since(began), 10*time.Millisecond)
	})
}

// No node reaches the store. The refusal is certain and must be immediate, so that the
// caller can use its time elsewhere.
func TestRequestIsRefusedImmediatelyWhenNoNodeReachesStore(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		store := newSerialStore(2 * time.Millisecond)
		c := newCluster(4, store, address(2))
		for _, n := range c.nodes {
			n.unavailable = errors.New("away")
		}
		began := time.Now()
		status, err := c.nodes[0].router.Accept(t.Context(), 0, cancelRecord(1))
		assert.Equal(t, platform.StoreRefused, status)
		assert.Error(t, err)
		assert.Zero(t, time.Since(began))
		assert.Empty(t, store.keys)
	})
}

// lossyStore carries out all appends and loses the answers to the first ones.
type lossyStore struct {
	*serialStore
	answersToLose int
}

func (s *lossyStore) AppendSpan(ctx context.Context, p platform.Partition, producer *platform.Producer, records ...platform.KeyedRecord) (platform.Span, platform.StoreStatus, error) {
	span, status, err := s.serialStore.AppendSpan(ctx, p, producer, records...)
	if s.answersToLose > 0 {
		s.answersToLose--
		return platform.Span{}, platform.StoreUnknown, errors.New("connection lost")
	}
	return span, status, err
}

// The store's answers to three successive appends are lost. Instead of reporting an unknown
// outcome, after which the caller would not ask again, the router stores the record again
// under the same key, which has no second effect, while the caller still waits.
func TestUnknownOutcomeIsRetriedWithinCallerTimeout(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		store := &lossyStore{newSerialStore(2 * time.Millisecond), 3}
		c := newCluster(2, store, address(1))
		ctx, cancel := context.WithTimeout(t.Context(), callerTimeout)
		defer cancel()
		status, err := c.nodes[0].router.Accept(ctx, 0, cancelRecord(1))
		assert.Equal(t, platform.StoreOK, status, "%v", err)
		assert.Len(t, store.keys, 1)
	})
}

// The store carries out each append without an answer until the caller's time is over. The
// caller must not be told that nothing was stored.
func TestUnknownOutcomeIsNeverReportedAsRefusal(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		store := &lossyStore{newSerialStore(2 * time.Millisecond), 1 << 20}
		c := newCluster(2, store, address(1))
		ctx, cancel := context.WithTimeout(t.Context(), callerTimeout)
		defer cancel()
		status, _ := c.nodes[0].router.Accept(ctx, 0, cancelRecord(1))
		assert.Equal(t, platform.StoreUnknown, status)
		assert.Len(t, store.keys, 1)
	})
}

// invalidatingStore is a lossyStore that rejects all appends whose answer it doesn't lose.
type invalidatingStore struct{ lossyStore }

func (s *invalidatingStore) AppendSpan(ctx context.Context, p platform.Partition, producer *platform.Producer, records ...platform.KeyedRecord) (platform.Span, platform.StoreStatus, error) {
	if s.answersToLose > 0 {
		return s.lossyStore.AppendSpan(ctx, p, producer, records...)
	}
	return platform.Span{}, platform.StoreInvalid, errors.New("the store answered 400")
}

// Guards against a caller that is told that its request is invalid although an earlier attempt may have stored it.
func TestInvalidAttemptAfterUnknownOutcomeIsUnknown(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		for lost, want := range map[int]platform.StoreStatus{0: platform.StoreInvalid, 1: platform.StoreUnknown} {
			for _, owner := range []string{address(0), address(1)} { // stored by this node and by way of the owner's
				c := newCluster(2, &invalidatingStore{lossyStore{newSerialStore(2 * time.Millisecond), lost}}, owner)
				status, _ := c.nodes[0].router.Accept(t.Context(), 0, cancelRecord(1))
				assert.Equal(t, want, status, "%d answers lost, owner %s", lost, owner)
			}
		}
	})
}

// A caller sends the same request to several nodes at the same time. Each request succeeds,
// and the store holds one record.
func TestSameRequestAtSeveralNodesIsStoredUnderOneKey(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		store := newSerialStore(slowAppendTime)
		c := newCluster(3, store, address(0))
		var callers sync.WaitGroup
		for _, n := range c.nodes {
			callers.Go(func() {
				status, _ := n.router.Accept(t.Context(), 0, cancelRecord(7))
				assert.Equal(t, platform.StoreOK, status)
			})
		}
		callers.Wait()
		store.mu.Lock() // a repeated append may be in progress
		defer store.mu.Unlock()
		assert.Len(t, store.keys, 1)
	})
}

// The owner is lost while the store is slow. If each node appended for itself, as many
// appends would wait as there are nodes: the store refuses those that wait over 2 s, and the
// successor can't fence the lost owner. The nodes must agree on one writer in its place.
func TestNodesAgreeOnOneWriterInPlaceOfLostOwner(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T) {
		const nodes = 44
		store := newSerialStore(slowAppendTime)
		c := newCluster(nodes, store, "node-gone")
		for _, n := range c.nodes { // each node has measured the slow store
			status, err := n.hedger.Write(t.Context(), func(context.Context) (platform.StoreStatus, error) {
				time.Sleep(slowAppendTime)
				return platform.StoreOK, nil
			})
			assert.Equal(t, platform.StoreOK, status, "%v", err)
		}
		var callers sync.WaitGroup
		began := time.Now()
		for i, n := range c.nodes {
			callers.Go(func() {
				status, err := n.router.Accept(t.Context(), 0, cancelRecord(i))
				assert.Equal(t, platform.StoreOK, status, "%v", err)
			})
		}
		callers.Wait()
		assert.Less(t, time.Since(began), promptLimit)
		assert.LessOrEqual(t, store.appends, 4)
	})
}

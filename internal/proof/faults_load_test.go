package proof

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/yuccadrift/yuccadrift/internal/outcome"
	"github.com/yuccadrift/yuccadrift/internal/testkit"
)

// Bounds of the callers.
const (
	readinessInterval = 50 * time.Millisecond
	callerTimeout     = 6 * time.Second // more than requestDeadline
	requestDeadline   = 3 * time.Second
	maxAttempts       = 4
	longRun           = 2 * time.Second // more than drainNotice
	drainNotice       = "1s"            // of an entry process that shuts down
	maxLatency        = int64(time.Minute / time.Microsecond)
)

// route is a route of a service that callers use.
type route struct {
	service    string
	path       string
	repeatable bool
	long       bool
}

// routes are the routes of the example documents that callers use.
var routes = []route{
	{"booking", "/lookup", true, false},
	{"booking", "/reservations", false, false},
	{"booking", "/audit", true, true},
	{"fitting", "/appointments", false, false},
	{"returns", "/status", true, false},
	{"returns", "/receipts", false, false},
	{"dispatch", "/orders", false, false},
	{"back-office", "/invoices", false, true},
	{"preview", "/rotations", true, false},
	{"compare", "/comparisons", true, true},
	{"catalogue", "/search", true, false},
	{"conversion", "/conversions", false, true},
	{"export", "/exports", false, true},
}

// attempt is one attempt of a request and the answer that its caller got.
type attempt struct {
	route
	key       string
	node      string
	startedAt time.Time
	endedAt   time.Time
	testkit.Answer
}

// callers send requests through the nodes that a load balancer considers ready. They retry a request
// with the same key at another node until it has run.
type callers struct {
	cluster *testkit.Cluster
	ready   []atomic.Bool
	wg      sync.WaitGroup

	mu       sync.Mutex
	attempts []attempt
	latency  map[string]*hdrhistogram.Histogram // by class, in microseconds, of requests that ran
}

func startCallers(ctx context.Context, c *testkit.Cluster, routes []route, perRoute int, pause time.Duration, seed uint64) *callers {
	cs := &callers{cluster: c, ready: make([]atomic.Bool, len(c.Nodes)), latency: map[string]*hdrhistogram.Histogram{}}
	for i, n := range c.Nodes {
		cs.wg.Go(func() {
			for ctx.Err() == nil {
				cs.ready[i].Store(n.Ready())
				time.Sleep(readinessInterval)
			}
		})
	}
	for i, r := range routes {
		for j := range perRoute {
			random := rand.New(rand.NewPCG(seed, uint64(i*perRoute+j)))
			cs.wg.Go(func() {
				for ctx.Err() == nil {
					cs.request(ctx, r, random)
					time.Sleep(time.Duration(random.Int64N(int64(2 * pause))))
				}
			})
		}
	}
	return cs
}

// pickNode returns a random node other than last that the load balancer considers ready. If there is
// none it returns last, which may be nil.
func (cs *callers) pickNode(random *rand.Rand, last *testkit.Node) *testkit.Node {
	var ready []*testkit.Node
	for i, n := range cs.cluster.Nodes {
		if cs.ready[i].Load() && n != last {
			ready = append(ready, n)
		}
	}
	if len(ready) == 0 {
		return last
	}
	return ready[random.IntN(len(ready))]
}

// request sends one request until it has run or the caller gives up. It continues after ctx has
// ended, so that every request gets a final outcome.
func (cs *callers) request(ctx context.Context, r route, random *rand.Rand) {
	req := testkit.Request{Path: "/" + r.service + r.path, Key: testkit.Key(), Deadline: requestDeadline}
	req.Work = time.Duration(1+random.IntN(20)) * time.Millisecond
	req.ReplyBytes = random.IntN(4096)
	if r.long {
		req.Work = time.Duration(100+random.IntN(900)) * time.Millisecond
		req.ReplyBytes = random.IntN(300_000) // more than an entry buffers
	}
	var last *testkit.Node
	for n := 1; n <= maxAttempts; n++ {
		node := cs.pickNode(random, last)
		if node == nil {
			time.Sleep(readinessInterval)
			return
		}
		last = node
		req.Attempt = n
		a := cs.send(node, r, req)
		if a.Outcome == outcome.Ran && a.Err == nil {
			return
		}
		if a.Outcome == outcome.NotRun && (ctx.Err() != nil || random.IntN(3) == 0) {
			return // the final outcome is "not-run"
		}
		time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
	}
}

// sendOne sends one request to the booking service and doesn't retry it.
func (cs *callers) sendOne(node *testkit.Node, path string, work time.Duration) {
	for _, r := range routes {
		if r.service == "booking" && r.path == path {
			cs.send(node, r, testkit.Request{Path: "/booking" + path, Key: testkit.Key(), Attempt: 1, Deadline: requestDeadline, Work: work})
		}
	}
}

func (cs *callers) send(node *testkit.Node, r route, req testkit.Request) attempt {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	a := attempt{route: r, key: req.Key, node: node.Name, startedAt: time.Now()}
	a.Answer = node.Send(ctx, req)
	a.endedAt = time.Now()
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.attempts = append(cs.attempts, a)
	if a.OK() {
		cs.record(a)
	}
	return a
}

func (cs *callers) record(a attempt) {
	class := "quick"
	if a.long {
		class = "long"
	}
	h := cs.latency[class]
	if h == nil {
		const digits = 3
		h = hdrhistogram.New(1, maxLatency, digits)
		cs.latency[class] = h
	}
	_ = h.RecordValue(a.Duration.Microseconds()) // callerTimeout is within the histogram's range
}

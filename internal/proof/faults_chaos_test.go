package proof

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/standin"
	"github.com/yuccadrift/yuccadrift/internal/testkit"
)

// nodeFault is the effect of a fault on a node.
type nodeFault string

const (
	nodeKilled   nodeFault = "killed"
	nodePaused   nodeFault = "paused"
	nodeStopped  nodeFault = "stopped" // by SIGTERM
	nodeIsolated nodeFault = "cut off" // from the platform or from other nodes
)

// faultInterval is the time of a node's fault. to is zero while the fault lasts.
type faultInterval struct {
	node     string
	fault    nodeFault
	from, to time.Time
}

// Requests that are in flight when an entry process gets SIGTERM.
const (
	inFlightAtStop = 4
	inFlightPause  = 50 * time.Millisecond
)

// chaos injects random faults, several at once.
type chaos struct {
	t            *testing.T
	cluster      *testkit.Cluster
	random       *rand.Rand
	startedAt    time.Time
	crashableVMs []string // backend VMs that may crash
	linkedVMs    []string // backend VMs behind links
	// sendLong sends a request that runs longer than drainNotice.
	sendLong func(*testkit.Node)
	// pickNode returns a ready node, as the load balancer does.
	pickNode func(random *rand.Rand, last *testkit.Node) *testkit.Node
	// sendBurst sends a request for overload.
	sendBurst func(*testkit.Node)

	wg          sync.WaitGroup
	mu          sync.Mutex
	nodeFaults  []faultInterval
	faultCounts map[string]int
	faulty      map[string]bool // kind and subject of the active faults
}

func newChaos(t *testing.T, c *testkit.Cluster, seed uint64, crashableVMs, linkedVMs []string) *chaos {
	return &chaos{
		t: t, cluster: c, random: rand.New(rand.NewPCG(seed, 1)), startedAt: time.Now(),
		crashableVMs: crashableVMs, linkedVMs: linkedVMs, faultCounts: map[string]int{}, faulty: map[string]bool{},
	}
}

func (x *chaos) logf(format string, args ...any) {
	x.t.Logf("%7.2fs %s", time.Since(x.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// randomDuration returns a random duration from shortest up to, but excluding, longest.
func (x *chaos) randomDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(x.random.Int64N(int64(longest-shortest)))
}

// run injects a fault about every pause for duration and returns when all faults have ended.
func (x *chaos) run(duration, pause time.Duration) {
	kinds := []func(){
		x.killVM, x.killEntry, x.pauseVM, x.stopEntry, x.platformOutage, x.isolateFromPlatform, x.partition,
		x.logFault, x.logFault, x.apiFault, x.backendFault, x.backendFault, x.crashBackendVM, x.linkFault, x.overload,
	}
	remaining := slices.Clone(kinds)
	for end := time.Now().Add(duration); time.Now().Before(end); {
		if len(remaining) == 0 {
			remaining = slices.Clone(kinds)
		}
		i := x.random.IntN(len(remaining)) // without replacement, so that short runs include every kind
		remaining[i]()
		remaining = slices.Delete(remaining, i, i+1)
		time.Sleep(x.randomDuration(pause/2, 3*pause/2))
	}
	x.wg.Wait()
	x.cluster.HealPeers()
	x.cluster.Standin.ClearFaults()
	x.logf("all faults have ended")
}

// reserve marks a random subject without a fault of this kind as faulty and returns it. It returns
// false if there is none or if limit subjects are faulty already.
func (x *chaos) reserve(kind string, subjects []string, limit int) (string, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	var free []string
	affected := 0
	for _, s := range subjects {
		if x.faulty[kind+s] {
			affected++
			continue
		}
		free = append(free, s)
	}
	if len(free) == 0 || affected >= limit {
		return "", false
	}
	s := free[x.random.IntN(len(free))]
	x.faulty[kind+s] = true
	return s, true
}

func (x *chaos) release(kind, subject string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.faulty, kind+subject)
}

// undoAfter counts a fault that has begun and calls undo after delay. Callers draw the delay before,
// in the order of the faults, so that a seed determines it.
func (x *chaos) undoAfter(name string, delay time.Duration, undo func()) {
	x.mu.Lock()
	x.faultCounts[name]++
	x.mu.Unlock()
	x.logf("%s for %s", name, delay.Round(time.Millisecond))
	x.wg.Go(func() {
		time.Sleep(delay)
		undo()
	})
}

// beginNodeFault records the beginning of a fault of nodes. end records its end.
func (x *chaos) beginNodeFault(h nodeFault, nodes ...*testkit.Node) (end func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	first := len(x.nodeFaults)
	for _, n := range nodes {
		x.nodeFaults = append(x.nodeFaults, faultInterval{node: n.Name, fault: h, from: time.Now()})
	}
	return func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		for i := range nodes {
			x.nodeFaults[first+i].to = time.Now()
		}
	}
}

// reserveNode reserves a node without a fault and returns it and a function that releases it. At most
// a third of the nodes, but at least one, are reserved at once.
func (x *chaos) reserveNode() (*testkit.Node, func(), bool) {
	var names []string
	for _, n := range x.cluster.Nodes {
		names = append(names, n.Name)
	}
	name, ok := x.reserve("node/", names, max(1, len(names)/3))
	if !ok {
		return nil, nil, false
	}
	n := x.cluster.Nodes[slices.Index(names, name)]
	return n, func() { x.release("node/", name) }, true
}

func (x *chaos) killVM() {
	n, release, ok := x.reserveNode()
	if !ok {
		return
	}
	endFault := x.beginNodeFault(nodeKilled, n)
	n.Kill()
	x.undoAfter("lose entry VM", x.randomDuration(500*time.Millisecond, 4*time.Second), func() {
		n.Start()
		n.AwaitReady()
		endFault()
		release()
	})
}

func (x *chaos) killEntry() {
	n, release, ok := x.reserveNode()
	if !ok {
		return
	}
	endFault := x.beginNodeFault(nodeKilled, n)
	n.Entry.Kill()
	x.undoAfter("kill entry process", x.randomDuration(0, 2*time.Second), func() {
		n.Entry.Start()
		n.AwaitReady()
		endFault()
		release()
	})
}

func (x *chaos) pauseVM() {
	n, release, ok := x.reserveNode()
	if !ok {
		return
	}
	endFault := x.beginNodeFault(nodePaused, n)
	n.Pause()
	x.undoAfter("pause entry VM", x.randomDuration(300*time.Millisecond, 9*time.Second), func() {
		n.Resume()
		endFault()
		release()
	})
}

func (x *chaos) stopEntry() {
	n, release, ok := x.reserveNode()
	if !ok {
		return
	}
	endFault := x.beginNodeFault(nodeStopped, n)
	for range inFlightAtStop {
		x.wg.Go(func() { x.sendLong(n) })
	}
	time.Sleep(inFlightPause) // the requests have probably arrived; one that arrives late is refused
	n.Entry.Terminate()
	x.undoAfter("stop entry process (SIGTERM)", x.randomDuration(0, time.Second), func() {
		if err := n.Entry.Wait(); err != nil {
			x.t.Errorf("%s: %v after SIGTERM", n.Name, err)
		}
		n.Entry.Start()
		n.AwaitReady()
		endFault()
		release()
	})
}

// platformOutage cuts all nodes off from the platform.
func (x *chaos) platformOutage() {
	if _, ok := x.reserve("outage/", []string{"all"}, 1); !ok {
		return
	}
	endFault := x.beginNodeFault(nodeIsolated, x.cluster.Nodes...)
	blackhole := x.random.IntN(2) == 0
	for _, n := range x.cluster.Nodes {
		x.cutPlatform(n, blackhole)
	}
	x.undoAfter("platform outage", x.randomDuration(2*time.Second, 8*time.Second), func() {
		for _, n := range x.cluster.Nodes {
			n.HealPlatform()
		}
		endFault()
		x.release("outage/", "all")
	})
}

// cutPlatform cuts or blackholes a node's links to the platform.
func (x *chaos) cutPlatform(n *testkit.Node, blackhole bool) {
	if !blackhole {
		n.CutPlatform()
		return
	}
	n.EntryPlatform.Blackhole()
	n.StewardPlatform.Blackhole()
}

// isolateFromPlatform cuts one node off from the platform.
func (x *chaos) isolateFromPlatform() {
	if _, ok := x.reserve("outage/", []string{"all"}, 1); !ok {
		return
	}
	n := x.cluster.Nodes[x.random.IntN(len(x.cluster.Nodes))]
	endFault := x.beginNodeFault(nodeIsolated, n)
	x.cutPlatform(n, x.random.IntN(2) == 0)
	x.undoAfter("one entry VM without platform", x.randomDuration(2*time.Second, 10*time.Second), func() {
		n.HealPlatform()
		endFault()
		x.release("outage/", "all")
	})
}

func (x *chaos) partition() {
	if _, ok := x.reserve("partition/", []string{"peers"}, 1); !ok {
		return
	}
	nodes := slices.Clone(x.cluster.Nodes)
	x.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	cut := 1 + x.random.IntN(len(nodes)-1)
	endFault := x.beginNodeFault(nodeIsolated, x.cluster.Nodes...)
	x.cluster.Partition(nodes[:cut], nodes[cut:])
	x.undoAfter("partition of entry VMs", x.randomDuration(time.Second, 8*time.Second), func() {
		x.cluster.HealPeers()
		endFault()
		x.release("partition/", "peers")
	})
}

// injectStandinFault injects a fault of the stand-in for a random time.
func (x *chaos) injectStandinFault(f standin.Fault, shortest, longest time.Duration) {
	duration := x.randomDuration(shortest, longest)
	ids := x.cluster.Standin.InjectFaults(f)
	x.undoAfter(string(f.Kind), duration, func() { x.cluster.Standin.ClearFaults(ids...) })
}

func (x *chaos) logFault() {
	faults := []standin.Fault{
		{Kind: standin.LogLoseReply, Count: 1 + x.random.IntN(15)},
		{Kind: standin.LogLate, Count: 1 + x.random.IntN(8), DelayMS: 100 + x.random.Int64N(3000)},
		{Kind: standin.LogSlow, Target: "append", DelayMS: 100 + x.random.Int64N(900)},
		{Kind: standin.LogRefuse, Target: "append"},
		{Kind: standin.LogHang, Target: "append", Count: 1 + x.random.IntN(5)},
	}
	x.injectStandinFault(faults[x.random.IntN(len(faults))], time.Second, 5*time.Second)
}

func (x *chaos) apiFault() {
	faults := []standin.Fault{
		{Kind: standin.APILoseReply, Count: 1 + x.random.IntN(10)},
		{Kind: standin.APIRefuse},
		{Kind: standin.APISlow, DelayMS: 100 + x.random.Int64N(900)},
		{Kind: standin.ListLag, DelayMS: 2000 + x.random.Int64N(4000)},
		{Kind: standin.BootSlow, DelayMS: 1000 + x.random.Int64N(3000), Count: 2},
	}
	x.injectStandinFault(faults[x.random.IntN(len(faults))], time.Second, 6*time.Second)
}

// backendFault injects a random fault of the backend servers.
func (x *chaos) backendFault() {
	kinds := []standin.FaultKind{
		standin.CutBeforeRead, standin.CutAfterHeader, standin.CutAfterRun, standin.CutMidAnswer,
		standin.BackendLate, standin.BackendSlow, standin.BackendError, standin.BackendFreeze, standin.BackendUnhealthy,
	}
	f := standin.Fault{
		Kind:    kinds[x.random.IntN(len(kinds))],
		Count:   5 + x.random.IntN(30),
		DelayMS: 100 + x.random.Int64N(2000),
	}
	x.injectStandinFault(f, 500*time.Millisecond, 4*time.Second)
}

// crashBackendVM crashes a VM with a backend server and recovers it after a random time.
func (x *chaos) crashBackendVM() {
	vm, ok := x.reserve("vm/", x.crashableVMs, 2)
	if !ok {
		return
	}
	x.cluster.Standin.InjectFaults(standin.Fault{Kind: standin.VMCrash, Target: vm})
	x.undoAfter("lose backend VM "+vm, x.randomDuration(time.Second, 8*time.Second), func() {
		x.cluster.Standin.InjectFaults(standin.Fault{Kind: standin.VMRecover, Target: vm})
		x.release("vm/", vm)
	})
}

// overload sends more requests at once than the backend servers have slots.
func (x *chaos) overload() {
	const crowd = 300
	x.undoAfter("overload", time.Second, func() {})
	for range crowd {
		if n := x.pickNode(x.random, nil); n != nil {
			x.wg.Go(func() { x.sendBurst(n) })
		}
	}
}

// linkFault injects a random fault of the link to one backend server.
func (x *chaos) linkFault() {
	vm, ok := x.reserve("link/", x.linkedVMs, 2)
	if !ok {
		return
	}
	link := x.cluster.Backends[vm]
	kinds := map[string]func(){
		"backend link is blackholed":     link.Blackhole,
		"backend link loses replies":     link.BlackholeReplies,
		"backend link is slow":           func() { link.Delay(300*time.Millisecond, 200*time.Millisecond) },
		"backend link breaks in replies": func() { link.CutAfter(500) },
	}
	names := slices.Sorted(maps.Keys(kinds))
	name := names[x.random.IntN(len(names))]
	kinds[name]()
	x.undoAfter(name, x.randomDuration(time.Second, 5*time.Second), func() {
		link.Heal()
		x.release("link/", vm)
	})
}

package proof

import (
	"context"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/outcome"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/testkit"
)

// seedVariable is the environment variable that sets the seed of the random faults.
const seedVariable = "FAULTS_SEED"

// faultPlan describes a run with all kinds of faults.
type faultPlan struct {
	nodes            []string // zones of the entry VMs
	documents        []string
	fleet            []testkit.Group
	steward          testkit.Settings
	crashableVMs     int // number of backend VMs that may crash
	duration         time.Duration
	faultInterval    time.Duration // mean time between faults
	operatorInterval time.Duration // mean time between operators' actions
	callersPerRoute  int
	thinkTime        time.Duration // mean pause of a caller between requests
	waves            [][]string
	// permanentMove names two services. At the start operators move two VMs from the first to the
	// second and then leave both sizes unchanged. As no VM is free, VMs are drained and moved, a
	// minute after the second pool became too small.
	permanentMove []string
}

// All kinds of faults at once, in a short run with few processes: processes and VMs are killed,
// paused and stopped, the platform is unavailable or loses replies, entry VMs are partitioned, and
// backend servers fail in every way, while operators publish conflicting documents, move VMs, run a
// wave and submit jobs. Every guarantee must hold.
func TestFaultsTogetherShort(t *testing.T) {
	runFaults(t, 1, faultPlan{
		nodes:     []string{"a", "b", "c", "a"},
		documents: []string{"ramcharan/booking", "ramcharan/fitting"},
		fleet: []testkit.Group{
			{Prefix: "rc", Count: 18, Zones: []string{"a", "b", "c"}, BootSeconds: 0.5},
			{Prefix: "ln", Count: 6, Zones: []string{"a", "b", "c"}, BootSeconds: 0.5, Linked: true},
		},
		crashableVMs:     4,
		duration:         10 * time.Second,
		faultInterval:    600 * time.Millisecond,
		operatorInterval: 500 * time.Millisecond,
		callersPerRoute:  3,
		thinkTime:        20 * time.Millisecond,
		waves:            [][]string{{"booking", "fitting"}},
	})
}

func runFaults(t *testing.T, seed uint64, plan faultPlan) {
	if text := os.Getenv(seedVariable); text != "" {
		var err error
		seed, err = strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
	}
	t.Logf("%s=%d", seedVariable, seed)
	c := testkit.Start(t, testkit.Options{
		Nodes:   plan.nodes,
		Fleet:   plan.fleet,
		Entry:   testkit.Settings{"drain.notice": `"` + drainNotice + `"`},
		Steward: plan.steward,
	})
	texts := map[string]string{}
	for _, name := range plan.documents {
		texts[name[strings.IndexByte(name, '/')+1:]] = testkit.Example(t, name)
	}
	services := slices.Sorted(maps.Keys(texts))
	c.Publish(slices.Collect(maps.Values(texts))...)
	for _, service := range services {
		var size int
		state := c.Standin.State()
		size = state.Services[service].Doc.Pool.Size
		awaitServing(c, service, size)
	}
	c.AwaitReady()

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	observer := startObserver(ctx, c)
	stalls := watchStalls(ctx)
	begin := c.Standin.State().Offset
	c.Until("the observer has read the log", func() bool { return observer.offset() >= begin })
	var unlinkedVMs, crashableVMs, linkedVMs []string
	for _, vm := range c.Standin.List().VMs {
		if c.Backends[vm.ID] != nil {
			linkedVMs = append(linkedVMs, vm.ID)
			continue
		}
		unlinkedVMs = append(unlinkedVMs, vm.ID)
	}
	for i := range plan.crashableVMs {
		crashableVMs = append(crashableVMs, unlinkedVMs[i*len(unlinkedVMs)/plan.crashableVMs])
	}
	x := newChaos(t, c, seed, crashableVMs, linkedVMs)
	usedRoutes := slices.DeleteFunc(slices.Clone(routes), func(r route) bool { return texts[r.service] == "" })
	loadCtx, stopLoad := context.WithCancel(ctx)
	load := startCallers(loadCtx, c, usedRoutes, plan.callersPerRoute, plan.thinkTime, seed)
	x.sendLong = func(n *testkit.Node) { load.sendOne(n, "/audit", longRun) }
	x.pickNode = load.pickNode
	x.sendBurst = func(n *testkit.Node) { load.sendOne(n, "/reservations", 300*time.Millisecond) }
	ops := startOperators(loadCtx, c, observer, texts, services, plan, seed)
	for i, pools := range plan.waves {
		ops.startWave("wave-"+strconv.Itoa(i), pools...)
	}
	x.run(plan.duration, plan.faultInterval)
	healedAt := time.Now()
	stopLoad()
	ops.wg.Wait()
	load.wg.Wait()
	end := observer.offset()
	var notCaughtUp []string
	defer func() {
		for _, b := range notCaughtUp {
			t.Log("not caught up: " + b)
		}
	}()
	c.Until("every daemon is ready and acts on the end of the log", func() bool {
		notCaughtUp = observer.notCaughtUp(healedAt, end)
		return len(notCaughtUp) == 0
	})
	final := c.Standin.Counters()
	cancel()
	observer.pollers.Wait()

	e := &evidence{
		startedAt: x.startedAt, records: observer.records, statuses: observer.statuses, counters: observer.counters,
		attempts: load.attempts, nodeFaults: append(x.nodeFaults, stalls.onNodes(c.Nodes)...), operators: ops, final: final,
	}
	logSummary(t, e, x, load, observer)
	guarantees := e.checkAll()
	printTable(t.Output(), guarantees)
	for _, p := range guarantees {
		for _, broken := range p.violations[:min(len(p.violations), 5)] {
			t.Errorf("%s: %s", p.name, broken)
		}
	}
}

// logSummary logs the faults, attempts, latencies and records of a run.
func logSummary(t *testing.T, e *evidence, x *chaos, load *callers, observer *observer) {
	for _, name := range slices.Sorted(maps.Keys(x.faultCounts)) {
		t.Logf("%4d times: %s", x.faultCounts[name], name)
	}
	outcomes := map[outcome.Outcome]int{}
	unknown := map[outcome.Reason]int{}
	for _, a := range e.attempts {
		if a.Err != nil {
			outcomes["broke off"]++
			continue
		}
		outcomes[a.Outcome]++
		if a.Outcome == outcome.Unknown {
			unknown[a.Reason]++
		}
	}
	t.Logf("%d attempts: %v; unknown by reason: %v", len(e.attempts), outcomes, unknown)
	for class, h := range load.latency {
		t.Logf("%s requests that ran: p50 %.1f ms, p99 %.1f ms, max %.1f ms", class,
			float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000, float64(h.Max())/1000)
	}
	t.Logf("%d documents accepted, %d publishes with unknown outcome, %d jobs", len(e.operators.accepted), e.operators.unknownOutcomes, e.operators.jobs)
	drains := map[record.DrainReason]int{}
	joins := 0
	for _, l := range e.records {
		if l.outcome.Status != ledger.Effective {
			continue
		}
		switch b := l.rec.Body.(type) {
		case record.VMDrain:
			drains[b.Reason]++
		case record.VMJoin:
			joins++
		}
	}
	t.Logf("drains by reason %v, %d joins of pools, %d records", drains, joins, len(e.records))
	t.Logf("%d runs lost with their VM, %d abandoned runs cut, %.0f appends/s",
		e.final.Backends.LostInFlight, e.final.Backends.CutAbandoned, e.final.Log.AppendsPerSecond)
	observer.withState(func(s *ledger.State) {
		for id, wave := range s.Waves {
			counts := map[ledger.WaveProgress]int{}
			for _, progress := range wave.VMs {
				counts[progress]++
			}
			t.Logf("wave %s: %s %v", id, wave.Status, counts)
		}
	})
}

package proof

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/operator"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/settings"
	"github.com/yuccadrift/yuccadrift/internal/standin"
	"github.com/yuccadrift/yuccadrift/internal/testkit"
)

// Paces of the observers.
const (
	statusPause  = 200 * time.Millisecond
	counterPause = 250 * time.Millisecond
	askTimeout   = 300 * time.Millisecond
)

// logged is one record of the log with its outcome and when it was seen, which
// is at or after it took effect; rec.Time is before.
type logged struct {
	at     time.Time
	offset uint64
	rec    record.Record
	out    ledger.Outcome
}

// reported is one answer of a daemon about itself.
type reported struct {
	asked  time.Time
	daemon string
	node   string
	operator.Status
}

// counted is one look at the backend servers' counters.
type counted struct {
	asked time.Time
	vms   map[string]standin.VMCounters
}

// watch observes a cluster past all links: the log, each daemon's word about
// itself, and the backend servers' counters.
type watch struct {
	c  *testkit.Cluster
	wg sync.WaitGroup

	mu       sync.Mutex
	state    *ledger.State
	log      []logged
	reports  []reported
	counters []counted
}

func startWatch(ctx context.Context, c *testkit.Cluster) *watch {
	w := &watch{c: c, state: ledger.New()}
	w.wg.Go(func() { w.followLog(ctx) })
	w.wg.Go(func() { w.every(ctx, counterPause, w.count) })
	for _, n := range c.Nodes {
		for daemon, address := range map[string]string{n.Name: n.EntryPeers(), n.Name + "-steward": n.StewardPeers()} {
			w.wg.Go(func() { w.askStatus(ctx, daemon, n.Name, address) })
		}
	}
	return w
}

func (w *watch) every(ctx context.Context, pause time.Duration, look func()) {
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			look()
		}
	}
}

func (w *watch) followLog(ctx context.Context) {
	const most = 1000
	next := platform.Offset(1)
	for ctx.Err() == nil {
		batch, err := w.c.Standin.Client.Read(ctx, settings.DefaultStream, next, most, time.Second)
		if err != nil {
			continue // a fault of the log, or the end of the test
		}
		w.fold(batch.Entries)
		next += platform.Offset(len(batch.Entries))
	}
}

func (w *watch) fold(entries []platform.Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range entries {
		out := w.state.ApplyData(uint64(e.Offset), e.Data)
		rec, err := record.Decode(e.Data)
		if err == nil {
			w.log = append(w.log, logged{at: time.Now(), offset: uint64(e.Offset), rec: rec, out: out})
		}
	}
}

func (w *watch) askStatus(ctx context.Context, daemon, node, address string) {
	client, err := operator.NewClient(address)
	if err != nil {
		panic(err)
	}
	defer client.Close()
	w.every(ctx, statusPause, func() {
		asked := time.Now()
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		status, err := client.Status(ctx)
		if err != nil {
			return // the process is gone, paused or starting
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.reports = append(w.reports, reported{asked: asked, daemon: daemon, node: node, Status: status})
	})
}

func (w *watch) count() {
	asked := time.Now()
	vms := w.c.Standin.VMCounters()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counters = append(w.counters, counted{asked: asked, vms: vms})
}

// view calls f with the folded log.
func (w *watch) view(f func(*ledger.State)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w.state)
}

// offset returns the end of the log.
func (w *watch) offset() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.Offset
}

// behind returns the daemons that have not said, asked after since, that they
// are ready and act on offset.
func (w *watch) behind(since time.Time, offset uint64) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	latest := map[string]reported{}
	for _, r := range w.reports {
		latest[r.daemon] = r
	}
	var behind []string
	for _, n := range w.c.Nodes {
		for _, daemon := range []string{n.Name, n.Name + "-steward"} {
			r := latest[daemon]
			if r.asked.Before(since) || len(r.Unready) > 0 || r.ActingOffset < offset {
				behind = append(behind, fmt.Sprintf("%s: asked %s, unready %q, acts on %d of %d", daemon, r.asked.Format(time.TimeOnly), r.Unready, r.ActingOffset, offset))
			}
		}
	}
	return behind
}

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

// Intervals and timeout of the observer.
const (
	statusInterval  = 200 * time.Millisecond
	counterInterval = 250 * time.Millisecond
	statusTimeout   = 300 * time.Millisecond
)

// observedRecord is one record of the log with its outcome. seenAt is not before the record took
// effect, rec.Time is not after.
type observedRecord struct {
	seenAt  time.Time
	offset  uint64
	rec     record.Record
	outcome ledger.Outcome
}

// statusReport is one status answer of a daemon.
type statusReport struct {
	askedAt time.Time
	daemon  string
	node    string
	operator.Status
}

// counterSnapshot is one reading of the backend servers' counters.
type counterSnapshot struct {
	askedAt time.Time
	vms     map[string]standin.VMCounters
}

// observer collects the records of the log, the status of each daemon and the backend servers'
// counters, without links.
type observer struct {
	cluster *testkit.Cluster
	pollers sync.WaitGroup

	mu       sync.Mutex
	state    *ledger.State
	records  []observedRecord
	statuses []statusReport
	counters []counterSnapshot
}

func startObserver(ctx context.Context, c *testkit.Cluster) *observer {
	w := &observer{cluster: c, state: ledger.New()}
	w.pollers.Go(func() { w.followLog(ctx) })
	w.pollers.Go(func() { w.every(ctx, counterInterval, w.readCounters) })
	for _, n := range c.Nodes {
		for daemon, address := range map[string]string{n.Name: n.EntryPeerAddress(), n.Name + "-steward": n.StewardPeerAddress()} {
			w.pollers.Go(func() { w.pollStatus(ctx, daemon, n.Name, address) })
		}
	}
	return w
}

func (w *observer) every(ctx context.Context, pause time.Duration, observe func()) {
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			observe()
		}
	}
}

func (w *observer) followLog(ctx context.Context) {
	const limit = 1000
	next := platform.Offset(1)
	for ctx.Err() == nil {
		batch, err := w.cluster.Standin.Client.Read(ctx, settings.DefaultStream, next, limit, time.Second)
		if err != nil {
			continue // the log has a fault, or the test has ended
		}
		w.fold(batch.Entries)
		next += platform.Offset(len(batch.Entries))
	}
}

func (w *observer) fold(entries []platform.Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range entries {
		out := w.state.ApplyData(uint64(e.Offset), e.Data)
		rec, err := record.Decode(e.Data)
		if err == nil {
			w.records = append(w.records, observedRecord{seenAt: time.Now(), offset: uint64(e.Offset), rec: rec, outcome: out})
		}
	}
}

func (w *observer) pollStatus(ctx context.Context, daemon, node, address string) {
	client, err := operator.NewClient(address)
	if err != nil {
		panic(err)
	}
	defer client.Close()
	w.every(ctx, statusInterval, func() {
		asked := time.Now()
		ctx, cancel := context.WithTimeout(ctx, statusTimeout)
		defer cancel()
		status, err := client.Status(ctx)
		if err != nil {
			return // the process is down, paused or starting
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.statuses = append(w.statuses, statusReport{askedAt: asked, daemon: daemon, node: node, Status: status})
	})
}

func (w *observer) readCounters() {
	asked := time.Now()
	vms := w.cluster.Standin.VMCounters()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counters = append(w.counters, counterSnapshot{askedAt: asked, vms: vms})
}

// withState calls f with the state that results from the records read so far. f must not keep it.
func (w *observer) withState(f func(*ledger.State)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w.state)
}

// offset returns the offset up to which the observer has applied the log.
func (w *observer) offset() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.Offset
}

// notCaughtUp describes the daemons whose latest status, queried after since, doesn't show that they
// are ready and act on offset.
func (w *observer) notCaughtUp(since time.Time, offset uint64) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	latest := map[string]statusReport{}
	for _, r := range w.statuses {
		latest[r.daemon] = r
	}
	var behind []string
	for _, n := range w.cluster.Nodes {
		for _, daemon := range []string{n.Name, n.Name + "-steward"} {
			r := latest[daemon]
			if r.askedAt.Before(since) || len(r.Unready) > 0 || r.ActingOffset < offset {
				behind = append(behind, fmt.Sprintf("%s: asked %s, unready %q, acts on %d of %d", daemon, r.askedAt.Format(time.TimeOnly), r.Unready, r.ActingOffset, offset))
			}
		}
	}
	return behind
}

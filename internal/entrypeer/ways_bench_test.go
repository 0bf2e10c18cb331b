package entrypeer

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"github.com/yuccadrift/yuccadrift/internal/claim"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/standin"
)

// logClaims is the way weighed against owners in memory: each claim is an entry
// of a stream of the log, and the first entry of a key holds it. Results are
// entries too, and nobody waits for them.
type logClaims struct {
	log      platform.Log
	appender *platform.Appender

	mu      sync.Mutex
	holders map[claim.Key]claim.Attempt
	waiting map[claim.Attempt]chan bool
}

type logEntry struct {
	Key     claim.Key
	Attempt claim.Attempt
	End     claim.End
	Over    bool
}

const claimStream = "claims"

func newLogClaims(log platform.Log, rate float64) *logClaims {
	return &logClaims{
		log:      log,
		appender: platform.NewAppender(log, claimStream, platform.AppenderOptions{Rate: rate}),
		holders:  map[claim.Key]claim.Attempt{},
		waiting:  map[claim.Attempt]chan bool{},
	}
}

// follow folds the stream.
func (l *logClaims) follow(ctx context.Context) {
	for from := platform.Offset(1); ctx.Err() == nil; {
		batch, err := l.log.Read(ctx, claimStream, from, 1000, time.Second)
		if err != nil {
			sleep(ctx, 50*time.Millisecond)
			continue
		}
		l.mu.Lock()
		for _, raw := range batch.Entries {
			from = raw.Offset + 1
			l.fold(raw.Data)
		}
		l.mu.Unlock()
	}
}

func (l *logClaims) fold(data []byte) {
	var e logEntry
	if json.Unmarshal(data, &e) != nil || e.Over {
		return
	}
	if _, held := l.holders[e.Key]; !held {
		l.holders[e.Key] = e.Attempt
	}
	if ch := l.waiting[e.Attempt]; ch != nil {
		ch <- l.holders[e.Key] == e.Attempt
		delete(l.waiting, e.Attempt)
	}
}

// Claim implements Claimer.
func (l *logClaims) Claim(ctx context.Context, req claim.Request) claim.Decision {
	attempt := claim.Attempt{ID: ulid.Make()}
	granted := make(chan bool, 1)
	l.mu.Lock()
	l.waiting[attempt] = granted
	l.mu.Unlock()
	data, _ := json.Marshal(logEntry{Key: req.Key, Attempt: attempt})
	if _, err := l.appender.Append(ctx, data); err != nil {
		return claim.Decision{Verdict: claim.NotRun, Reason: claim.ReasonUnreachable}
	}
	select {
	case ok := <-granted:
		if ok {
			return claim.Decision{Verdict: claim.Granted, Attempt: attempt}
		}
	case <-ctx.Done():
	}
	return claim.Decision{Verdict: claim.Unknown}
}

// Report implements Claimer.
func (l *logClaims) Report(res claim.Result) {
	data, _ := json.Marshal(logEntry{Key: res.Key, Attempt: res.Attempt, End: res.End, Over: true})
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, _ = l.appender.Append(ctx, data)
	}()
}

// countedLog counts appends.
type countedLog struct {
	platform.Log
	appends atomic.Int64
}

func (c *countedLog) Append(ctx context.Context, stream string, entries [][]byte) (platform.Offset, error) {
	c.appends.Add(1)
	return c.Log.Append(ctx, stream, entries)
}

// ownerNodes returns nodes on loopback that have joined each other.
func ownerNodes(b *testing.B, count int) []*Node {
	var nodes []*Node
	var refs []ledger.MemberRef
	var names []string
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		n := NewNode(NodeConfig{Logger: hclog.NewNullLogger(), CallTimeout: 5 * time.Second, Patience: 5 * time.Second})
		server := grpc.NewServer()
		n.Register(server)
		go func() { _ = server.Serve(l) }()
		go func() { _ = n.Serve(b.Context()) }()
		b.Cleanup(func() { server.Stop(); n.Close() })
		nodes = append(nodes, n)
		refs = append(refs, ledger.MemberRef{Name: l.Addr().String(), Address: l.Addr().String()})
		names = append(names, l.Addr().String())
	}
	for i, n := range nodes {
		cfg := testConfig()
		cfg.MaxRecords = 10_000_000
		m := NewMember(MemberConfig{Name: names[i], Claim: cfg})
		m.Join(nil, ledger.MemberChange{Offset: 1, Joined: refs})
		m.SetElectorate([]string{names[i]})
		n.Begin(m)
	}
	return nodes
}

// BenchmarkClaimWays measures what a claim and its report add to a request, with
// one and eight requests at a time at each of 8 entry VMs: owners in memory that
// are asked over gRPC, against one log entry for each claim, batched, at the
// log's ceiling of 400 appends a second, with and without 5 ms that an append or
// read takes.
func BenchmarkClaimWays(b *testing.B) {
	for _, callers := range []int{vms, 8 * vms} {
		benchmarkWays(b, callers)
	}
}

// vms is the number of entry VMs measured.
const vms = 8

func benchmarkWays(b *testing.B, callers int) {
	b.Run(fmt.Sprintf("owners/%d", callers), func(b *testing.B) {
		nodes := ownerNodes(b, vms)
		measureClaims(b, callers, func(i int) Claimer { return nodes[i%vms] })
	})
	for _, delay := range []time.Duration{0, 5 * time.Millisecond} {
		b.Run(fmt.Sprintf("log+%s/%d", delay, callers), func(b *testing.B) {
			fake := standin.New(standin.Options{})
			if delay > 0 {
				_, err := fake.Order(standin.Fault{Kind: standin.LogSlow, DelayMS: delay.Milliseconds()})
				require.NoError(b, err)
			}
			counted := &countedLog{Log: fake}
			var ways []*logClaims
			for range vms {
				l := newLogClaims(counted, standin.DefaultAppendsPerSecond/vms)
				go func() { _ = l.appender.Serve(b.Context()) }()
				go l.follow(b.Context())
				ways = append(ways, l)
			}
			began := time.Now()
			measureClaims(b, callers, func(i int) Claimer { return ways[i%vms] })
			b.ReportMetric(float64(counted.appends.Load())/time.Since(began).Seconds(), "appends/s")
		})
	}
}

func measureClaims(b *testing.B, callers int, at func(i int) Claimer) {
	var next atomic.Int64
	took := make([]time.Duration, b.N)
	var wg sync.WaitGroup
	began := time.Now()
	for i := range callers {
		claimer := at(i)
		wg.Go(func() {
			for n := next.Add(1) - 1; n < int64(b.N); n = next.Add(1) - 1 {
				req := freshRequest()
				start := time.Now()
				d := claimer.Claim(b.Context(), req)
				took[n] = time.Since(start)
				if d.Verdict != claim.Granted {
					b.Errorf("%v %s", d.Verdict, d.Reason)
					return
				}
				claimer.Report(claim.Result{Key: req.Key, Attempt: d.Attempt, End: claim.EndRan})
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64(b.N)/time.Since(began).Seconds(), "claims/s")
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "p99-ms")
	b.ReportMetric(0, "ns/op")
}

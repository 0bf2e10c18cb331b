package requests

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/bench/figure"
	"github.com/yuccadrift/yuccadrift/internal/standin"
)

const (
	pathReply = 1000 // bytes
	// maxPathLatency is the largest latency that the histogram can record.
	maxPathLatency = time.Minute
	// pathPrecision is the number of significant digits in the histogram.
	pathPrecision = 3
)

// Path compares calls to backend servers with the same calls through an entry, in
// one process, with one caller and with 12 concurrent callers. Processor time and
// allocations are per call and of the whole process, including the client and the
// backend servers. The difference to direct calls is the entry's own share.
func Path(ctx context.Context, runs, requests int) ([]figure.Table, error) {
	r, err := Open(ctx, Options{
		Zones: []string{"a", "b", "c"}, Backends: 3, Entries: 1, Claims: LocalClaims(), Logger: hclog.NewNullLogger(),
	})
	if err != nil {
		return nil, err
	}
	defer r.Close()
	list, err := r.Platform.List(ctx)
	if err != nil {
		return nil, err
	}
	var direct []string
	for _, vm := range list.VMs {
		direct = append(direct, "http://"+vm.Address+"/lookup")
	}
	viaEntry := []string{"http://" + r.Entries[0].Target + "/booking/lookup"}
	table := figure.Table{
		Title:      "a call through an entry and directly (plain)",
		Labels:     []string{"at once", "way"},
		Quantities: []string{"p50 us", "p99 us", "calls a second", "processor us a call", "allocations a call"},
	}
	for _, callers := range []int{1, 12} {
		for _, way := range []struct {
			name string
			urls []string
		}{{"direct", direct}, {"through", viaEntry}} {
			samples, err := figure.Collect(runs, func(uint64) ([]float64, error) {
				return pathCase{way.urls, callers, requests}.run(ctx)
			})
			if err != nil {
				return nil, err
			}
			table.Add(samples, strconv.Itoa(callers), way.name)
		}
	}
	return []figure.Table{table}, nil
}

// pathCase is a number of requests by concurrent callers. Each caller uses one of
// the URLs.
type pathCase struct {
	urls     []string
	callers  int
	requests int
}

func (p pathCase) run(ctx context.Context) ([]float64, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: p.callers, DisableCompression: true}}
	defer client.CloseIdleConnections()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu, began := processorTime(), time.Now()
	took, err := p.callAll(ctx, client)
	if err != nil {
		return nil, err
	}
	seconds := time.Since(began).Seconds()
	cpu = processorTime() - cpu
	runtime.ReadMemStats(&after)
	n := float64(p.requests)
	return []float64{
		float64(took.ValueAtQuantile(50)), float64(took.ValueAtQuantile(99)), n / seconds,
		float64(cpu.Microseconds()) / n, float64(after.Mallocs-before.Mallocs) / n,
	}, nil
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxPathLatency.Microseconds(), pathPrecision)
}

// callAll makes all calls and returns their latencies in microseconds.
func (p pathCase) callAll(ctx context.Context, client *http.Client) (*hdrhistogram.Histogram, error) {
	var remaining atomic.Int64
	remaining.Store(int64(p.requests))
	took := newHistogram()
	var failed error
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range p.callers {
		wg.Go(func() {
			ownLatencies := newHistogram()
			var err error
			for err == nil && remaining.Add(-1) >= 0 {
				began := time.Now()
				err = call(ctx, client, p.urls[i%len(p.urls)])
				_ = ownLatencies.RecordValue(max(1, time.Since(began).Microseconds()))
			}
			mu.Lock()
			defer mu.Unlock()
			took.Merge(ownLatencies)
			if err != nil {
				failed = err
			}
		})
	}
	wg.Wait()
	return took, failed
}

// call makes one call. It returns an error if the answer is incomplete.
func call(ctx context.Context, client *http.Client, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return err
	}
	req.Header.Set(standin.HeaderReplyBytes, strconv.Itoa(pathReply))
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	n, err := io.Copy(io.Discard, res.Body)
	if err == nil && n != pathReply {
		err = errors.Errorf("answer of %d bytes, expected %d", n, pathReply)
	}
	return err
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

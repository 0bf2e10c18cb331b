package entry_test

import (
	"bytes"
	"io"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/standin"
)

// BenchmarkPath compares a call of a backend server with the same call through
// an entry, in one process: latency one call at a time, and throughput with 12
// at once. cpu-us and allocs are per call over the whole process, client and
// backend server included; the entry's own are the difference to direct.
func BenchmarkPath(b *testing.B) {
	r := newRig(b, localClaims())
	list, err := r.fake.List(b.Context())
	require.NoError(b, err)
	var direct []string
	for _, vm := range list.VMs {
		direct = append(direct, "http://"+vm.Address+"/lookup")
	}
	through := []string{r.url + "/booking/lookup"}
	for _, at := range []struct {
		name    string
		callers int
	}{{"one-at-a-time", 1}, {"12-at-once", 12}} {
		b.Run(at.name+"/direct", func(b *testing.B) { path(b, direct, at.callers) })
		b.Run(at.name+"/through", func(b *testing.B) { path(b, through, at.callers) })
	}
}

func path(b *testing.B, urls []string, callers int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers, DisableCompression: true}}
	defer client.CloseIdleConnections()
	var left atomic.Int64
	left.Store(int64(b.N))
	took := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := processorTime()
	b.ResetTimer()
	for i := range callers {
		wg.Go(func() {
			own := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			for left.Add(-1) >= 0 {
				began := time.Now()
				call(b, client, urls[i%len(urls)])
				_ = own.RecordValue(max(1, time.Since(began).Microseconds()))
			}
			mu.Lock()
			defer mu.Unlock()
			took.Merge(own)
		})
	}
	wg.Wait()
	b.StopTimer()
	runtime.ReadMemStats(&after)
	n := float64(b.N)
	b.ReportMetric(float64(took.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(took.ValueAtQuantile(99)), "p99-us")
	b.ReportMetric(n/b.Elapsed().Seconds(), "calls/s")
	b.ReportMetric(float64((processorTime()-cpu).Microseconds())/n, "cpu-us/call")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/n, "mallocs/call")
}

func call(b *testing.B, client *http.Client, url string) {
	req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, url, bytes.NewReader(nil))
	if err != nil {
		b.Error(err)
		return
	}
	req.Header.Set(standin.HeaderReplyBytes, "1000")
	res, err := client.Do(req)
	if err != nil {
		b.Error(err)
		return
	}
	defer res.Body.Close()
	if n, err := io.Copy(io.Discard, res.Body); n != 1000 || err != nil {
		b.Errorf("%d bytes: %v", n, err)
	}
}

// processorTime is the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

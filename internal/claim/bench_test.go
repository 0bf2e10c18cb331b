package claim

import (
	"encoding/binary"
	"runtime"
	"testing"
	"time"
)

type alwaysValid struct{}

func (alwaysValid) Valid(Instant) bool { return true }

// BenchmarkOwnerClaim measures one claim and its report at an owner among 8
// members, and the memory used per key.
func BenchmarkOwnerClaim(b *testing.B) {
	cfg := modelClaim
	cfg.Window = time.Hour
	cfg.MaxRecords = 1 << 30
	o := NewOwner(cfg, "m0", alwaysValid{})
	o.Join(Instant{}, nil, Change{Offset: 1, Joined: []string{"m0"}})
	others := []string{"m1", "m2", "m3", "m4", "m5", "m6", "m7"}
	now := Instant{Wall: epoch}
	heap := func() uint64 {
		var s runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&s)
		return s.HeapAlloc
	}
	before := heap()
	b.ResetTimer()
	for i := range b.N {
		k := Key{Service: "orders"}
		binary.BigEndian.PutUint64(k.ID[:8], uint64(epoch.UnixMilli())<<16)
		binary.BigEndian.PutUint64(k.ID[8:], uint64(i))
		_ = ownerOf(others, k) // computed by an owner among 8 in addition
		a := Attempt{Holder: "m0", ID: k.ID}
		if r := o.Claim(now, Request{Key: k}, a, epoch.Add(time.Minute)); r.Code != CodeGranted {
			b.Fatal(r)
		}
		o.Report(now, Result{Key: k, Attempt: a, End: EndRan})
	}
	b.StopTimer()
	b.ReportMetric(float64(heap()-before)/float64(b.N), "B/key")
	runtime.KeepAlive(o)
}

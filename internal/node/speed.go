package node

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccadrift/yuccadrift/internal/slowdown"
	"github.com/yuccadrift/yuccadrift/internal/wait"
)

const (
	// speedSampleBytes is how much one computation hashes: some 10 us of a core, long beside the
	// resolution of the clock.
	speedSampleBytes = 128 << 10
	// speedSampleRepeats is how often it is repeated for one sample. The fastest counts, as others may
	// be interrupted.
	speedSampleRepeats = 3
	// idleSpeedInterval replaces slowdown.SampleInterval while the node owns nothing.
	idleSpeedInterval = time.Second
)

// watchSpeed measures, while the node owns a partition, whether its VM is slowed, and tells the membership.
func (n *Node) watchSpeed(ctx context.Context) error {
	var detector slowdown.Detector
	data := make([]byte, speedSampleBytes)
	for ctx.Err() == nil {
		if detector.Factor() == 1 && !n.manager.OwnsPartition() {
			wait.Pause(ctx, idleSpeedInterval)
			continue
		}
		wait.Pause(ctx, slowdown.SampleInterval)
		sample := sampleSpeed(data)
		if detector.Add(sample) {
			n.logger.Warn("speed of the VM has changed", "factor", detector.Factor(), "sample_us", sample.Microseconds())
			n.manager.SetSlowdown(detector.Factor())
			n.slowdown.Set(detector.Factor())
		}
	}
	return ctx.Err()
}

// sampleSpeed returns how long the computation takes at best.
func sampleSpeed(data []byte) time.Duration {
	var fastest time.Duration
	for i := range speedSampleRepeats {
		began := time.Now()
		data[0] = byte(xxhash.Sum64(data)) // the result is used, so that the compiler keeps the call
		if took := time.Since(began); i == 0 || took < fastest {
			fastest = took
		}
	}
	return fastest
}

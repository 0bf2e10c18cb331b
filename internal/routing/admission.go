package routing

import (
	"math"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/document"
)

// Tuning of what is kept free for quick requests.
const (
	// reserveShare is the least share of a backend's slots that long requests
	// leave free. Long requests hold slots for seconds, so slots that they took
	// could not be got back when quick ones come.
	reserveShare = 0.125
	// demandHalfLife is how fast the memory of the quick requests' need fades.
	demandHalfLife = 2 * time.Second
)

// demand follows how many slots each class uses through this process.
type demand struct {
	quick   int
	long    int
	peak    float64 // decaying peak of quick, at peakAt
	peakAt  time.Time
	started bool
}

func (d *demand) start(now time.Time, c document.Class) {
	if c == document.ClassLong {
		d.long++
		return
	}
	d.quick++
	d.peak = math.Max(d.decayed(now), float64(d.quick))
	d.peakAt = now
	d.started = true
}

func (d *demand) end(c document.Class) {
	if c == document.ClassLong {
		d.long--
		return
	}
	d.quick--
}

func (d *demand) decayed(now time.Time) float64 {
	if !d.started {
		return 0
	}
	return d.peak * math.Exp2(-float64(now.Sub(d.peakAt))/float64(demandHalfLife))
}

// longFits reports whether one more long request leaves this process's share of
// the pool's slots enough room for quick ones.
func (p *Pool) longFits(now time.Time) bool {
	share := float64(p.slots*len(p.listed)) / float64(p.members)
	keep := math.Max(share*reserveShare, p.demand.decayed(now))
	// A process whose share is below one slot may still run one long request.
	return p.demand.long == 0 || float64(p.demand.long+1) <= share-keep
}

// reservePerBackend is the slots of one backend that long requests leave free.
func (p *Pool) reservePerBackend() int {
	if p.slots < 2 {
		return 0
	}
	return max(1, int(reserveShare*float64(p.slots)))
}

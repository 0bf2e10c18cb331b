package routing

import (
	"math"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/document"
)

// Slots that long requests leave free for quick ones.
const (
	// reserveShare is the minimum share of a backend's slots that long requests leave
	// free. Long requests use slots for seconds, so quick requests could not get these
	// slots back in time.
	reserveShare = 0.125
	// demandHalfLife is the half-life of the measured demand of quick requests.
	demandHalfLife = time.Second
	// slotsPerShedRequest is the demand in slots that one shed quick request adds. A few
	// shed requests at the limit of the load must not stop long requests, but many
	// must.
	slotsPerShedRequest = 0.25
)

// demand tracks how many slots each class uses through this process.
type demand struct {
	quick       int
	long        int
	meanQuick   float64 // decaying mean of quick at meanQuickAt
	meanQuickAt time.Time
}

func (d *demand) start(now time.Time, c document.Class) {
	if c == document.ClassLong {
		d.long++
		return
	}
	d.quick++
	if d.meanQuickAt.IsZero() {
		d.meanQuickAt = now
	}
	old := d.decay(now)
	d.meanQuick = old*d.meanQuick + (1-old)*float64(d.quick)
	d.meanQuickAt = now
}

func (d *demand) end(c document.Class) {
	if c == document.ClassLong {
		d.long--
		return
	}
	d.quick--
}

// decay returns the weight of meanQuick at now.
func (d *demand) decay(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(d.meanQuickAt)) / float64(demandHalfLife))
}

// RecordShed records a quick request that found no slot, and raises the demand of
// quick requests at the cost of long ones. Measured by slots in use alone, quick
// requests that long ones displace would appear to need ever fewer slots.
func (p *Pool) RecordShed(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := &p.demand
	d.meanQuick = math.Min(d.decay(now)*d.meanQuick+slotsPerShedRequest, p.share())
	d.meanQuickAt = now
}

// share returns this process's equal share of the pool's slots.
func (p *Pool) share() float64 {
	return float64(p.slots*len(p.inTable)) / float64(p.members)
}

// admitsLong reports whether one more long request leaves enough of this process's
// share of the pool's slots for quick requests.
func (p *Pool) admitsLong(now time.Time) bool {
	share := p.share()
	keep := math.Max(share*reserveShare, p.demand.decay(now)*p.demand.meanQuick)
	// A process whose share is below one slot may still run one long request.
	return p.demand.long == 0 || float64(p.demand.long+1) <= share-keep
}

// reservePerBackend returns how many slots of one backend long requests leave free.
func (p *Pool) reservePerBackend() int {
	if p.slots < 2 {
		return 0
	}
	return max(1, int(reserveShare*float64(p.slots)))
}

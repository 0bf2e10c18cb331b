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
	demandHalfLife = time.Second
	// slotsPerShedRequest is how much of a slot one shed quick request takes from long
	// ones: a few sheds at the edge of the load must not stop long requests,
	// many must.
	slotsPerShedRequest = 0.25
)

// demand follows how many slots each class uses through this process.
type demand struct {
	quick       int
	long        int
	meanQuick   float64 // decaying mean of quick, at needAt
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

// decay is what the past mean counts for at now.
func (d *demand) decay(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(d.meanQuickAt)) / float64(demandHalfLife))
}

// RecordShed notes a quick request that found no slot. Each takes some room from long
// requests: by slots in use alone, quick requests that long ones crowd out
// would seem to need fewer and fewer.
func (p *Pool) RecordShed(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := &p.demand
	d.meanQuick = math.Min(d.decay(now)*d.meanQuick+slotsPerShedRequest, p.share())
	d.meanQuickAt = now
}

// share is the slots that fall to this process when all use the pool alike.
func (p *Pool) share() float64 {
	return float64(p.slots*len(p.listed)) / float64(p.members)
}

// admitsLong reports whether one more long request leaves this process's share of
// the pool's slots enough room for quick ones.
func (p *Pool) admitsLong(now time.Time) bool {
	share := p.share()
	keep := math.Max(share*reserveShare, p.demand.decay(now)*p.demand.meanQuick)
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

package fleet

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// The load of a service that peaks once: nearly nothing, then within 2 s
// a full rate of quick jobs that one pool can't bear, and as quickly nothing again.
// Work of a job and size of a VM are such that the full rate fills 24 VMs.
const (
	quietRate = 0.6  // jobs a second
	fullRate  = 46.0 // jobs a second
	riseTime  = 2 * time.Second
	peakBegin = 10 * time.Second
	peakEnd   = 18 * time.Second
	jobCoreMS = 8350
	lookPause = 200 * time.Millisecond
	fullVMs   = 24.0
)

var demandVM = workload.Resources{CPU: 16000, MemoryMB: 65536}

// peakRate is the rate at a time since the beginning.
func peakRate(at time.Duration) float64 {
	rise := min(1, max(0, (at-peakBegin).Seconds()/riseTime.Seconds()))
	fall := min(1, max(0, (peakEnd-at).Seconds()/riseTime.Seconds()))
	return quietRate + (fullRate-quietRate)*min(rise, fall)
}

// look is what the demand says at a time.
type look struct {
	at          time.Duration
	held, ahead float64 // VMs
	fell        bool
}

// playArrivals feeds random arrivals of a rate and returns what was seen.
func playArrivals(seed uint64, rate func(at time.Duration) float64, length time.Duration) []look {
	random := rand.New(rand.NewPCG(seed, seed))
	var d demand
	var work workload.Work
	var looks []look
	const tick = 5 * time.Millisecond
	begin := time.UnixMilli(1_700_000_000_000)
	for at := time.Duration(0); at < length; at += tick {
		if random.Float64() < rate(at)*tick.Seconds() {
			work.Jobs++
			work.CoreMS += int64(jobCoreMS * (0.4 + 1.2*random.Float64()))
		}
		if at%lookPause == 0 {
			fell := d.observe(work, begin.Add(at))
			looks = append(looks, look{at: at, held: d.vms(d.rate, demandVM), ahead: d.vms(d.ahead(reaction), demandVM), fell: fell})
		}
	}
	return looks
}

const demandSeeds = 200

// A peak begins. VMs take over two seconds to come and a quick job can wait for one,
// so most of them must be asked for while the rate is still rising.
func TestRiseIsSeenWhileItRises(t *testing.T) {
	late := 0
	for seed := range uint64(demandSeeds) {
		most := 0.0
		for _, l := range playArrivals(seed, peakRate, peakBegin+1200*time.Millisecond) {
			if l.at >= peakBegin {
				most = max(most, l.ahead)
			}
		}
		if most < fullVMs*2/3 {
			late++
		}
	}
	assert.LessOrEqual(t, late, demandSeeds/10, "most of the VMs are asked for 1.2 s after the peak began")
}

// The rate is full and stays so. Chance looks like a rise again and again; a pool
// that kept VMs for it would hold all there are until long after its peak.
func TestChanceIsNotKeptAsDemand(t *testing.T) {
	held, over := 0, 0
	for seed := range uint64(demandSeeds) {
		for _, l := range playArrivals(seed, peakRate, peakEnd-riseTime) {
			if l.at > peakBegin+2*riseTime {
				held++
				if l.held > fullVMs*3/2 {
					over++
				}
			}
		}
	}
	assert.LessOrEqual(t, over, held/20)
}

// The peak ends. What was needed in it is forgotten soon, so that the VMs can go to
// the service whose peak begins.
func TestFallIsSeenSoon(t *testing.T) {
	late := 0
	for seed := range uint64(demandSeeds) {
		fell := time.Duration(0)
		for _, l := range playArrivals(seed, peakRate, peakEnd+3*time.Second) {
			if l.at > peakEnd-riseTime && l.fell && fell == 0 {
				fell = l.at
			}
		}
		if fell == 0 || fell > peakEnd+600*time.Millisecond {
			late++
		}
	}
	assert.LessOrEqual(t, late, demandSeeds/10)
}

// The rate never changes. Each fall that is seen by chance costs VMs that are missed
// and moved back.
func TestSteadyDemandIsNotTakenForAFall(t *testing.T) {
	looks, falls := 0, 0
	for seed := range uint64(demandSeeds) {
		for _, l := range playArrivals(seed, func(time.Duration) float64 { return 6 }, 30*time.Second) {
			looks++
			if l.fell {
				falls++
			}
		}
	}
	assert.LessOrEqual(t, falls, looks/200)
}

// Another owner counts arrivals from anew, in the middle of a peak. The rate stands
// meanwhile: a pool that lost its VMs for it would be short of them for seconds.
func TestRateSurvivesAChangeOfOwner(t *testing.T) {
	var d demand
	begin := time.UnixMilli(1_700_000_000_000)
	work := workload.Work{}
	for i := range 20 {
		if i == 12 {
			work = workload.Work{}
		}
		work.Jobs += 9
		work.CoreMS += 9 * jobCoreMS
		d.observe(work, begin.Add(time.Duration(i)*lookPause))
		if i >= 5 {
			assert.InDelta(t, 45, d.rate, 5, "look %d", i)
		}
	}
}

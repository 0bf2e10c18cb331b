package fleet

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// The arrivals at a pool with one peak: the rate rises from baseRate to fullRate within riseTime, and falls as quickly.
// By the work of a job and the size of a VM, fullRate keeps 24 VMs busy.
const (
	baseRate       = 0.6  // jobs per second
	fullRate       = 46.0 // jobs per second
	riseTime       = 2 * time.Second
	peakBegin      = 10 * time.Second
	peakEnd        = 18 * time.Second
	jobCoreMS      = 8350
	sampleInterval = 200 * time.Millisecond
	fullRateVMs    = 24.0
)

var demandVM = workload.Resources{CPU: 16000, MemoryMB: 65536}

// rateWithPeak returns the rate at a time since the beginning.
func rateWithPeak(at time.Duration) float64 {
	rise := min(1, max(0, (at-peakBegin).Seconds()/riseTime.Seconds()))
	fall := min(1, max(0, (peakEnd-at).Seconds()/riseTime.Seconds()))
	return baseRate + (fullRate-baseRate)*min(rise, fall)
}

// observation is the state of a demand at a time.
type observation struct {
	at                   time.Duration
	keptVMs, forecastVMs float64
	hasFallen            bool
}

// simulateArrivals feeds random arrivals at a rate to a demand and returns the observations.
func simulateArrivals(seed uint64, rate func(at time.Duration) float64, length time.Duration) []observation {
	random := rand.New(rand.NewPCG(seed, seed))
	var d demand
	var total workload.Work
	var observations []observation
	const tick = 5 * time.Millisecond
	begin := time.UnixMilli(1_700_000_000_000)
	for at := time.Duration(0); at < length; at += tick {
		if random.Float64() < rate(at)*tick.Seconds() {
			total.Jobs++
			total.CoreMS += int64(jobCoreMS * (0.4 + 1.2*random.Float64()))
		}
		if at%sampleInterval == 0 {
			fell := d.observe(total, begin.Add(at))
			observations = append(observations, observation{at: at, keptVMs: d.vmsForRate(d.rate, demandVM), forecastVMs: d.vmsForRate(d.forecastRate(moveLeadTime), demandVM), hasFallen: fell})
		}
	}
	return observations
}

const demandSeeds = 200

// Guards against VMs that come too late for a peak: a VM takes over two seconds to come, and short jobs wait for it, so
// most of the VMs must be requested while the rate is still rising.
func TestRisingDemandIsForecastWhileItRises(t *testing.T) {
	late := 0
	for seed := range uint64(demandSeeds) {
		maxForecastVMs := 0.0
		for _, l := range simulateArrivals(seed, rateWithPeak, peakBegin+1200*time.Millisecond) {
			if l.at >= peakBegin {
				maxForecastVMs = max(maxForecastVMs, l.forecastVMs)
			}
		}
		if maxForecastVMs < fullRateVMs*2/3 {
			late++
		}
	}
	assert.LessOrEqual(t, late, demandSeeds/10, "most of the VMs must be forecast 1.2 s after the peak began")
}

// Guards against a pool keeping all VMs until long after its peak: at a constant full rate, random fluctuation looks
// like a rise again and again.
func TestRandomFluctuationIsNotKeptAsDemand(t *testing.T) {
	samples, over := 0, 0
	for seed := range uint64(demandSeeds) {
		for _, l := range simulateArrivals(seed, rateWithPeak, peakEnd-riseTime) {
			if l.at > peakBegin+2*riseTime {
				samples++
				if l.keptVMs > fullRateVMs*3/2 {
					over++
				}
			}
		}
	}
	assert.LessOrEqual(t, over, samples/20)
}

// Guards against VMs being kept after a peak: the fall must be detected soon, so that the VMs can go to the pool whose
// peak begins.
func TestFallOfDemandIsDetectedSoon(t *testing.T) {
	late := 0
	for seed := range uint64(demandSeeds) {
		fell := time.Duration(0)
		for _, l := range simulateArrivals(seed, rateWithPeak, peakEnd+3*time.Second) {
			if l.at > peakEnd-riseTime && l.hasFallen && fell == 0 {
				fell = l.at
			}
		}
		if fell == 0 || fell > peakEnd+600*time.Millisecond {
			late++
		}
	}
	assert.LessOrEqual(t, late, demandSeeds/10)
}

// Guards against needless moves: at a constant rate, each fall that is detected by chance costs VMs that are then
// missing and moved back.
func TestSteadyDemandIsNotDetectedAsAFall(t *testing.T) {
	samples, falls := 0, 0
	for seed := range uint64(demandSeeds) {
		for _, l := range simulateArrivals(seed, func(time.Duration) float64 { return 6 }, 30*time.Second) {
			samples++
			if l.hasFallen {
				falls++
			}
		}
	}
	assert.LessOrEqual(t, falls, samples/200)
}

// Guards against a pool losing its VMs, and being short of them for seconds, because a new owner counts arrivals
// from zero in the middle of a peak. The rate must stay.
func TestRateSurvivesAChangeOfOwner(t *testing.T) {
	var d demand
	begin := time.UnixMilli(1_700_000_000_000)
	total := workload.Work{}
	for i := range 20 {
		if i == 12 {
			total = workload.Work{}
		}
		total.Jobs += 9
		total.CoreMS += 9 * jobCoreMS
		d.observe(total, begin.Add(time.Duration(i)*sampleInterval))
		if i >= 5 {
			assert.InDelta(t, 45, d.rate, 5, "sample %d", i)
		}
	}
}

// A peak of few, large jobs that begins at once. Guards against a pool that is given many times the VMs that it
// needs: a step looks like a rise that goes on, and random fluctuation at the peak like further rises. In a small fleet
// the share of the pool bounds that; in a large one nothing does, and each VM too many is moved twice. A step that is
// seen for 0.6 s may be forecast to go on for the other 1.4 s of a rise, to 3.8 times its height.
func TestAPeakThatBeginsAtOnceIsNotForecastToRise(t *testing.T) {
	const fullRate = 20.0
	step := func(at time.Duration) float64 {
		if at < peakBegin {
			return baseRate
		}
		return fullRate
	}
	fullVMs := (&demand{meanJobWork: struct{ coreMS, mbMS, jobs float64 }{coreMS: jobCoreMS}}).vmsForRate(fullRate, demandVM)
	highest, later := 0.0, 0.0
	for seed := range uint64(demandSeeds) {
		maxForecastVMs, maxLaterVMs := 0.0, 0.0
		for _, l := range simulateArrivals(seed, step, peakBegin+6*time.Second) {
			if l.at >= peakBegin {
				maxForecastVMs = max(maxForecastVMs, l.forecastVMs)
			}
			if l.at >= peakBegin+peakRiseTime+trendWindow {
				maxLaterVMs = max(maxLaterVMs, l.forecastVMs)
			}
		}
		highest += maxForecastVMs / demandSeeds
		later += maxLaterVMs / demandSeeds
	}
	assert.Less(t, highest, 4*fullVMs, "highest forecast, in the mean of all seeds")
	assert.Less(t, later, 2*fullVMs, "highest forecast once the rise time has passed since the peak was seen")
}

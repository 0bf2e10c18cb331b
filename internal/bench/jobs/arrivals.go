package jobs

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/standin"
)

// deployment is one pool of the brief.
type deployment struct {
	name     string
	workers  int
	cores    int
	memoryMB int
	hold     int // cores held back for urgent work
	// sizes are cores of jobs; runs their mean run time.
	sizes []int
	runs  time.Duration
}

var deployments = []deployment{
	{name: "ramcharan", workers: 10, cores: 32, memoryMB: 65536, hold: 16, sizes: []int{1, 2, 2, 4, 4, 8, 16}, runs: 2 * time.Minute},
	{name: "feldkamm", workers: 9, cores: 64, memoryMB: 262144, hold: 32, sizes: []int{2, 4, 8, 8, 16, 32}, runs: 4 * time.Minute},
}

// plan is one planned event of a replay.
type plan struct {
	at     time.Duration
	id     string
	spec   record.JobSubmit
	cancel bool
	fault  *standin.Fault
}

// load is how much of the pool's cores the declared jobs ask for.
const load = 0.85

// arrivals draws the jobs of one seed.
func (d deployment) arrivals(r *rand.Rand, misdeclared bool) []plan {
	mean := 0.0
	for _, s := range d.sizes {
		mean += float64(s) / float64(len(d.sizes))
	}
	gap := mean * d.runs.Seconds() / (load * float64(d.workers*d.cores))
	var plans []plan
	at := 0.0
	for n := 0; at < replayTime.Seconds(); n++ {
		at += r.ExpFloat64() * gap
		p := d.job(r, n)
		p.at = time.Duration(at * float64(time.Second))
		plans = append(plans, p)
		if misdeclared {
			plans = append(plans, p.reality())
		}
	}
	return plans
}

func (d deployment) job(r *rand.Rand, n int) plan {
	size := d.sizes[r.IntN(len(d.sizes))]
	run := time.Duration(max(5, r.ExpFloat64()*d.runs.Seconds())) * time.Second
	p := plan{id: fmt.Sprintf("j%05d", n)}
	p.spec = record.JobSubmit{
		Service:        Service,
		Team:           []string{"a", "b", "c"}[r.IntN(3)],
		MilliCores:     1000 * size,
		MemoryMB:       size * d.memoryMB / d.cores / 2,
		RunTime:        run.Round(30*time.Second) + 5*time.Second,
		Repeatable:     r.IntN(10) < 6,
		Checkpointable: r.IntN(2) == 0,
	}
	if r.IntN(20) == 0 {
		p.spec.Urgent = true
		p.spec.MilliCores = 1000 * d.cores / 4
		p.spec.RunTime = 30 * time.Second
	}
	return p
}

// reality makes the job use another size than it declares, alike for all of its
// team and size.
func (p plan) reality() plan {
	factors := []float64{0.3, 0.5, 1, 1.5, 2}
	f := factors[(len(p.spec.Team)*7+int(p.spec.Team[0])+p.spec.MilliCores/1000)%len(factors)]
	return plan{at: p.at, fault: &standin.Fault{Kind: standin.TaskReality, Target: p.id, CoresFactor: f, MemoryFactor: f}}
}

// scenario is what goes wrong.
type scenario struct {
	name        string
	misdeclared bool
	plans       func(d deployment) []plan
	// without names the policies that leave out what matters here.
	without []string
}

var scenarios = []scenario{
	{name: "calm", without: []string{"no-hold", "no-preempt", "spread", "min-min"}},
	{name: "blackhole", without: []string{"no-quarantine"}, plans: func(deployment) []plan {
		return []plan{{at: 2 * time.Minute, fault: &standin.Fault{Kind: standin.WorkerFails, Target: "vm-03", DelayMS: 200}}}
	}},
	{name: "misdeclared", misdeclared: true, without: []string{"no-correction"}},
	{name: "cancellations", without: []string{"no-settling"}, plans: cancellations},
}

// cancellations lets a team submit 150 jobs and cancel them in turn, twice.
func cancellations(d deployment) []plan {
	var plans []plan
	for _, begin := range []time.Duration{8 * time.Minute, 18 * time.Minute} {
		for i := range 150 {
			id := fmt.Sprintf("batch-%d-%03d", int(begin.Minutes()), i)
			spec := record.JobSubmit{Service: Service, Team: "b", MilliCores: 4000, MemoryMB: 1024, RunTime: 10 * time.Minute, Repeatable: true}
			plans = append(plans,
				plan{at: begin, id: id, spec: spec},
				plan{at: begin + 30*time.Second + time.Duration(i)*200*time.Millisecond, id: id, cancel: true},
			)
		}
	}
	return plans
}

func (d deployment) document() document.Document {
	doc := document.Document{
		Service: Service,
		Limits:  document.Limits{Slots: 8},
		Jobs:    document.Jobs{Lease: 30 * time.Second, UrgentMilliCores: 1000 * d.hold},
	}
	for _, team := range []string{"a", "b", "c"} {
		doc.Quotas = append(doc.Quotas, document.Quota{Team: team, MilliCores: d.workers * d.cores * 600, MemoryMB: d.workers * d.memoryMB})
	}
	return doc
}

package jobs

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/standin"
)

// poolSetup is the pool and the job mix of one deployment.
type poolSetup struct {
	name        string
	workers     int
	cores       int
	memoryMB    int
	urgentCores int // cores reserved for urgent jobs
	// Each job takes its cores from jobCores, all equally likely. Run times are
	// exponential with the mean meanRunTime, and at least 5 s.
	jobCores    []int
	meanRunTime time.Duration
}

var poolSetups = []poolSetup{
	{name: "ramcharan", workers: 10, cores: 32, memoryMB: 65536, urgentCores: 16, jobCores: []int{1, 2, 2, 4, 4, 8, 16}, meanRunTime: 2 * time.Minute},
	{name: "feldkamm", workers: 9, cores: 64, memoryMB: 262144, urgentCores: 32, jobCores: []int{2, 4, 8, 8, 16, 32}, meanRunTime: 4 * time.Minute},
}

// event is a submission, a cancellation or a fault, at a time after the start
// of a replay.
type event struct {
	at     time.Duration
	id     string
	spec   record.JobSubmit
	cancel bool
	fault  *standin.Fault
}

// targetLoad is the share of the pool's cores that arriving jobs occupy on
// average, by their declared cores.
const targetLoad = 0.85

// arrivals returns the submissions of a replay as a Poisson process. If
// misdeclared is set, each job also uses other resources than it declares.
func (d poolSetup) arrivals(r *rand.Rand, misdeclared bool) []event {
	mean := 0.0
	for _, s := range d.jobCores {
		mean += float64(s) / float64(len(d.jobCores))
	}
	gap := mean * d.meanRunTime.Seconds() / (targetLoad * float64(d.workers*d.cores))
	var events []event
	at := 0.0
	for n := 0; at < replayTime.Seconds(); n++ {
		at += r.ExpFloat64() * gap
		p := d.drawJob(r, n)
		p.at = time.Duration(at * float64(time.Second))
		events = append(events, p)
		if misdeclared {
			events = append(events, p.taskReality())
		}
	}
	return events
}

func (d poolSetup) drawJob(r *rand.Rand, n int) event {
	size := d.jobCores[r.IntN(len(d.jobCores))]
	run := time.Duration(max(5, r.ExpFloat64()*d.meanRunTime.Seconds())) * time.Second
	p := event{id: fmt.Sprintf("j%05d", n)}
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

// taskReality returns the fault that makes the job use other resources than it
// declares, by a factor that depends only on its team and size.
func (p event) taskReality() event {
	factors := []float64{0.3, 0.5, 1, 1.5, 2}
	f := factors[(len(p.spec.Team)*7+int(p.spec.Team[0])+p.spec.MilliCores/1000)%len(factors)]
	return event{at: p.at, fault: &standin.Fault{Kind: standin.TaskReality, Target: p.id, CoresFactor: f, MemoryFactor: f}}
}

// scenario is a set of faults and cancellations during a replay.
type scenario struct {
	name        string
	misdeclared bool
	events      func(d poolSetup) []event
	// ablations names the policies that switch off a feature which matters in
	// this scenario. They are measured in addition to the full and the plain policy.
	ablations []string
}

var scenarios = []scenario{
	{name: "calm", ablations: []string{"no-hold", "no-preempt", "spread", "min-min"}},
	{name: "blackhole", ablations: []string{"no-quarantine"}, events: func(poolSetup) []event {
		return []event{{at: 2 * time.Minute, fault: &standin.Fault{Kind: standin.WorkerFails, Target: "vm-03", DelayMS: 200}}}
	}},
	{name: "misdeclared", misdeclared: true, ablations: []string{"no-correction"}},
	{name: "cancellations", ablations: []string{"no-settling"}, events: cancellations},
}

// cancellations makes a team submit a batch of 150 jobs and cancel them one by
// one, twice in a replay.
func cancellations(d poolSetup) []event {
	var events []event
	for _, begin := range []time.Duration{8 * time.Minute, 18 * time.Minute} {
		for i := range 150 {
			id := fmt.Sprintf("batch-%d-%03d", int(begin.Minutes()), i)
			spec := record.JobSubmit{Service: Service, Team: "b", MilliCores: 4000, MemoryMB: 1024, RunTime: 10 * time.Minute, Repeatable: true}
			events = append(events,
				event{at: begin, id: id, spec: spec},
				event{at: begin + 30*time.Second + time.Duration(i)*200*time.Millisecond, id: id, cancel: true},
			)
		}
	}
	return events
}

func (d poolSetup) document() document.Document {
	doc := document.Document{
		Service: Service,
		Limits:  document.Limits{Slots: 8},
		Jobs:    document.Jobs{Lease: 30 * time.Second, UrgentMilliCores: 1000 * d.urgentCores},
	}
	for _, team := range []string{"a", "b", "c"} {
		doc.Quotas = append(doc.Quotas, document.Quota{Team: team, MilliCores: d.workers * d.cores * 600, MemoryMB: d.workers * d.memoryMB})
	}
	return doc
}

package scheduler

import (
	"fmt"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/admission"
	"github.com/yuccadrift/yuccadrift/internal/prospect"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// prospects are what the owner can tell of jobs that are not accepted yet. They are kept where a
// configuration has workspaces.
type prospects struct {
	services     map[string]*prospect.Service
	calibrations map[calibrationKey]*prospect.Calibration
	gates        map[string]*admission.Gate // by queue
	updatedAt    time.Time                  // zero before the first ranking
	loggedAt     time.Time
	errorsAt     time.Time                // last log lines on errors
	incoming     map[string]incomingCores // by service
}

// calibrationKey names the jobs whose predictions are measured together.
type calibrationKey struct {
	queue string
	class rankClass
	size  jobSize
}

// incomingCores are the cores of the VMs that were on their way to a service.
type incomingCores struct {
	cores float64
	asOf  time.Time
}

// incomingTTL is how long incoming cores are known without word of the fleet's owner, which repeats it several
// times a second.
const incomingTTL = 5 * time.Second

func newProspects() prospects {
	return prospects{
		services:     map[string]*prospect.Service{},
		calibrations: map[calibrationKey]*prospect.Calibration{},
		gates:        map[string]*admission.Gate{},
		incoming:     map[string]incomingCores{},
	}
}

// SetIncoming sets the capacity of the VMs that are on their way to a service.
func (c *Core) SetIncoming(service string, milliCores int, now time.Time) {
	c.prospects.incoming[service] = incomingCores{cores: float64(milliCores) / 1000, asOf: now}
}

func (p *prospects) incomingTo(service string, now time.Time) float64 {
	if p.isIncomingKnown(service, now) {
		return p.incoming[service].cores
	}
	return 0
}

func (p *prospects) isIncomingKnown(service string, now time.Time) bool {
	return now.Sub(p.incoming[service].asOf) <= incomingTTL
}

// updateProspects takes stock of what waits. The ranking must be up to date.
func (c *Core) updateProspects(now time.Time) {
	p := &c.prospects
	if c.config.Workspaces == nil || c.ranking.onlyNew { // what waits for workers to answer tells nothing of the capacity
		return
	}
	p.updatedAt = now
	for service, s := range p.services {
		s.Reset()
		s.Cores = p.incomingTo(service, now)
	}
	for i := range c.ranking.candidates {
		cand := &c.ranking.candidates[i]
		s := p.services[cand.job.submission.Service]
		if s == nil {
			s = &prospect.Service{Cores: p.incomingTo(cand.job.submission.Service, now)}
			p.services[cand.job.submission.Service] = s
		}
		if cand.class == classExpired {
			c.measurePrediction(cand.job, false, now)
		}
		if cand.class != classLongRunning && cand.class != classExpired {
			workspace, weight := cand.job.submission.Workspace, 0.0
			if a := cand.job.account; a != nil {
				weight = a.weight
			}
			work, cores := idleWork(cand.steps)
			s.Add(cand.prospectRank(), workspace, weight, work, cores)
		}
	}
	for _, w := range c.sortedWorkers {
		if s := p.services[w.info.Service]; s != nil && w.canAcceptStarts(now) {
			s.Cores += float64(max(0, w.info.Capacity.CPU-w.reservedByLongRunning().CPU)) / 1000
			s.Free += float64(max(0, w.free().CPU)) / 1000
		}
	}
	for _, s := range p.services {
		s.Prepare()
	}
	c.updateGates(now)
}

// idleWork returns the estimated core-seconds of the tasks that have not started, and the cores that they would
// use. What runs is no longer ahead of anybody.
func idleWork(steps []*step) (work, cores float64) {
	for _, s := range steps {
		n := float64(s.idleCount)
		work += n * coreSeconds(s.spec, estimate(s.spec))
		cores += n * float64(s.spec.Resources.CPU) / 1000
	}
	return work, cores
}

func (cand *candidate) prospectRank() prospect.Rank {
	return prospect.Rank{Class: int(cand.class), Priority: cand.priority}
}

// updateGates decides for which queues jobs may be rejected: those in whose services some wait too long, and
// have for longer than VMs take to come.
func (c *Core) updateGates(now time.Time) {
	p := &c.prospects
	for i := range c.config.Queues {
		q := &c.config.Queues[i]
		s, gate := p.services[q.Service], p.gates[q.Name]
		if s == nil {
			continue
		}
		wait, limit := time.Duration(0), admission.LateFactor*q.Objective
		if !s.HasRoom() {
			wait = scale(s.LongestWait(), prospect.MaxLow)
		}
		if gate == nil && wait <= limit {
			continue
		}
		if gate == nil {
			gate = &admission.Gate{}
			p.gates[q.Name] = gate
		}
		if gate.Update(wait, limit, now); gate.IsOpen() {
			delete(p.gates, q.Name)
		}
	}
}

// nextClass returns the class of the next job of a workspace.
func nextClass(a *account, now time.Time) rankClass {
	if a.jobAllowance.hasJob(a.weight, now) {
		return classOnTime
	}
	return classBeyondWeight
}

// prospectOf returns the prospect of a job of a queue and workspace that would be of a class. It is of the sizes
// of which nineteen of twenty jobs would wait longer than the limit, from the largest down, and zero if that
// isn't so of the largest: a full service starts small jobs in what is left between large ones.
func (c *Core) prospectOf(s *prospect.Service, q *workload.Queue, a *account, class rankClass) admission.Prospect {
	shares := c.shares[q.Name]
	if shares == nil || s.HasRoom() {
		return admission.Prospect{}
	}
	wait := s.Wait(prospect.Rank{Class: int(class), Priority: q.Priority}, a.name, a.weight)
	p := admission.Prospect{}
	for size := sizeCount - 1; size >= 0; size-- {
		calibration := c.measuredCalibration(calibrationKey{q.Name, class, size})
		low := scale(wait, calibration.Low())
		if low <= admission.LateFactor*q.Objective {
			break
		}
		if p.IsZero() || low < p.Wait {
			p.Wait, p.Expected = low, scale(wait, calibration.Median())
		}
		p.MinWork = shares.leastWork(size)
	}
	return p
}

// measuredCalibration returns the calibration of a size, or that of the next smaller size that has enough
// measurements: jobs start in the order of their work, so larger ones wait no less.
func (c *Core) measuredCalibration(key calibrationKey) *prospect.Calibration {
	own := c.calibrationOf(key)
	for calibration := own; key.size > 0 && !calibration.IsMeasured(); calibration = c.calibrationOf(key) {
		key.size--
		if smaller := c.calibrationOf(key); smaller.IsMeasured() {
			return smaller
		}
	}
	return own
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

func (c *Core) calibrationOf(key calibrationKey) *prospect.Calibration {
	calibration := c.prospects.calibrations[key]
	if calibration == nil {
		calibration = &prospect.Calibration{}
		c.prospects.calibrations[key] = calibration
	}
	return calibration
}

// maxProspectAge is the age from which the owner gives no prospects. A ranking takes place every 100 ms.
const maxProspectAge = time.Second

// Prospect returns the prospect of the next job of a queue and a workspace. It is zero unless jobs of the queue
// have been waiting too long for some time, and it is known what capacity is on its way.
func (c *Core) Prospect(queue, workspace string, now time.Time) admission.Prospect {
	p := &c.prospects
	gate, q, a := p.gates[queue], c.config.Queue(queue), c.accounts[workspace]
	if gate == nil || !gate.IsClosed() || q == nil || a == nil || a.weight <= 0 || now.Sub(p.updatedAt) > maxProspectAge {
		return admission.Prospect{}
	}
	s := p.services[q.Service]
	if s == nil || !p.isIncomingKnown(q.Service, now) {
		return admission.Prospect{}
	}
	return c.prospectOf(s, q, a, nextClass(a, now))
}

// predictWait records what is predicted for a job that is ranked for the first time.
func (c *Core) predictWait(cand candidate, now time.Time) {
	j := cand.job
	s := c.prospects.services[j.submission.Service]
	if s == nil || j.started || cand.steps[0].occurrence > 0 || j.account == nil || j.account.weight <= 0 || now.Sub(c.prospects.updatedAt) > maxProspectAge {
		return
	}
	j.prediction = startPrediction{
		wait: s.Wait(cand.prospectRank(), j.account.name, j.account.weight),
		at:   now,
		key:  calibrationKey{j.submission.Queue, cand.class, c.shares[j.submission.Queue].sizeOf(cand.remainingWork)},
	}
}

// startPrediction is what was predicted of a job's first start when it was ranked first. The wait is 0 if
// nothing was, or once it is measured.
type startPrediction struct {
	wait time.Duration
	at   time.Time
	key  calibrationKey
}

// measurePrediction compares the prediction with the real wait of a job that has started, or that can't be of
// use any more.
func (c *Core) measurePrediction(j *job, started bool, now time.Time) {
	p := j.prediction
	if p.wait <= 0 {
		return
	}
	j.prediction = startPrediction{}
	calibration := c.calibrationOf(p.key)
	if started {
		calibration.RecordStart(p.wait, now.Sub(p.at))
	} else {
		calibration.RecordExpiry(p.wait)
	}
}

// prospectsLogInterval is the time between two log lines on the prospects of a queue and workspace.
const prospectsLogInterval = time.Second

// logProspects logs for which queues and workspaces jobs may be rejected, with the inputs.
func (c *Core) logProspects(now time.Time) {
	p := &c.prospects
	if len(p.gates) == 0 || now.Before(p.loggedAt.Add(prospectsLogInterval)) {
		return
	}
	p.loggedAt = now
	logged := map[admission.Key]bool{}
	for i := range c.ranking.candidates {
		j := c.ranking.candidates[i].job
		key := admission.Key{Queue: j.submission.Queue, Workspace: j.submission.Workspace}
		next := c.Prospect(key.Queue, key.Workspace, now)
		if next.IsZero() || logged[key] {
			continue
		}
		logged[key] = true
		largest := c.calibrationOf(calibrationKey{key.Queue, nextClass(j.account, now), sizeLargest})
		reason := fmt.Sprintf("of the next jobs with %.0f core-seconds and more nineteen of twenty would wait %d ms and more; of the last %d largest ones nineteen of twenty waited more than %.2f times as long as predicted, half %.2f times", next.MinWork, next.Wait.Milliseconds(), largest.Count(), largest.Low(), largest.Median())
		c.recordDecision(Decision{Verb: "no-prospect", Queue: key.Queue, Workspace: key.Workspace, Reason: reason})
		if len(logged) == maxLoggedShares {
			return
		}
	}
}

// predictionErrorsInterval is the time between two log lines on the errors of predictions.
const predictionErrorsInterval = 10 * time.Second

// logPredictionErrors logs how far the predictions of waits were off, by queue, class and size.
func (c *Core) logPredictionErrors(now time.Time) {
	p := &c.prospects
	if len(p.calibrations) == 0 || now.Before(p.errorsAt.Add(predictionErrorsInterval)) {
		return
	}
	p.errorsAt = now
	for key, calibration := range p.calibrations {
		if calibration.IsMeasured() {
			reason := fmt.Sprintf("class %d, size %d: a tenth of the last %d jobs waited up to %.2f times as long as predicted, half up to %.2f times, nine tenths up to %.2f times", key.class, key.size, calibration.Count(), calibration.Quantile(0.1), calibration.Quantile(0.5), calibration.Quantile(0.9))
			c.recordDecision(Decision{Verb: "prediction-error", Queue: key.queue, Reason: reason})
		}
	}
}

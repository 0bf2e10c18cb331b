package standin

import (
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// FaultKind is a kind of fault that can be ordered.
type FaultKind string

// Faults of the log, of actions on VMs and tasks ("api"), of VMs and tasks, and of
// backend servers. FaultHelp describes each of them.
const (
	LogRefuse    FaultKind = "log_refuse"
	LogSlow      FaultKind = "log_slow"
	LogHang      FaultKind = "log_hang"
	LogLoseReply FaultKind = "log_lose_reply"
	LogLate      FaultKind = "log_late"
	APIRefuse    FaultKind = "api_refuse"
	APISlow      FaultKind = "api_slow"
	APILoseReply FaultKind = "api_lose_reply"

	ListLag       FaultKind = "list_lag"
	UsageLag      FaultKind = "usage_lag"
	BootSlow      FaultKind = "boot_slow"
	BootNever     FaultKind = "boot_never"
	WorkerFails   FaultKind = "worker_fails"
	TaskReality   FaultKind = "task_reality"
	VMCrash       FaultKind = "vm_crash"
	VMRecover     FaultKind = "vm_recover"
	VMAdd         FaultKind = "vm_add"
	CutBeforeRead FaultKind = "cut_before_read"

	CutAfterHeader   FaultKind = "cut_after_header"
	CutAfterRun      FaultKind = "cut_after_run"
	CutMidAnswer     FaultKind = "cut_mid_answer"
	BackendSlow      FaultKind = "backend_slow"
	BackendLate      FaultKind = "backend_late"
	BackendError     FaultKind = "backend_error"
	BackendFreeze    FaultKind = "backend_freeze"
	BackendUnhealthy FaultKind = "backend_unhealthy"
)

// FaultHelp describes every kind and its Target in one line.
var FaultHelp = []struct {
	Kind FaultKind
	Text string
}{
	{LogRefuse, "log calls of stream Target are refused before they act (an outage)"},
	{LogSlow, "log calls of stream Target wait delay_ms before they act"},
	{LogHang, "log calls of stream Target never act and never answer"},
	{LogLoseReply, "appends to stream Target take effect, the reply is lost"},
	{LogLate, "appends to stream Target get no reply and take effect delay_ms later"},
	{APIRefuse, "calls on VM or task Target are refused before they act"},
	{APISlow, "calls on VM or task Target wait delay_ms before they act"},
	{APILoseReply, "actions on VM or task Target take effect, the reply is lost"},
	{ListLag, "the list of VMs is delay_ms old"},
	{UsageLag, "usage reports are delay_ms old"},
	{BootSlow, "boots of VM Target take delay_ms longer"},
	{BootNever, "VM Target does not come back from a reboot"},
	{WorkerFails, "every task started on worker Target fails after delay_ms"},
	{TaskReality, "tasks of job (or task) Target use cores, memory and time times their factors"},
	{VMCrash, "at once: VM Target is lost with its tasks (also rack/NAME, zone/NAME)"},
	{VMRecover, "at once: a lost or never booting VM Target comes back"},
	{VMAdd, "at once: group Target gets one more VM"},
	{CutBeforeRead, "VM Target's backend server cuts a connection with the request unread"},
	{CutAfterHeader, "it cuts after the header was read, without running"},
	{CutAfterRun, "it runs the request and cuts before the answer"},
	{CutMidAnswer, "it runs the request and cuts in the middle of the answer"},
	{BackendSlow, "its runs take delay_ms longer and factor times as long"},
	{BackendLate, "it answers delay_ms after the run"},
	{BackendError, "it answers 500 at once, without running"},
	{BackendFreeze, "it reads requests and neither runs nor answers until the fault ends"},
	{BackendUnhealthy, "its health check answers 503"},
}

// Fault is a fault to inject. It applies to calls with a subject equal to Target.
type Fault struct {
	// ID is assigned by the stand-in.
	ID   string    `json:"id,omitempty"`
	Kind FaultKind `json:"kind"`
	// Target is the subject that the fault affects; empty means all.
	Target string `json:"target,omitempty"`
	// Skip is the number of matching calls that pass before the fault applies.
	Skip int `json:"skip,omitempty"`
	// Count ends the fault after it applied to this many calls; 0 means no limit.
	Count int `json:"count,omitempty"`
	// ForMS ends the fault after this many milliseconds; 0 means no limit.
	ForMS int64 `json:"for_ms,omitempty"`
	// DelayMS is the delay in milliseconds, for kinds that have one.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// Factor multiplies the duration of runs; 0 means 1.
	Factor float64 `json:"factor,omitempty"`
	// CoresFactor, MemoryFactor and WorkFactor multiply a task's declared size and
	// run time to get the real ones; 0 means 1.
	CoresFactor  float64 `json:"cores_factor,omitempty"`
	MemoryFactor float64 `json:"memory_factor,omitempty"`
	WorkFactor   float64 `json:"work_factor,omitempty"`

	until time.Time
}

// Delay returns DelayMS as a duration.
func (f Fault) Delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }

// faultSet holds the active faults in the order in which they were ordered.
type faultSet struct {
	active []*Fault
	lastID int
	// nonEmpty is false only if active is empty. It may be true after faults expired.
	nonEmpty atomic.Bool
}

// isKnownKind reports whether FaultHelp has the kind.
func isKnownKind(kind FaultKind) bool {
	for _, help := range FaultHelp {
		if help.Kind == kind {
			return true
		}
	}
	return false
}

// validate returns an error if the kind is unknown or a number is negative.
func (f Fault) validate() error {
	if !isKnownKind(f.Kind) {
		return errors.Errorf("unknown kind of fault %q", f.Kind)
	}
	if f.Skip < 0 || f.Count < 0 || f.ForMS < 0 || f.DelayMS < 0 {
		return errors.New("skip, count, for_ms and delay_ms must not be negative")
	}
	if f.Factor < 0 || f.CoresFactor < 0 || f.MemoryFactor < 0 || f.WorkFactor < 0 {
		return errors.New("factors must not be negative")
	}
	return nil
}

func (s *faultSet) order(f Fault, now time.Time) string {
	s.lastID++
	f.ID = strconv.Itoa(s.lastID)
	if f.ForMS > 0 {
		f.until = now.Add(time.Duration(f.ForMS) * time.Millisecond)
	}
	s.active = append(s.active, &f)
	s.nonEmpty.Store(true)
	return f.ID
}

func (s *faultSet) clear(ids []string) {
	s.active = slices.DeleteFunc(s.active, func(f *Fault) bool {
		return slices.Contains(ids, f.ID)
	})
	s.nonEmpty.Store(len(s.active) > 0)
}

// take returns the first active fault of the kind that matches one of the subjects,
// and uses up one of its Count.
func (s *faultSet) take(kind FaultKind, now time.Time, subjects ...string) (Fault, bool) {
	if len(s.active) == 0 {
		return Fault{}, false
	}
	s.expire(now)
	for i, f := range s.active {
		if f.Kind != kind || !f.matches(subjects) {
			continue
		}
		if f.Skip > 0 {
			f.Skip--
			continue
		}
		if f.Count == 1 {
			s.active = slices.Delete(s.active, i, i+1)
		} else if f.Count > 1 {
			f.Count--
		}
		return *f, true
	}
	return Fault{}, false
}

func (s *faultSet) expire(now time.Time) {
	s.active = slices.DeleteFunc(s.active, func(f *Fault) bool {
		return !f.until.IsZero() && !now.Before(f.until)
	})
}

func (f *Fault) matches(subjects []string) bool {
	return f.Target == "" || slices.Contains(subjects, f.Target)
}

// ActivateFaults activates faults and returns their IDs. Kinds that are events are applied
// immediately and get no ID. If a fault is malformed, Order activates none.
func (p *Platform) ActivateFaults(faults ...Fault) ([]string, error) {
	for _, f := range faults {
		if err := f.validate(); err != nil {
			return nil, err
		}
	}
	now := p.lockAndAdvance()
	defer p.mu.Unlock()
	ids := []string{}
	for _, f := range faults {
		done, err := p.applyImmediateFault(f, now)
		if err != nil {
			return ids, err
		}
		if !done {
			ids = append(ids, p.faults.order(f, now))
		}
	}
	return ids, nil
}

// ClearFaults ends the faults with these IDs.
func (p *Platform) ClearFaults(ids ...string) {
	p.lockAndAdvance()
	defer p.mu.Unlock()
	p.faults.clear(ids)
}

// ClearAllFaults ends all faults.
func (p *Platform) ClearAllFaults() {
	p.lockAndAdvance()
	defer p.mu.Unlock()
	p.faults.active = nil
	p.faults.nonEmpty.Store(false)
}

// Faults returns the active faults.
func (p *Platform) Faults() []Fault {
	now := p.lockAndAdvance()
	defer p.mu.Unlock()
	p.faults.expire(now)
	active := make([]Fault, 0, len(p.faults.active))
	for _, f := range p.faults.active {
		active = append(active, *f)
	}
	return active
}

// takeFault locks mu and calls faultSet.take. While no fault is active it does not lock
// mu, since backend servers call it for every request, also in benchmarks.
func (p *Platform) takeFault(kind FaultKind, subjects ...string) (Fault, bool) {
	if !p.faults.nonEmpty.Load() {
		return Fault{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults.take(kind, p.now(), subjects...)
}

// isActive reports whether the fault with this ID has not ended.
func (p *Platform) isActive(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.expire(p.now())
	return slices.ContainsFunc(p.faults.active, func(f *Fault) bool { return f.ID == id })
}

// applyImmediateFault applies a fault that is an event. It returns false for other
// kinds.
func (p *Platform) applyImmediateFault(f Fault, now time.Time) (bool, error) {
	switch f.Kind {
	case VMCrash:
		return true, p.crashVMs(f.Target, now)
	case VMRecover:
		return true, p.recoverVMs(f.Target, now)
	case VMAdd:
		return true, p.addVM(f.Target, now)
	default:
		return false, nil
	}
}

// parseTarget splits a target such as "rack/NAME". The domain of a VM is empty.
func parseTarget(target string) (domain, name string) {
	domain, name, found := strings.Cut(target, "/")
	if !found {
		return "", target
	}
	return domain, name
}

// Package ledger folds the platform's log into the state that all nodes share.
// State.Apply is deterministic: it reads no clock, does no I/O and does not
// depend on the order of maps, so nodes at the same offset hold equal state.
package ledger

import (
	"maps"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// RetiredSpan is the number of offsets for which the ledger keeps an ended or
// removed subject. A creating record whose Seen is older than that is stale, so
// a copy that arrives after the subject was deleted cannot create it a second
// time.
const RetiredSpan = 16384

// Head is the revision of a subject and the ID of the record that set it.
type Head struct {
	Revision record.Revision `json:"revision"`
	LastID   string          `json:"last_id"`
}

// State is the result of folding the log up to and including Offset.
type State struct {
	Offset uint64 `json:"offset"`
	// EntryHash is the hash of the entry at Offset. A follower compares it with
	// the log to check that the log continues this state. It is 0 if that entry
	// was not folded from its bytes.
	EntryHash uint64 `json:"tail"`
	// Now is the ledger's time, which dates charges; see Clock.
	Now      time.Time           `json:"now"`
	Clock    Clock               `json:"clock"`
	Services map[string]*Service `json:"services"`
	VMs      map[string]*VM      `json:"vms"`
	Waves    map[string]*Wave    `json:"waves"`
	Members  map[string]*Member  `json:"members"`
	Jobs     map[string]*Job     `json:"jobs"`
	// Reserve is the account of the VMs that are in no pool.
	Reserve Account `json:"reserve"`
	// MemberChanges holds the latest membership changes, oldest first. The
	// owners of claims process them one by one; see internal/claim.
	MemberChanges []MemberChange `json:"member_changes"`
	// MembersUntil is the latest MemberChange.Until.
	MembersUntil time.Time  `json:"members_until"`
	MembersEnd   MembersEnd `json:"members_end"`
	// Retired holds the heads of removed subjects; RetireQueue holds them in
	// the order of their removal.
	Retired     map[record.Subject]Head `json:"-"`
	RetireQueue []Retirement            `json:"retire_queue"`

	// recordTime is the time of the record being applied, zero between records.
	recordTime time.Time

	// Indexes derived from the fields above.
	poolVMs         map[string]map[string]*VM  // pool -> VM ID
	poolUnavailable map[string]map[string]*VM  // pool -> VM ID, VMs not serving
	freeVMs         map[string]*VM             // VMs that are in no pool and not down
	workerJobs      map[string]map[string]*Job // worker -> job, placed jobs only
	poolJobs        map[string]map[string]*Job // pool -> job, ended ones included
	teamUse         map[teamKey]Resources
	queuedJobs      map[string]int // pool -> number of jobs waiting for a placement
}

// Retirement is a removed subject and the offset of its removal.
type Retirement struct {
	Subject record.Subject `json:"subject"`
	Head    Head           `json:"head"`
	At      uint64         `json:"at"`
}

// Service is a service's document in force and its budget account. Its pool has
// the same name.
type Service struct {
	Head
	Text        string    `json:"text"`
	Author      string    `json:"author"`
	PublishedAt time.Time `json:"published_at"`
	Account     Account   `json:"account"`

	// Doc is parsed from Text.
	Doc document.Document `json:"-"`
}

// VM holds the recorded state of a VM and the decisions about it.
type VM struct {
	Head
	ID           string         `json:"id"`
	Zone         string         `json:"zone"`
	Rack         string         `json:"rack"`
	Address      string         `json:"address"`
	Cores        int            `json:"cores"`
	MemoryMB     int            `json:"memory_mb"`
	Accelerators int            `json:"accelerators"`
	Pool         string         `json:"pool"` // empty if in no pool
	Phase        record.VMPhase `json:"phase"`
	PhaseSince   time.Time      `json:"phase_since"`
	Down         bool           `json:"down"` // found unhealthy
	DownCause    string         `json:"down_cause,omitempty"`
	// HealthSince is when Down last changed.
	HealthSince time.Time `json:"health_since"`
	// Drain is the drain in progress, nil while the VM is serving or free.
	Drain *Drain `json:"drain,omitempty"`
	// MaintainedAt is when the VM last returned from a maintenance reboot.
	MaintainedAt time.Time `json:"maintained_at"`
	// Quarantined is set while no jobs may be placed on the worker.
	Quarantined bool `json:"quarantined,omitempty"`
	// QuarantineChanged is when the quarantine last began or ended.
	QuarantineChanged time.Time `json:"quarantine_changed,omitzero"`
	// ProbationLeft is how many more jobs must succeed, one at a time, before a
	// worker released from quarantine may run several at once again.
	ProbationLeft int `json:"probation_left,omitempty"`
	// Quarantines counts the quarantines since the worker last passed
	// probation.
	Quarantines int `json:"quarantines,omitempty"`
	Moves       int `json:"moves"`   // joins after a first pool
	Drains      int `json:"drains"`  // effective drains
	Reboots     int `json:"reboots"` // effective reboots
}

// Drain is an effective drain decision. Fence, the decision's offset, is the
// fencing token of the actions that carry it out.
type Drain struct {
	Reason   record.DrainReason `json:"reason"`
	Wave     string             `json:"wave,omitempty"`
	Target   string             `json:"target,omitempty"`
	Release  bool               `json:"release,omitempty"`
	Fence    uint64             `json:"fence"`
	ID       string             `json:"id"`
	Since    time.Time          `json:"since"`
	Estimate time.Duration      `json:"estimate"`
	Rebooted bool               `json:"rebooted,omitempty"`
}

// Serving reports whether the VM serves requests for its pool.
func (v *VM) Serving() bool {
	return v.Phase == record.PhaseServing && !v.Down
}

// StaysInPool reports whether the VM is in a pool and no drain in progress removes
// it from there.
func (v *VM) StaysInPool() bool {
	if v.Drain == nil || v.Phase == record.PhaseReturning {
		return v.Pool != ""
	}
	return v.Drain.Target == "" && !v.Drain.Release
}

// Redirectable reports whether the VM is in a drain that returns it to its pool
// and that can still be redirected to another pool or the reserve.
func (v *VM) Redirectable() bool {
	if v.Drain == nil || v.Drain.Target != "" || v.Drain.Release {
		return false
	}
	switch v.Phase {
	case record.PhaseDraining, record.PhaseDrained, record.PhaseRebooting:
		return true
	}
	return false
}

// New returns the state before the first record.
func New() *State {
	s := &State{
		Services: map[string]*Service{},
		VMs:      map[string]*VM{},
		Waves:    map[string]*Wave{},
		Members:  map[string]*Member{},
		Jobs:     map[string]*Job{},
	}
	s.rebuildIndexes()
	return s
}

// PoolVMs returns the VMs of a pool by ID. The caller must not change the map.
func (s *State) PoolVMs(pool string) map[string]*VM { return s.poolVMs[pool] }

// PoolJobs returns the jobs of a service by ID, including those that ended
// within RetiredSpan offsets. The caller must not change the map.
func (s *State) PoolJobs(service string) map[string]*Job { return s.poolJobs[service] }

// JobPools returns the names of the services that have jobs, sorted, including
// removed services.
func (s *State) JobPools() []string { return slices.Sorted(maps.Keys(s.poolJobs)) }

// Queued returns the number of jobs of a service that wait for a placement.
func (s *State) Queued(service string) int { return s.queuedJobs[service] }

// WorkerJobs returns the jobs placed on a worker by ID. The caller must not
// change the map.
func (s *State) WorkerJobs(worker string) map[string]*Job { return s.workerJobs[worker] }

// liveHead returns the head of an existing subject, or nil.
func (s *State) liveHead(sub record.Subject) *Head {
	switch sub.Kind {
	case record.SubjectService:
		if v, ok := s.Services[sub.Name]; ok {
			return &v.Head
		}
	case record.SubjectVM:
		if v, ok := s.VMs[sub.Name]; ok {
			return &v.Head
		}
	case record.SubjectWave:
		if v, ok := s.Waves[sub.Name]; ok {
			return &v.Head
		}
	case record.SubjectMember:
		if v, ok := s.Members[sub.Name]; ok {
			return &v.Head
		}
	case record.SubjectJob:
		if v, ok := s.Jobs[sub.Name]; ok {
			return &v.Head
		}
	}
	return nil
}

// head returns the head of a subject. ok is false if the subject does not
// exist; h is then its last head if it is retired, zero otherwise.
func (s *State) head(sub record.Subject) (h Head, ok bool) {
	if live := s.liveHead(sub); live != nil {
		return *live, true
	}
	return s.Retired[sub], false
}

// Revision returns the subject's current revision, 0 if it does not exist.
func (s *State) Revision(sub record.Subject) record.Revision {
	h, ok := s.head(sub)
	if !ok {
		return 0
	}
	return h.Revision
}

// retire keeps the head of a removed subject for RetiredSpan offsets.
func (s *State) retire(sub record.Subject, h Head) {
	s.Retired[sub] = h
	s.RetireQueue = append(s.RetireQueue, Retirement{Subject: sub, Head: h, At: s.Offset})
}

// expireRetired deletes subjects that were retired more than RetiredSpan
// offsets ago.
func (s *State) expireRetired() {
	n := 0
	for n < len(s.RetireQueue) && s.RetireQueue[n].At+RetiredSpan < s.Offset {
		r := s.RetireQueue[n]
		if s.Retired[r.Subject] == r.Head {
			delete(s.Retired, r.Subject)
		}
		if j, ok := s.Jobs[r.Subject.Name]; ok && r.Subject.Kind == record.SubjectJob && j.Ended() {
			delete(s.Jobs, r.Subject.Name)
			removeFrom(s.poolJobs, j.Spec.Service, r.Subject.Name)
		}
		if w, ok := s.Waves[r.Subject.Name]; ok && r.Subject.Kind == record.SubjectWave && !w.Active() {
			delete(s.Waves, r.Subject.Name)
		}
		n++
	}
	s.RetireQueue = s.RetireQueue[n:]
}

// Package ledger folds the platform's log into the state that every node
// shares. State.Apply is deterministic: it reads no clock, does no I/O and
// depends on no map order, so nodes at the same offset hold equal state.
package ledger

import (
	"maps"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// RetiredSpan is for how many offsets an ended or removed subject is
// remembered. A creating record whose Seen lies further back is void, so a copy
// that arrives after the subject was forgotten cannot create it a second time.
const RetiredSpan = 16384

// Head is the revision of a subject and the ID of the record that set it.
type Head struct {
	Revision record.Revision `json:"revision"`
	LastID   string          `json:"last_id"`
}

// State is the fold of the log up to and including Offset.
type State struct {
	Offset uint64 `json:"offset"`
	// Tail is a hash of the entry at Offset, by which a follower sees whether a
	// log continues this state; 0 when that entry was not folded from its bytes.
	Tail uint64 `json:"tail"`
	// Now is the fold's time, by which charges are dated: see Clock.
	Now      time.Time           `json:"now"`
	Clock    Clock               `json:"clock"`
	Services map[string]*Service `json:"services"`
	VMs      map[string]*VM      `json:"vms"`
	Waves    map[string]*Wave    `json:"waves"`
	Members  map[string]*Member  `json:"members"`
	Jobs     map[string]*Job     `json:"jobs"`
	// Reserve is the account of the VMs that are in no pool.
	Reserve Account `json:"reserve"`
	// MemberChanges holds the latest changes of the membership, oldest first.
	// The owners of claims go through them one by one: see internal/claim.
	MemberChanges []MemberChange `json:"member_changes"`
	// MembersUntil is the latest MemberChange.Until.
	MembersUntil time.Time  `json:"members_until"`
	MembersEnd   MembersEnd `json:"members_end"`
	// Retired holds the heads of removed subjects, RetireQueue their order.
	Retired     map[record.Subject]Head `json:"-"`
	RetireQueue []Retirement            `json:"retire_queue"`

	// recordTime is the time on the record being applied, zero between records.
	recordTime time.Time

	// Indexes, derived from the above.
	poolVMs         map[string]map[string]*VM  // pool -> VM ID
	poolUnavailable map[string]map[string]*VM  // pool -> VM ID, VMs not serving
	freeVMs         map[string]*VM             // VMs in no pool that are not down
	workerJobs      map[string]map[string]*Job // worker -> job, placed jobs only
	poolJobs        map[string]map[string]*Job // pool -> job, ended ones included
	teamUse         map[teamKey]Resources
	queuedJobs      map[string]int // pool -> jobs that wait for a placement
}

// Retirement is a removed subject and the offset of its removal.
type Retirement struct {
	Subject record.Subject `json:"subject"`
	Head    Head           `json:"head"`
	At      uint64         `json:"at"`
}

// Service is a service's document in force and its budget account. The
// service's pool has the service's name.
type Service struct {
	Head
	Text        string    `json:"text"`
	Author      string    `json:"author"`
	PublishedAt time.Time `json:"published_at"`
	Account     Account   `json:"account"`

	// Doc is parsed from Text.
	Doc document.Document `json:"-"`
}

// VM is what is decided and known about one VM.
type VM struct {
	Head
	ID           string         `json:"id"`
	Zone         string         `json:"zone"`
	Rack         string         `json:"rack"`
	Address      string         `json:"address"`
	Cores        int            `json:"cores"`
	MemoryMB     int            `json:"memory_mb"`
	Accelerators int            `json:"accelerators"`
	Pool         string         `json:"pool"` // empty: in no pool
	Phase        record.VMPhase `json:"phase"`
	PhaseSince   time.Time      `json:"phase_since"`
	Down         bool           `json:"down"` // found unhealthy
	DownCause    string         `json:"down_cause,omitempty"`
	// HealthSince is when Down last changed.
	HealthSince time.Time `json:"health_since"`
	// Drain is the drain in progress, nil when serving or free.
	Drain *Drain `json:"drain,omitempty"`
	// MaintainedAt is when the VM last came back from a maintenance reboot.
	MaintainedAt time.Time `json:"maintained_at"`
	// Quarantined is set while the worker is set aside for job placement.
	Quarantined bool `json:"quarantined,omitempty"`
	// QuarantineChanged is when the worker was last set aside or let back.
	QuarantineChanged time.Time `json:"quarantine_changed,omitzero"`
	// ProbationLeft is how many jobs must still succeed, one at a time, before
	// a worker that was let back takes several at once again.
	ProbationLeft int `json:"probation_left,omitempty"`
	// Quarantines counts how often it was set aside without passing probation.
	Quarantines int `json:"quarantines,omitempty"`
	Moves       int `json:"moves"`   // joins after a first pool
	Drains      int `json:"drains"`  // drains that took effect
	Reboots     int `json:"reboots"` // reboots that took effect
}

// Drain is an effective drain decision. Fence, its offset, is the fencing token
// of the actions that carry it out.
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

// Serving reports whether the VM takes requests for its pool.
func (v *VM) Serving() bool {
	return v.Phase == record.PhaseServing && !v.Down
}

// Staying reports whether the VM is a member of its pool that no drain in
// progress takes away.
func (v *VM) Staying() bool {
	if v.Drain == nil || v.Phase == record.PhaseReturning {
		return v.Pool != ""
	}
	return v.Drain.Target == "" && !v.Drain.Release
}

// Redirectable reports whether the VM is on its way through a drain that brings
// it back to its pool and could still lead it elsewhere.
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

// PoolJobs returns the jobs of a service by ID, those that ended within
// RetiredSpan offsets included. The caller must not change the map.
func (s *State) PoolJobs(service string) map[string]*Job { return s.poolJobs[service] }

// JobPools returns the services that jobs were submitted to, sorted, removed
// ones included while they have jobs.
func (s *State) JobPools() []string { return slices.Sorted(maps.Keys(s.poolJobs)) }

// Queued returns how many jobs of a service wait for a placement.
func (s *State) Queued(service string) int { return s.queuedJobs[service] }

// WorkerJobs returns the jobs placed on a worker by ID. The caller must not
// change the map.
func (s *State) WorkerJobs(worker string) map[string]*Job { return s.workerJobs[worker] }

// liveHead returns the head of a subject that exists, else nil.
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

// head returns the revision of a subject; ok is false when it does not exist.
// A retired subject has ok false and its last head.
func (s *State) head(sub record.Subject) (h Head, ok bool) {
	if live := s.liveHead(sub); live != nil {
		return *live, true
	}
	return s.Retired[sub], false
}

// Revision returns the subject's current revision, 0 when it does not exist.
func (s *State) Revision(sub record.Subject) record.Revision {
	h, ok := s.head(sub)
	if !ok {
		return 0
	}
	return h.Revision
}

// retire remembers a removed subject for RetiredSpan offsets.
func (s *State) retire(sub record.Subject, h Head) {
	s.Retired[sub] = h
	s.RetireQueue = append(s.RetireQueue, Retirement{Subject: sub, Head: h, At: s.Offset})
}

// expireRetired forgets subjects retired more than RetiredSpan offsets ago.
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

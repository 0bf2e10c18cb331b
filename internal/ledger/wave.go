package ledger

import (
	"maps"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/record"
)

// WaveStatus is the status of a maintenance wave.
type WaveStatus string

// Statuses of a wave.
const (
	WaveRunning WaveStatus = "running"
	WavePaused  WaveStatus = "paused"
	WaveAborted WaveStatus = "aborted"
	WaveDone    WaveStatus = "done"
)

// WaveProgress is the progress of one VM in a wave.
type WaveProgress string

// Progress of a VM in a wave.
const (
	WavePending WaveProgress = "pending"
	WaveOut     WaveProgress = "out" // drained or rebooting
	WaveBack    WaveProgress = "back"
	WaveSkipped WaveProgress = "skipped"
)

// Wave is a maintenance wave: every VM that its pools have at its start is
// drained, rebooted and returned to its pool once.
type Wave struct {
	Head
	ID         string     `json:"id"`
	Pools      []string   `json:"pools"`
	Deadline   time.Time  `json:"deadline"`
	Status     WaveStatus `json:"status"`
	Reason     string     `json:"reason,omitempty"`
	StartedAt  time.Time  `json:"started_at"`
	FinishedAt time.Time  `json:"finished_at"`
	// VMs holds the progress by VM ID, Skips the reasons of the skipped VMs.
	VMs   map[string]WaveProgress `json:"vms"`
	Skips map[string]string       `json:"skips,omitempty"`
}

// Active reports whether the wave is running or paused.
func (w *Wave) Active() bool { return w.Status == WaveRunning || w.Status == WavePaused }

func (s *State) startWave(rec record.Record, b record.WaveStart) refusal {
	if _, ok := s.Waves[rec.Subject.Name]; ok {
		return refusef("wave %s exists already", rec.Subject.Name)
	}
	if !record.ValidTime(b.Deadline) {
		return refusef("the deadline %s is out of range", b.Deadline)
	}
	if len(b.Pools) == 0 {
		return refusef("a wave needs at least one pool")
	}
	pools := slices.Compact(slices.Sorted(slices.Values(b.Pools)))
	vms := map[string]WaveProgress{}
	for _, pool := range pools {
		if _, ok := s.Services[pool]; !ok {
			return refusef("there is no pool %q", pool)
		}
		if other := s.activeWaveOf(pool); other != "" {
			return refusef("pool %s is in wave %s already; wait for it or abort it", pool, other)
		}
		for id := range s.poolVMs[pool] {
			vms[id] = WavePending
		}
	}
	w := &Wave{
		Head:      Head{Revision: record.Revision(s.Offset), LastID: rec.ID},
		ID:        rec.Subject.Name,
		Pools:     pools,
		Deadline:  b.Deadline.UTC(),
		Status:    WaveRunning,
		StartedAt: s.Now,
		VMs:       vms,
	}
	s.Waves[w.ID] = w
	s.finishIfComplete(w)
	return allowed
}

func (s *State) activeWaveOf(pool string) string {
	for _, id := range slices.Sorted(maps.Keys(s.Waves)) {
		w := s.Waves[id]
		if !w.Active() {
			continue
		}
		for _, p := range w.Pools {
			if p == pool {
				return id
			}
		}
	}
	return ""
}

func (s *State) controlWave(rec record.Record, b record.WaveControl) refusal {
	w, ok := s.Waves[rec.Subject.Name]
	if !ok {
		return refusef("there is no wave %s", rec.Subject.Name)
	}
	if !w.Active() {
		return refusef("wave %s is %s", w.ID, w.Status)
	}
	switch b.Command {
	case record.WavePause:
		w.Status = WavePaused
	case record.WaveResume:
		w.Status = WaveRunning
	case record.WaveAbort:
		s.closeWave(w, WaveAborted)
	case record.WaveFinish:
		s.closeWave(w, WaveDone)
	default:
		return refusef("unknown wave command %q", b.Command)
	}
	w.Reason = truncate(b.Reason)
	return allowed
}

func (s *State) skipWave(rec record.Record, b record.WaveSkip) refusal {
	w, ok := s.Waves[rec.Subject.Name]
	if !ok || !w.Active() {
		return refusef("wave %s is not active", rec.Subject.Name)
	}
	progress, ok := w.VMs[b.VM]
	if !ok || progress == WaveBack || progress == WaveSkipped {
		return refusef("VM %s has no turn left in wave %s", b.VM, w.ID)
	}
	s.skipVM(w, b.VM, b.Reason)
	return allowed
}

func (s *State) skipVM(w *Wave, vm, reason string) {
	w.VMs[vm] = WaveSkipped
	if w.Skips == nil {
		w.Skips = map[string]string{}
	}
	w.Skips[vm] = truncate(reason)
	s.finishIfComplete(w)
}

// finishIfComplete ends a wave whose VMs are all back or skipped.
func (s *State) finishIfComplete(w *Wave) {
	if !w.Active() {
		return
	}
	for _, progress := range w.VMs {
		if progress == WavePending || progress == WaveOut {
			return
		}
	}
	s.closeWave(w, WaveDone)
}

// closeWave ends a wave and keeps it for RetiredSpan offsets.
func (s *State) closeWave(w *Wave, status WaveStatus) {
	w.Status = status
	w.FinishedAt = s.Now
	sub := record.Subject{Kind: record.SubjectWave, Name: w.ID}
	s.RetireQueue = append(s.RetireQueue, Retirement{Subject: sub, At: s.Offset})
}

// wavesOf returns the active waves in which the VM's turn is not over, sorted.
func (s *State) wavesOf(vm string) []string {
	var ids []string
	for id, w := range s.Waves {
		if p := w.VMs[vm]; w.Active() && (p == WavePending || p == WaveOut) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// setWaveProgress sets the progress of a VM in a wave.
func (s *State) setWaveProgress(w *Wave, vm string, progress WaveProgress) {
	w.VMs[vm] = progress
	s.finishIfComplete(w)
}

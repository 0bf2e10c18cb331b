// Package measure computes figures from the folded state: burn rates of the
// availability budgets, spare capacity, duration of maintenance waves and moves. It
// has no side effects. The report of the command line and the metrics show the same
// figures.
package measure

import (
	"maps"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Windows returns the windows of burn rates, shortest first. A short and a long
// window together distinguish a burn that continues from one that is over.
func Windows() []time.Duration {
	return []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 24 * time.Hour}
}

// Burn is the burn rate of a budget over a window. A rate of 1 spends the budget
// exactly in the budget's window, a rate of 2 in half of it.
type Burn struct {
	Window time.Duration `json:"window_ns"`
	Rate   float64       `json:"rate"`
}

// Cause holds the VM-seconds that one cause has spent and how often it took VMs
// out of service.
type Cause struct {
	Name      string  `json:"cause"`
	VMSeconds float64 `json:"vm_seconds"` // in the budget's window
	Events    int     `json:"events"`     // since the pool's account was opened
}

// Service holds the figures of one service and its pool.
type Service struct {
	Name     string          `json:"service"`
	Revision record.Revision `json:"revision"`
	Size     int             `json:"size"`
	Serving  int             `json:"serving"`
	// Window is the budget's window; Allowed, Spent and Left are VM-seconds in
	// it. Left is negative if the budget is exceeded.
	Window  time.Duration `json:"window_ns"`
	Allowed float64       `json:"allowed_vm_seconds"`
	Spent   float64       `json:"spent_vm_seconds"`
	Left    float64       `json:"left_vm_seconds"`
	Burns   []Burn        `json:"burns"`
	// RunsOut is when Left is spent at the rate of the last hour: the time of the
	// report if nothing is left, nil if nothing was spent in the last hour or the
	// time is more than a year ahead. Charges that leave the window meanwhile are
	// not considered, so the budget lasts at least until then at this rate.
	RunsOut *time.Time `json:"runs_out,omitempty"`
	Causes  []Cause    `json:"causes"`
	// Spare is the number of VMs that serve beyond the size now, SpareVMSeconds the
	// time of such VMs in the budget's window.
	Spare          int     `json:"spare"`
	SpareVMSeconds float64 `json:"spare_vm_seconds"`
	Moves          int     `json:"moves"`
	Reboots        int     `json:"reboots"`
}

// Wave holds the progress of one maintenance wave.
type Wave struct {
	Name     string            `json:"wave"`
	Status   ledger.WaveStatus `json:"status"`
	Started  time.Time         `json:"started"`
	Took     time.Duration     `json:"took_ns"` // until now while the wave is active
	VMs      int               `json:"vms"`
	Finished int               `json:"finished"` // VMs that are back
	Skipped  int               `json:"skipped"`
}

// Fleet holds the figures of the whole fleet.
type Fleet struct {
	VMs int `json:"vms"`
	// Free is the number of VMs in no pool now, which form the shared reserve;
	// FreeVMSeconds is the time of such VMs in the last day.
	Free          int     `json:"free"`
	FreeVMSeconds float64 `json:"free_vm_seconds_last_day"`
	// Buffer is the share of all VMs that are spare or free now.
	Buffer float64 `json:"buffer"`
	Moves  int     `json:"moves"`
}

// Report holds all figures at one time.
type Report struct {
	Time     time.Time `json:"time"`
	Offset   uint64    `json:"offset"`
	Fleet    Fleet     `json:"fleet"`
	Services []Service `json:"services"`
	Waves    []Wave    `json:"waves"`
	// Baseline is nil unless the caller of Of sets it, see BaselineOf.
	Baseline *Baseline `json:"buffer_baseline,omitempty"`
}

const day = 24 * time.Hour

// Of returns the figures of a state at the time now, or at the state's own time if
// that is later.
func Of(s *ledger.State, now time.Time) Report {
	if now.Before(s.Now) {
		now = s.Now
	}
	r := Report{Time: now, Offset: s.Offset, Services: []Service{}, Waves: []Wave{}}
	for _, name := range slices.Sorted(maps.Keys(s.Services)) {
		r.Services = append(r.Services, serviceOf(s, name, now))
	}
	for _, name := range slices.Sorted(maps.Keys(s.Waves)) {
		r.Waves = append(r.Waves, waveOf(s.Waves[name], now))
	}
	r.Fleet = fleetOf(s, r.Services, now)
	return r
}

func serviceOf(s *ledger.State, name string, now time.Time) Service {
	svc := s.Services[name]
	budget, account := svc.Doc.Budget, &svc.Account
	u := s.Unavailability(name)
	from := now.Add(-budget.Window)
	m := Service{
		Name:           name,
		Revision:       svc.Revision,
		Size:           u.Size,
		Serving:        u.Serving,
		Window:         budget.Window,
		Allowed:        svc.Doc.AllowedSeconds(),
		Spent:          account.Spent(from, now),
		Spare:          max(0, u.Serving-u.Size),
		SpareVMSeconds: account.SpareSeconds(from, now),
		Moves:          account.Moves,
		Reboots:        account.Reboots,
	}
	m.Left = m.Allowed - m.Spent
	for _, w := range Windows() {
		m.Burns = append(m.Burns, Burn{Window: w, Rate: burnRate(account.Spent(now.Add(-w), now), w, m)})
	}
	m.RunsOut = runsOut(m, account.Spent(now.Add(-time.Hour), now), now)
	by := account.SpentBy(from, now)
	for _, c := range ledger.Causes() {
		m.Causes = append(m.Causes, Cause{Name: c.String(), VMSeconds: by[c], Events: account.Events[c]})
	}
	return m
}

// burnRate returns the ratio of spent to the even use of the budget over the
// window.
func burnRate(spent float64, window time.Duration, m Service) float64 {
	even := m.Allowed * window.Seconds() / m.Window.Seconds()
	if even <= 0 {
		return 0
	}
	return spent / even
}

// runsOut returns Service.RunsOut for the VM-seconds spent in the last hour.
func runsOut(m Service, lastHour float64, now time.Time) *time.Time {
	if m.Left <= 0 {
		return &now
	}
	if lastHour <= 0 {
		return nil
	}
	hours := m.Left / lastHour
	if hours > float64(maxRunsOut/time.Hour) {
		return nil
	}
	at := now.Add(time.Duration(hours * float64(time.Hour)))
	return &at
}

// maxRunsOut is how far ahead Service.RunsOut may be. The rate of one hour is not
// meaningful beyond it.
const maxRunsOut = 365 * day

func waveOf(w *ledger.Wave, now time.Time) Wave {
	m := Wave{Name: w.ID, Status: w.Status, Started: w.StartedAt, VMs: len(w.VMs)}
	end := w.FinishedAt
	if w.Active() {
		end = now
	}
	m.Took = end.Sub(w.StartedAt)
	for _, progress := range w.VMs {
		switch progress {
		case ledger.WaveBack:
			m.Finished++
		case ledger.WaveSkipped:
			m.Skipped++
		}
	}
	return m
}

func fleetOf(s *ledger.State, services []Service, now time.Time) Fleet {
	f := Fleet{VMs: len(s.VMs), FreeVMSeconds: s.Reserve.SpareSeconds(now.Add(-day), now)}
	for _, vm := range s.VMs {
		if vm.Phase == record.PhaseFree {
			f.Free++
		}
	}
	buffer := f.Free
	for _, m := range services {
		buffer += m.Spare
		f.Moves += m.Moves
	}
	if f.VMs > 0 {
		f.Buffer = float64(buffer) / float64(f.VMs)
	}
	return f
}

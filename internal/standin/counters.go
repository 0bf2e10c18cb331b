package standin

import (
	"maps"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/platform"
)

// LogCounters counts calls on the log. Bytes count the data of entries only.
type LogCounters struct {
	Appends       int   `json:"appends"`
	Throttled     int   `json:"throttled"`
	Entries       int   `json:"entries"`
	BytesAppended int64 `json:"bytes_appended"`
	Reads         int   `json:"reads"`
	BytesRead     int64 `json:"bytes_read"`
	// PeakAppends is the maximum number of appends within one second of the clock.
	PeakAppends int `json:"peak_appends_per_second"`
	// AppendsPerSecond and ReadsPerSecond are means since the last reset.
	AppendsPerSecond float64 `json:"appends_per_second"`
	ReadsPerSecond   float64 `json:"reads_per_second"`
}

// Counters holds the counters of the stand-in, for tests to assert on.
type Counters struct {
	Since      time.Time      `json:"since"`
	Log        LogCounters    `json:"log"`
	Reboots    map[string]int `json:"reboots"`     // per VM
	TaskStarts map[string]int `json:"task_starts"` // per task ID
	JobStarts  map[string]int `json:"job_starts"`  // per job
	// MaxTaskStarts is the maximum number of starts of one task ID.
	MaxTaskStarts int `json:"max_task_starts"`
	// Backends is filled by the Server.
	Backends BackendCounters `json:"backends"`
}

type counterState struct {
	since           time.Time
	log             LogCounters
	currentSecond   int64
	appendsInSecond int
	reboots         map[string]int
	taskStarts      map[string]int
	jobStarts       map[string]int
}

func newCounterState(now time.Time) counterState {
	return counterState{
		since:      now,
		reboots:    map[string]int{},
		taskStarts: map[string]int{},
		jobStarts:  map[string]int{},
	}
}

func (c *counterState) countAppend(entries [][]byte, now time.Time) {
	c.log.Appends++
	c.log.Entries += len(entries)
	for _, data := range entries {
		c.log.BytesAppended += int64(len(data))
	}
	if second := now.Unix(); second != c.currentSecond {
		c.currentSecond, c.appendsInSecond = second, 0
	}
	c.appendsInSecond++
	c.log.PeakAppends = max(c.log.PeakAppends, c.appendsInSecond)
}

func (p *Platform) countRead(batch platform.Batch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counters.log.Reads++
	for _, entry := range batch.Entries {
		p.counters.log.BytesRead += int64(len(entry.Data))
	}
}

// Counters returns the counters since the start or the last reset. It leaves
// Backends empty.
func (p *Platform) Counters() Counters {
	now := p.lockAndAdvance()
	defer p.mu.Unlock()
	c := Counters{
		Since:      p.counters.since,
		Log:        p.counters.log,
		Reboots:    maps.Clone(p.counters.reboots),
		TaskStarts: maps.Clone(p.counters.taskStarts),
		JobStarts:  maps.Clone(p.counters.jobStarts),
	}
	for _, starts := range c.TaskStarts {
		c.MaxTaskStarts = max(c.MaxTaskStarts, starts)
	}
	if seconds := now.Sub(c.Since).Seconds(); seconds > 0 {
		c.Log.AppendsPerSecond = float64(c.Log.Appends) / seconds
		c.Log.ReadsPerSecond = float64(c.Log.Reads) / seconds
	}
	return c
}

// ResetCounters resets the counters. It keeps the state and the faults.
func (p *Platform) ResetCounters() {
	now := p.lockAndAdvance()
	defer p.mu.Unlock()
	p.counters = newCounterState(now)
}

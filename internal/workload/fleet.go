package workload

import (
	"slices"
	"strings"
	"time"
)

// Queue takes the jobs of one kind from callers. The workers of its service run them.
type Queue struct {
	Name       string
	Host       string
	PathPrefix string // of request paths, ends before the job's ID
	Service    string
	Priority   int // 0 is the highest
	// MaxAttempts is the number of failed runs of one task after which the job fails.
	MaxAttempts int
	// A job's completion objective is Stretch times the estimate of its critical path,
	// plus Objective.
	Stretch        float64
	Objective      time.Duration
	RequestTimeout time.Duration // of one request of a caller
	Public         bool          // callers need no key
	Advice         *Advice
}

// Advice configures a queue whose steps may run on some workers only. An external
// service knows which and issues tickets for them.
type Advice struct {
	AnswerDuration          time.Duration // of one request
	AnswerDurationPerWorker time.Duration // added for each worker in the request
	TicketValidity          time.Duration // of a ticket
}

// Service is a pool of VMs whose workers run the jobs of its queues.
type Service struct {
	Name string
	// EnforcesCapacity is set if the workers refuse starts that exceed their capacity.
	EnforcesCapacity bool
	// Standby marks the spare pool. Its VMs are switched off and cost nothing.
	Standby bool
}

// Limits bound a caller's request.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is a complete configuration as published by the operators.
type Config struct {
	Version  int64
	Queues   []Queue
	Services []Service
	Limits   Limits
	// Workspaces are nil if the deployment has none. Callers need no keys then.
	Workspaces *Workspaces
}

// HasService reports whether the configuration has a service of that name.
func (c *Config) HasService(name string) bool {
	return slices.ContainsFunc(c.Services, func(s Service) bool { return s.Name == name })
}

// IsStandby reports whether a service is the spare pool.
func (c *Config) IsStandby(name string) bool {
	return slices.ContainsFunc(c.Services, func(s Service) bool { return s.Name == name && s.Standby })
}

// Queue returns the queue of that name, nil if there is none.
func (c *Config) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// Route returns the queue of a request: among the queues of its host, the one with the
// longest matching path prefix. It returns nil if none matches.
func (c *Config) Route(host, path string) *Queue {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.PathPrefix) {
			continue
		}
		if best == nil || len(q.PathPrefix) > len(best.PathPrefix) {
			best = q
		}
	}
	return best
}

// Worker is a process that runs tasks on a VM. Its ID and incarnation together name one
// process: a worker that restarts may keep its ID.
type Worker struct {
	ID          string
	Incarnation int64 // start time of the process, Unix milliseconds; 0 if unknown
	Service     string
	Address     string
	Zone        string
	Labels      []string // the VM's kind, then its rack
	Capacity    Resources
	Leaving     bool // the worker announces that it will stop
	// Restarted is set if another process is known to have had the ID shortly before this one.
	Restarted bool
}

// HasLabel reports whether the worker has a label. It is true for "".
func (w *Worker) HasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

// Rack returns the worker's rack, "" if it is unknown.
func (w *Worker) Rack() string {
	if len(w.Labels) < 2 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}

// VMState is the state of a VM as the platform reports it.
type VMState string

// States of a VM.
const (
	VMUp          VMState = "up"
	VMMoving      VMState = "moving"
	VMMaintenance VMState = "maintenance"
	VMDown        VMState = "down"
)

// VM is an entry of the platform's list of VMs.
type VM struct {
	ID       string
	Pool     string
	State    VMState
	Zone     string
	Labels   []string
	Capacity Resources
	Worker   string // ID of its worker, "" if it has none
}

// CanRun reports whether a worker on the VM, with a total capacity of capacity, could run
// a task with the requirement.
func (v *VM) CanRun(requirement UnmetRequirement, capacity Resources) bool {
	return requirement.Resources.FitsIn(capacity) && (requirement.Label == "" || slices.Contains(v.Labels, requirement.Label))
}

// Wave requests maintenance of VMs.
type Wave struct {
	Number        int64
	VMs           []string
	Window        time.Duration // in which all must be done
	MaxConcurrent int           // VMs in maintenance at once
}

// WaveState is the state of a wave.
type WaveState string

// States of a wave.
const (
	WaveRunning   WaveState = "running"
	WaveCompleted WaveState = "completed"
)

package workload

import (
	"slices"
	"strings"
	"time"
)

// Queue is where callers submit jobs of one kind; its service's workers run
// them.
type Queue struct {
	Name       string
	Host       string
	PathPrefix string // of the path, ends before the job's ID
	Service    string
	Priority   int // 0 comes first
	// MaxAttempts is how many runs of one task may fail before the job fails.
	MaxAttempts int
	// Stretch times the longest chain of work, plus Objective, is the time in
	// which a job ought to be completed.
	Stretch        float64
	Objective      time.Duration
	RequestTimeout time.Duration // of one request
	Advice         *Advice
}

// Advice is the policy of a queue whose steps only some workers may run, which
// a service outside knows.
type Advice struct {
	AnswerDuration          time.Duration // of one question
	AnswerDurationPerWorker time.Duration // more for each worker in it
	TicketValidity          time.Duration // of a ticket
}

// Service is a pool of VMs whose workers run the jobs of its queues.
type Service struct {
	Name string
	// EnforcesCapacity is set if the workers refuse what exceeds their capacity.
	EnforcesCapacity bool
	// Standby marks the spare pool, whose VMs are off and cost nothing.
	Standby bool
}

// Limits bound a caller's request.
type Limits struct {
	MaxHeaderBytes int // bytes
	MaxBodyBytes   int // bytes
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is what operators have published, in full.
type Config struct {
	Version  int64
	Queues   []Queue
	Services []Service
	Limits   Limits
}

// HasService tells whether a service is named.
func (c *Config) HasService(name string) bool {
	return slices.ContainsFunc(c.Services, func(s Service) bool { return s.Name == name })
}

// Queue returns the queue named, nil if there is none.
func (c *Config) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// Route returns the queue of a request: the longest prefix of its path among
// the queues of its host. nil if there is none.
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

// Worker is a process that runs tasks on a VM. Its ID and Born together name the
// incarnation: a worker that restarts may keep its ID.
type Worker struct {
	ID          string
	Incarnation int64 // when the process started, Unix milliseconds; 0 if it isn't known
	Service     string
	Address     string
	Zone        string
	Labels      []string // the VM's kind, then its rack
	Capacity    Resources
	Leaving     bool
}

// HasLabel tells whether the worker has a label; "" is had by all.
func (w *Worker) HasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

// Rack is the worker's rack, "" if it is not known.
func (w *Worker) Rack() string {
	if len(w.Labels) < 2 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}

// VMState is what the platform says of a VM.
type VMState string

// States of a VM.
const (
	VMUp          VMState = "up"
	VMMoving      VMState = "moving"
	VMMaintenance VMState = "maintenance"
	VMDown        VMState = "down"
)

// VM is a line of the platform's list.
type VM struct {
	ID       string
	Pool     string
	State    VMState
	Zone     string
	Labels   []string
	Capacity Resources
	Worker   string // ID of its worker, "" if it has none
}

// CanRun tells whether a worker on the VM that has some room in all could run what a
// service lacks a worker for.
func (v *VM) CanRun(requirement UnmetRequirement, capacity Resources) bool {
	return requirement.Resources.FitsIn(capacity) && (requirement.Label == "" || slices.Contains(v.Labels, requirement.Label))
}

// Wave asks for maintenance of VMs.
type Wave struct {
	Number        int64
	VMs           []string
	Window        time.Duration // in which all are to be done
	MaxConcurrent int           // at most so many at once
}

// WaveState is how far a wave is.
type WaveState string

// States of a wave.
const (
	WaveRunning   WaveState = "running"
	WaveCompleted WaveState = "completed"
)

// Package document defines a service's document, in which the team that owns it
// declares the pool, budget, routes, limits and jobs of the service. A document
// is written in TOML.
package document

import "time"

// Document is one service's declaration. Sizes of memory are in MB, those of
// requests in bytes.
type Document struct {
	// Service is the service's name, of lower-case letters, digits and dashes.
	// Callers give it as the first element of the request's path.
	Service string
	// Team owns the document.
	Team   string
	Pool   Pool
	Budget Budget
	Routes []Route
	Limits Limits
	Quotas []Quota
	Jobs   Jobs
	// Weigh sets what the planning of the pool minimizes.
	Weigh Weigh
}

// Pool declares the VMs that the service needs. The pool has the service's name.
type Pool struct {
	// Size is the number of VMs. 0 empties the pool.
	Size int
	// MinZones and MinRacks are the minimum numbers of availability zones and racks
	// that the pool's VMs are spread over.
	MinZones int
	MinRacks int
	// MinCores, MinMemoryMB and MinAccelerators are what each VM must have.
	MinCores        int
	MinMemoryMB     int
	MinAccelerators int
}

// Budget is the unavailability that the pool may have.
type Budget struct {
	// Window is the length of the rolling window.
	Window time.Duration
	// Allowed is the share of the pool's VM-seconds in Window that may be
	// unavailable: more than 0 and less than 1.
	Allowed float64
	// MaxUnavailable is the maximum number of VMs that are unavailable at the same
	// time, failures included.
	MaxUnavailable int
	// OneDomain limits planned unavailability to one rack at a time.
	OneDomain bool
}

// Class determines which requests are shed first under overload.
type Class string

// Classes of requests. Long requests are shed before quick ones.
const (
	ClassQuick Class = "quick"
	ClassLong  Class = "long"
)

// Route sets how requests with a path prefix of the service are handled.
//
// A request for /booking/chairs/7 is for service booking. The path after the
// first element, here /chairs/7, is matched against the prefixes. A prefix
// matches whole path elements: /chairs matches /chairs and /chairs/7 but not
// /chairs-old, and / matches everything. The longest matching prefix applies. A
// request that matches no prefix is refused.
type Route struct {
	// Prefix starts with a slash and, except for / itself, does not end with one.
	Prefix string
	Class  Class
	// Repeatable allows sending a request again after an unknown outcome.
	Repeatable bool
	// Deadline bounds the duration of a request. A shorter deadline of the caller
	// takes precedence.
	Deadline time.Duration
	// MaxBody is the largest request body in bytes.
	MaxBody int64
}

// Limits bounds the load on the service's backend servers.
type Limits struct {
	Slots       int // concurrent requests on one backend server
	Connections int // connections to one backend server from all entry VMs
	// RetryShare is the highest ratio of retries to first attempts, 0 to 1.
	RetryShare float64
	// Drain is how long a request in flight may take to finish when its
	// backend server or entry VM leaves.
	Drain time.Duration
}

// Quota is the part of the service's pool that a team's jobs may use.
type Quota struct {
	Team         string
	MilliCores   int // thousandths of a core
	MemoryMB     int
	Accelerators int
}

// LongJobs sets what a drain does with a job that is running on the VM.
type LongJobs string

// Values of LongJobs.
const (
	LongJobsWait       LongJobs = "wait"
	LongJobsCheckpoint LongJobs = "checkpoint"
	LongJobsSkip       LongJobs = "skip" // drain the VM later
)

// Jobs sets how the pool runs jobs.
type Jobs struct {
	OnDrain LongJobs
	// UrgentMilliCores is the capacity reserved for urgent work over the whole
	// pool, in thousandths of a core.
	UrgentMilliCores int
	// Lease is how long a task runs without a renewal of its lease.
	Lease time.Duration
}

// Weigh sets what planning minimizes.
type Weigh string

// Values of Weigh.
const (
	WeighBuffer Weigh = "buffer" // the number of idle VMs
	WeighMoves  Weigh = "moves"  // the number of disturbed VMs
)

// AllowedSeconds returns the budget in VM-seconds per window.
func (d Document) AllowedSeconds() float64 {
	return d.Budget.Allowed * float64(d.Pool.Size) * d.Budget.Window.Seconds()
}

// Package document holds a service's document: what its team declares about
// the pool, budget, routes, limits and jobs of the service. A document is
// written in TOML and owned by one team.
package document

import "time"

// Document is one service's declaration. Times are durations; sizes of memory
// are in MB, of requests in bytes.
type Document struct {
	// Service is lower-case letters, digits and dashes. Callers name it in the
	// first element of the request's path.
	Service string
	// Team owns the document.
	Team   string
	Pool   Pool
	Budget Budget
	Routes []Route
	Limits Limits
	Quotas []Quota
	Jobs   Jobs
	// Weigh sets what the pool's planning gives up first.
	Weigh Weigh
}

// Pool is how much of the fleet the service needs. The pool's name is the
// service's name.
type Pool struct {
	// Size is the number of VMs; 0 empties the pool.
	Size int
	// MinZones and MinRacks are the least number of availability zones and
	// racks that the pool's VMs are spread over.
	MinZones int
	MinRacks int
	// Needs bound which VMs fit.
	MinCores        int
	MinMemoryMB     int
	MinAccelerators int
}

// Budget is the unavailability that the pool bears.
type Budget struct {
	// Window is the length of the rolling window.
	Window time.Duration
	// Allowed is the share of the pool's VM-seconds in Window that may be
	// unavailable, over 0 and under 1.
	Allowed float64
	// MaxUnavailable is the most VMs unavailable at once, failures included.
	MaxUnavailable int
	// OneDomain is true when planned unavailability may touch only one rack
	// at a time.
	OneDomain bool
}

// Class orders requests when there is more load than room.
type Class string

// Classes of requests. Long requests are shed before quick ones.
const (
	ClassQuick Class = "quick"
	ClassLong  Class = "long"
)

// Route maps a path prefix of the service to how its requests are treated.
//
// A request for /booking/chairs/7 is for service booking; what follows the
// first path element, here /chairs/7, is matched against the prefixes. A prefix
// matches whole path elements: /chairs matches /chairs and /chairs/7 but not
// /chairs-old, and / matches everything. The longest matching prefix wins. A
// request that no prefix matches is refused.
type Route struct {
	// Prefix starts with a slash and ends with none, / itself excepted.
	Prefix string
	Class  Class
	// Repeatable requests may be sent again after an unknown outcome.
	Repeatable bool
	// Deadline is the longest time a request may take; a caller's own, shorter
	// deadline wins.
	Deadline time.Duration
	// MaxBody is the largest request body in bytes.
	MaxBody int64
}

// Limits bound what the service may ask of its backend servers.
type Limits struct {
	Slots       int // requests that one backend server runs at once
	Connections int // connections to one backend server from all entry VMs
	// RetryShare is the share of fresh requests that retries may add.
	RetryShare float64
	// Drain is how long a request in flight may take to finish when its
	// backend server or entry VM leaves.
	Drain time.Duration
}

// Quota is what a team may use of the service's pool for jobs.
type Quota struct {
	Team         string
	MilliCores   int // thousandths of a core
	MemoryMB     int
	Accelerators int
}

// LongJobs says what a drain does with a job that is running on the VM.
type LongJobs string

// Ways to treat running jobs on a drain.
const (
	LongJobsWait       LongJobs = "wait"
	LongJobsCheckpoint LongJobs = "checkpoint"
	LongJobsSkip       LongJobs = "skip" // take the VM's turn later
)

// Jobs is how the pool runs jobs.
type Jobs struct {
	OnDrain LongJobs
	// UrgentMilliCores is room held back for urgent work, in thousandths of a
	// core over the whole pool.
	UrgentMilliCores int
	// Lease is how long a task runs without its lease being renewed.
	Lease time.Duration
}

// Weigh sets what planning prefers.
type Weigh string

// Preferences of planning.
const (
	WeighBuffer Weigh = "buffer" // fewest idle VMs
	WeighMoves  Weigh = "moves"  // fewest VMs disturbed
)

// AllowedSeconds returns the budget in VM-seconds per window.
func (d Document) AllowedSeconds() float64 {
	return d.Budget.Allowed * float64(d.Pool.Size) * d.Budget.Window.Seconds()
}

package document

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/tomlfile"
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	prefixPattern = regexp.MustCompile(`^/$|^(/[A-Za-z0-9._~-]+)+$`)
)

// NameFormat describes a valid service or team name, for messages.
const NameFormat = "1 to 63 lower-case letters, digits and dashes, with no dash at an end"

// ValidName reports whether name is a valid name of a service or team. Names occur
// in URL paths and in names of the platform.
func ValidName(name string) bool {
	return len(name) <= MaxName && namePattern.MatchString(name)
}

// validator collects the problems of one decoded document.
type validator struct {
	doc       Document
	file      tomlDocument
	positions tomlfile.Positions
	problems  tomlfile.Problems
}

func (v *validator) validate() {
	v.name("service", v.doc.Service)
	v.name("team", v.doc.Team)
	oneOf(v, "weigh", v.doc.Weigh, WeighBuffer, WeighMoves)
	v.pool()
	v.budget()
	v.limits()
	v.routes()
	v.quotas()
	v.jobs()
}

// addProblem adds a problem at key.
func (v *validator) addProblem(key, wrong, expected string) {
	v.problems.Add(v.positions.Problem(key, wrong, expected))
}

func (v *validator) name(key, name string) {
	switch {
	case ValidName(name):
	case !v.positions.Has(key):
		v.addProblem(key, "is missing", NameFormat)
	default:
		v.addProblem(key, fmt.Sprintf("is %q", name), NameFormat)
	}
}

// inRange reports whether value is in lo..hi, and adds a problem if it is not.
func inRange[T int | int64](v *validator, key string, value, lo, hi T) bool {
	if value >= lo && value <= hi {
		return true
	}
	v.addProblem(key, fmt.Sprintf("is %d", value), fmt.Sprintf("%d to %d", lo, hi))
	return false
}

func (v *validator) duration(key string, value, lo, hi time.Duration) bool {
	if value >= lo && value <= hi {
		return true
	}
	wrong := "is " + value.String()
	if !v.positions.Has(key) && value == 0 {
		wrong = "is missing"
	}
	v.addProblem(key, wrong, fmt.Sprintf("a duration from %s to %s", lo, hi))
	return false
}

// cores checks a number of cores. The condition is written so that NaN, which
// compares false with everything, fails it.
func (v *validator) cores(key string, value float64) bool {
	if value >= 0 && value <= MaxCores {
		return true
	}
	v.addProblem(key, fmt.Sprintf("is %v", value), fmt.Sprintf("0 to %d cores", MaxCores))
	return false
}

func oneOf[T ~string](v *validator, key string, value T, known ...T) {
	names := make([]string, len(known))
	for i, k := range known {
		if k == value {
			return
		}
		names[i] = fmt.Sprintf("%q", string(k))
	}
	v.addProblem(key, fmt.Sprintf("is %q", string(value)), strings.Join(names, " or "))
}

func (v *validator) pool() {
	p := v.doc.Pool
	if !v.positions.Has("pool.size") {
		v.addProblem("pool.size", "is missing", "the number of VMs")
	}
	inRange(v, "pool.min_cores", p.MinCores, 0, MaxCores)
	inRange(v, "pool.min_memory_mb", p.MinMemoryMB, 0, MaxMemoryMB)
	inRange(v, "pool.min_accelerators", p.MinAccelerators, 0, MaxAccelerators)
	inRange(v, "pool.size", p.Size, 0, MaxPoolSize)
	if p.Size == 1 {
		v.addProblem("pool.size", "is 1: a lone VM cannot be maintained without an outage", "2 or more, or 0 to empty the pool")
	}
	if v.problems.Has("pool.size") {
		return
	}
	most := max(1, p.Size)
	inRange(v, "pool.min_zones", p.MinZones, 1, most)
	inRange(v, "pool.min_racks", p.MinRacks, 1, most)
}

func (v *validator) budget() {
	b, size := v.doc.Budget, v.doc.Pool.Size
	window := v.duration("budget.window", b.Window, MinWindow, MaxWindow)
	share := b.Allowed > 0 && b.Allowed < 1
	if !share {
		wrong := fmt.Sprintf("is %v", b.Allowed)
		if !v.positions.Has("budget.allowed") {
			wrong = "is missing"
		}
		v.addProblem("budget.allowed", wrong, "a share over 0 and under 1")
	}
	if size == 0 || v.problems.Has("pool.size") {
		return
	}
	if b.MaxUnavailable < 1 || b.MaxUnavailable >= size {
		v.addProblem("budget.max_unavailable", fmt.Sprintf("is %d of a pool of %d", b.MaxUnavailable, size),
			fmt.Sprintf("1 to %d, so that VMs can be maintained and some always serve", size-1))
	}
	if window && share && v.doc.AllowedSeconds() < MinOutage.Seconds() {
		v.addProblem("budget.allowed", fmt.Sprintf("allows %.1f VM-seconds per %s: not one VM could ever be drained", v.doc.AllowedSeconds(), b.Window),
			fmt.Sprintf("at least %.0f VM-seconds; raise allowed or window", MinOutage.Seconds()))
	}
}

func (v *validator) routes() {
	seen := map[string]int{}
	for i, r := range v.doc.Routes {
		key := fmt.Sprintf("route[%d]", i)
		v.prefix(key+".prefix", r.Prefix)
		if first, ok := seen[r.Prefix]; ok {
			v.addProblem(key+".prefix", fmt.Sprintf("%q is the prefix of route[%d] already", r.Prefix, first), "each prefix once")
		} else {
			seen[r.Prefix] = i
		}
		oneOf(v, key+".class", r.Class, ClassQuick, ClassLong)
		inRange(v, key+".max_body", r.MaxBody, 0, MaxBodyLimit)
		if !v.duration(key+".deadline", r.Deadline, MinDeadline, MaxDeadline) {
			continue
		}
		// A drain that is shorter than the deadline would cut requests.
		if drain := v.doc.Limits.Drain; r.Deadline > drain && !v.problems.Has("limits.drain") {
			v.addProblem(key+".deadline", fmt.Sprintf("is %s, but limits.drain cuts requests after %s", r.Deadline, drain),
				"a deadline up to limits.drain; raise limits.drain")
		}
	}
}

func (v *validator) prefix(key, prefix string) {
	if !v.positions.Has(key) {
		v.addProblem(key, "is missing", `a path such as "/chairs"`)
		return
	}
	for _, element := range strings.Split(prefix, "/") {
		if element == "." || element == ".." {
			v.addProblem(key, fmt.Sprintf("is %q", prefix), "no . or .. element: callers' paths are cleaned before they are matched")
			return
		}
	}
	if !prefixPattern.MatchString(prefix) {
		v.addProblem(key, fmt.Sprintf("is %q", prefix),
			`"/", or elements of letters, digits and . _ ~ - that each start with a slash, with no slash at the end`)
	}
}

func (v *validator) limits() {
	l := v.doc.Limits
	v.duration("limits.drain", l.Drain, time.Second, MaxDeadline)
	if !(l.RetryShare >= 0 && l.RetryShare <= 1) {
		v.addProblem("limits.retry_share", fmt.Sprintf("is %v", l.RetryShare), "a share from 0 to 1")
	}
	slots := inRange(v, "limits.slots", l.Slots, 1, MaxSlots)
	connections := inRange(v, "limits.connections", l.Connections, 1, MaxSlots)
	if slots && connections && l.Connections < l.Slots && !v.problems.Has("limits.slots") {
		v.addProblem("limits.connections", fmt.Sprintf("is %d, fewer than limits.slots = %d", l.Connections, l.Slots),
			"at least one connection per slot: a connection carries one request at a time")
	}
}

func (v *validator) quotas() {
	seen := map[string]int{}
	for i, q := range v.file.Quota {
		key := fmt.Sprintf("quota[%d]", i)
		v.name(key+".team", q.Team)
		if first, ok := seen[q.Team]; ok {
			v.addProblem(key+".team", fmt.Sprintf("%q has quota[%d] already", q.Team, first), "each team once")
		} else {
			seen[q.Team] = i
		}
		v.cores(key+".cores", q.Cores)
		inRange(v, key+".memory_mb", q.MemoryMB, 0, MaxMemoryMB)
		inRange(v, key+".accelerators", q.Accelerators, 0, MaxAccelerators)
		if (q.Cores == 0 || q.MemoryMB == 0) && !v.problems.Has(key+".cores") && !v.problems.Has(key+".memory_mb") {
			v.addProblem(key, "leaves the team no cores or no memory", "both over 0; leave the quota out to refuse the team")
		}
	}
}

func (v *validator) jobs() {
	j := v.doc.Jobs
	oneOf(v, "jobs.on_drain", j.OnDrain, LongJobsWait, LongJobsCheckpoint, LongJobsSkip)
	v.duration("jobs.lease", j.Lease, MinLease, MaxLease)
	if !v.cores("jobs.urgent_cores", v.file.Jobs.UrgentCores) {
		return
	}
	p := v.doc.Pool
	if p.Size > 0 && p.MinCores > 0 && j.UrgentMilliCores > 1000*p.Size*p.MinCores {
		v.addProblem("jobs.urgent_cores", fmt.Sprintf("is %v, more than the pool's %d VMs of %d cores", v.file.Jobs.UrgentCores, p.Size, p.MinCores),
			"no more cores than the pool has")
	}
}

package document

import (
	"fmt"
	"math"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/tomlfile"
)

// Problem is one mistake in a document, with its position.
type Problem = tomlfile.Problem

// tomlDocument mirrors the TOML text. Pointers distinguish an absent key from a
// zero value.
type tomlDocument struct {
	Service string  `toml:"service"`
	Team    string  `toml:"team"`
	Weigh   string  `toml:"weigh"`
	Pool    pool    `toml:"pool"`
	Budget  budget  `toml:"budget"`
	Route   []route `toml:"route"`
	Limits  limits  `toml:"limits"`
	Quota   []quota `toml:"quota"`
	Jobs    jobs    `toml:"jobs"`
}

type pool struct {
	Size            int `toml:"size"`
	MinZones        int `toml:"min_zones"`
	MinRacks        int `toml:"min_racks"`
	MinCores        int `toml:"min_cores"`
	MinMemoryMB     int `toml:"min_memory_mb"`
	MinAccelerators int `toml:"min_accelerators"`
}

type budget struct {
	Window         tomlfile.Duration `toml:"window"`
	Allowed        float64           `toml:"allowed"`
	MaxUnavailable int               `toml:"max_unavailable"`
	OneDomain      bool              `toml:"one_domain"`
}

type route struct {
	Prefix     string             `toml:"prefix"`
	Class      *string            `toml:"class"`
	Repeatable bool               `toml:"repeatable"`
	Deadline   *tomlfile.Duration `toml:"deadline"`
	MaxBody    *int64             `toml:"max_body"`
}

type limits struct {
	Slots       int               `toml:"slots"`
	Connections int               `toml:"connections"`
	RetryShare  float64           `toml:"retry_share"`
	Drain       tomlfile.Duration `toml:"drain"`
}

type quota struct {
	Team         string  `toml:"team"`
	Cores        float64 `toml:"cores"`
	MemoryMB     int     `toml:"memory_mb"`
	Accelerators int     `toml:"accelerators"`
}

type jobs struct {
	OnDrain     string            `toml:"on_drain"`
	UrgentCores float64           `toml:"urgent_cores"`
	Lease       tomlfile.Duration `toml:"lease"`
}

func defaults() tomlDocument {
	return tomlDocument{
		Weigh: string(DefaultWeigh),
		Pool:  pool{MinZones: DefaultMinZones, MinRacks: DefaultMinRacks},
		Budget: budget{
			MaxUnavailable: DefaultMaxUnavailable,
			OneDomain:      DefaultOneDomain,
		},
		Limits: limits{
			Slots:       DefaultSlots,
			Connections: DefaultConnections,
			RetryShare:  DefaultRetryShare,
			Drain:       tomlfile.Duration{Duration: DefaultDrain},
		},
		Jobs: jobs{
			OnDrain: string(DefaultOnDrain),
			Lease:   tomlfile.Duration{Duration: DefaultLease},
		},
	}
}

// Parse decodes and validates a document. It returns all problems in line order,
// up to tomlfile.MaxProblems. If there is a problem, the returned document holds
// at most a valid Service, for messages. Parse must be deterministic, since every
// node's ledger calls it for each publish record. name is the file's name in
// problems.
func Parse(name string, text []byte) (Document, tomlfile.Problems) {
	if len(text) > MaxText {
		what := fmt.Sprintf("the document has %d bytes", len(text))
		return Document{}, tomlfile.Problems{{File: name, Line: 1, Wrong: what, Expected: fmt.Sprintf("at most %d", MaxText)}}
	}
	f, positions, problems := tomlfile.DecodeWithDefaults(name, text, defaults())
	if problems.Malformed() {
		return Document{}, problems
	}
	doc := f.document()
	v := validator{doc: doc, file: f, positions: positions, problems: problems}
	v.validate()
	switch {
	case len(v.problems) == 0:
		return doc, nil
	case v.problems.Has("service"):
		return Document{}, v.problems
	}
	return Document{Service: doc.Service}, v.problems
}

// Reload decodes a document that was accepted by Parse, possibly by that of
// another build. It skips validation, since a document stays in force until its
// team publishes another one, even if this build would refuse it. For a text that
// Parse accepts, both return the same document.
func Reload(text string) (Document, error) {
	f, _, problems := tomlfile.DecodeWithDefaults("document", []byte(text), defaults())
	if problems.Malformed() {
		return Document{}, problems
	}
	return f.document(), nil
}

func (f tomlDocument) document() Document {
	doc := Document{
		Service: f.Service,
		Team:    f.Team,
		Weigh:   Weigh(f.Weigh),
		Pool:    Pool(f.Pool),
		Budget: Budget{
			Window:         f.Budget.Window.Duration,
			Allowed:        f.Budget.Allowed,
			MaxUnavailable: f.Budget.MaxUnavailable,
			OneDomain:      f.Budget.OneDomain,
		},
		Limits: Limits{
			Slots:       f.Limits.Slots,
			Connections: f.Limits.Connections,
			RetryShare:  f.Limits.RetryShare,
			Drain:       f.Limits.Drain.Duration,
		},
		Jobs: Jobs{
			OnDrain:          LongJobs(f.Jobs.OnDrain),
			UrgentMilliCores: milliCores(f.Jobs.UrgentCores),
			Lease:            f.Jobs.Lease.Duration,
		},
	}
	for _, r := range f.Route {
		doc.Routes = append(doc.Routes, r.route())
	}
	for _, q := range f.Quota {
		doc.Quotas = append(doc.Quotas, Quota{
			Team:         q.Team,
			MilliCores:   milliCores(q.Cores),
			MemoryMB:     q.MemoryMB,
			Accelerators: q.Accelerators,
		})
	}
	return doc
}

func (r route) route() Route {
	return Route{
		Prefix:     r.Prefix,
		Class:      Class(valueOr(r.Class, string(DefaultClass))),
		Repeatable: r.Repeatable,
		Deadline:   deadlineOrDefault(r.Deadline),
		MaxBody:    valueOr(r.MaxBody, DefaultMaxBody),
	}
}

func deadlineOrDefault(d *tomlfile.Duration) time.Duration {
	if d == nil {
		return DefaultDeadline
	}
	return d.Duration
}

func valueOr[T any](v *T, otherwise T) T {
	if v == nil {
		return otherwise
	}
	return *v
}

// milliCores converts cores to thousandths of a core. It returns -1 for a value
// out of range, which validation refuses: the result of converting a float that
// does not fit an int depends on the processor.
func milliCores(cores float64) int {
	if !(cores >= 0 && cores <= MaxCores) {
		return -1
	}
	return int(math.Round(1000 * cores))
}

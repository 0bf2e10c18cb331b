package ledger

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/yuccadrift/yuccadrift/internal/record"
)

const entriesPerHistory = 120

func mustRestore(t require.TestingT, s *State) *State {
	data, err := EncodeSnapshot(s)
	require.NoError(t, err)
	again, err := DecodeSnapshot(data)
	require.NoError(t, err)
	return again
}

func mustDigest(t require.TestingT, s *State) uint64 {
	d, err := s.Digest()
	require.NoError(t, err)
	return d
}

// Nodes start from different snapshots of a log with duplicate, late, void and
// malformed entries. They must compute the same outcome for every entry and end
// with equal states; otherwise two nodes would treat different decisions as
// effective.
func TestRestartFromAnySnapshotGivesTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var snapshots []*State
		var outcomes []Outcome
		g := newGenerator(t, func(_ *generator, _ entry, out Outcome) { outcomes = append(outcomes, out) })
		g.wildClocks = rapid.Bool().Draw(t, "wild clocks")
		for range 4 {
			g.run(entriesPerHistory / 4)
			snapshots = append(snapshots, mustRestore(t, g.state))
		}
		whole := mustDigest(t, g.state)
		for _, s := range append(snapshots, New()) {
			first := slices.IndexFunc(g.log, func(e entry) bool { return e.offset > s.Offset })
			for i := first; i >= 0 && i < len(g.log); i++ {
				require.Equal(t, outcomes[i], s.ApplyData(g.log[i].offset, g.log[i].data))
			}
			require.Equal(t, whole, mustDigest(t, s))
		}
	})
}

// Whatever is appended, a record takes effect at most once, the document in
// force is that of the latest effective publish, every VM is in at most one
// pool, and the indexes that decisions are checked against equal those of a
// rebuild.
func TestInvariantsOfRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		effective := map[string]int{}
		published := map[string]record.Revision{}
		g := newGenerator(t, func(g *generator, e entry, out Outcome) {
			rec, err := record.Decode(e.data)
			if err != nil {
				require.Equal(t, Malformed, out.Status)
				return
			}
			if out.Status == Effective && out.Kind != record.KindClockWitness {
				effective[rec.ID]++
				require.Equal(t, 1, effective[rec.ID], "%s took effect twice", rec.ID)
			}
			if b, ok := rec.Body.(record.DocumentPublish); ok && out.Status == Effective {
				require.Greater(t, record.Revision(e.offset), published[rec.Subject.Name])
				published[rec.Subject.Name] = record.Revision(e.offset)
				require.Equal(t, b.Text, g.state.Services[rec.Subject.Name].Text)
			}
		})
		g.wildClocks = rapid.Bool().Draw(t, "wild clocks")
		for range 6 {
			g.run(entriesPerHistory / 6)
			requireIndexes(t, g.state)
		}
		for name, svc := range g.state.Services {
			require.GreaterOrEqual(t, svc.Revision, published[name])
		}
	})
}

// requireIndexes compares the indexes with those of a rebuild.
func requireIndexes(t require.TestingT, s *State) {
	want := mustRestore(t, s)
	require.Equal(t, keys(want.poolVMs), keys(s.poolVMs))
	require.Equal(t, keys(want.poolUnavailable), keys(s.poolUnavailable))
	require.Equal(t, keys(want.workerJobs), keys(s.workerJobs))
	require.Equal(t, keys(want.poolJobs), keys(s.poolJobs))
	require.Equal(t, want.teamUse, s.teamUse)
	require.Equal(t, want.Retired, s.Retired)
	require.Equal(t, slices.Sorted(maps.Keys(want.freeVMs)), slices.Sorted(maps.Keys(s.freeVMs)))
	in := map[string]int{}
	for pool, vms := range s.poolVMs {
		for id, vm := range vms {
			require.Equal(t, pool, vm.Pool)
			in[id]++
		}
	}
	for id, vm := range s.VMs {
		require.Equal(t, vm.Pool != "", in[id] == 1)
		require.Equal(t, vm.Pool == "", vm.Phase == record.PhaseFree)
	}
}

func keys[V any](index map[string]map[string]V) map[string][]string {
	out := map[string][]string{}
	for outer, inner := range index {
		out[outer] = slices.Sorted(maps.Keys(inner))
	}
	return out
}

// Drains, failures, moves and documents race. The account must agree with a
// model that sums up each pool's shortfall over time, and no drain of a serving
// VM may be allowed that leaves the pool shorter than max_unavailable permits
// or that starts with the window's budget spent.
func TestBudgetsHoldInRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spans := map[string][]span{}
		before := map[string]Unavailability{}
		var last time.Time
		g := newGenerator(t, func(g *generator, e entry, out Outcome) {
			for name, u := range before {
				if g.state.Now.After(last) {
					spans[name] = append(spans[name], span{last, g.state.Now, u.Short})
				}
			}
			last = g.state.Now
			checkDrain(t, g.state, e, out, before, spans)
			clear(before)
			for name, svc := range g.state.Services {
				before[name] = g.state.Unavailability(name)
				if svc.Account.Since.Equal(g.state.Now) {
					spans[name] = nil // published again, with a new account
				}
			}
		})
		g.run(entriesPerHistory)
	})
}

// span is a period during which a pool was short of that many VMs.
type span struct {
	from, to time.Time
	short    int
}

func checkDrain(t *rapid.T, s *State, e entry, out Outcome, before map[string]Unavailability, spans map[string][]span) {
	for name, svc := range s.Services {
		window := svc.Doc.Budget.Window
		want := modelSpent(spans[name], s.Now.Add(-window), s.Now)
		if svc.Account.Since.Before(s.Now) {
			require.InDelta(t, want, svc.Account.Spent(s.Now.Add(-window), s.Now), 0.1, "charges of %s", name)
		}
	}
	rec, err := record.Decode(e.data)
	if err != nil || out.Status != Effective || out.Kind != record.KindVMDrain {
		return
	}
	vm := s.VMs[rec.Subject.Name]
	svc, u := s.Services[vm.Pool], s.Unavailability(vm.Pool)
	if svc == nil || u.Short == 0 || u.Serving == before[vm.Pool].Serving {
		return
	}
	require.LessOrEqual(t, u.Short, svc.Doc.Budget.MaxUnavailable)
	spent := modelSpent(spans[vm.Pool], s.Now.Add(-svc.Doc.Budget.Window), s.Now)
	require.LessOrEqual(t, spent, svc.Doc.AllowedSeconds())
}

func modelSpent(spans []span, from, to time.Time) float64 {
	sum := 0.0
	for _, s := range spans {
		if lo, hi := later(s.from, from), earlier(s.to, to); hi.After(lo) {
			sum += hi.Sub(lo).Seconds() * float64(s.short)
		}
	}
	return sum
}

package trace

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Facts summarizes the folded state at the end of a trace. Replay compares it
// instead of the digest, which changes with the layout of the state between
// builds.
type Facts struct {
	Services map[string]record.Revision `json:"services"`
	VMs      map[string]string          `json:"vms"`   // "POOL PHASE", then "down" and "quarantined" if they apply
	Waves    map[string]string          `json:"waves"` // status and number of VMs by progress
	Jobs     map[string]string          `json:"jobs"`  // status, attempts and result
	Members  []string                   `json:"members"`
}

// FactsOf returns the facts of a state.
func FactsOf(s *ledger.State) Facts {
	f := Facts{
		Services: map[string]record.Revision{},
		VMs:      map[string]string{},
		Waves:    map[string]string{},
		Jobs:     map[string]string{},
		Members:  s.MemberNames(),
	}
	for name, svc := range s.Services {
		f.Services[name] = svc.Revision
	}
	for id, vm := range s.VMs {
		f.VMs[id] = vmFact(vm)
	}
	for id, w := range s.Waves {
		f.Waves[id] = waveFact(w)
	}
	for id, j := range s.Jobs {
		f.Jobs[id] = strings.TrimSpace(fmt.Sprintf("%s after %d attempts %s", j.Status, j.Attempt, j.Result))
	}
	return f
}

func vmFact(vm *ledger.VM) string {
	fact := strings.TrimSpace(vm.Pool + " " + string(vm.Phase))
	if vm.Down {
		fact += " down"
	}
	if vm.Quarantined {
		fact += " quarantined"
	}
	return fact
}

func waveFact(w *ledger.Wave) string {
	counts := map[ledger.WaveProgress]int{}
	for _, progress := range w.VMs {
		counts[progress]++
	}
	fact := string(w.Status)
	for _, progress := range slices.Sorted(maps.Keys(counts)) {
		fact += fmt.Sprintf(", %d %s", counts[progress], progress)
	}
	return fact
}

// Diff describes each difference between f, as stated in the trace, and got.
func (f Facts) Diff(got Facts) []string {
	var out []string
	out = append(out, diffMaps("service", f.Services, got.Services)...)
	out = append(out, diffMaps("VM", f.VMs, got.VMs)...)
	out = append(out, diffMaps("wave", f.Waves, got.Waves)...)
	out = append(out, diffMaps("job", f.Jobs, got.Jobs)...)
	if !slices.Equal(f.Members, got.Members) {
		out = append(out, fmt.Sprintf("members: stated %v, replayed %v", f.Members, got.Members))
	}
	return out
}

func diffMaps[V comparable](what string, stated, got map[string]V) []string {
	var out []string
	all := maps.Clone(stated)
	if all == nil {
		all = map[string]V{}
	}
	maps.Copy(all, got)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		a, inStated := stated[name]
		b, inGot := got[name]
		if a != b || inStated != inGot {
			out = append(out, fmt.Sprintf("%s %s: stated %q, replayed %q", what, name, fmt.Sprint(a), fmt.Sprint(b)))
		}
	}
	return out
}

package waves

import (
	"fmt"
	"strconv"

	"github.com/yuccadrift/yuccadrift/internal/bench/deployment"
	"github.com/yuccadrift/yuccadrift/internal/bench/figure"
	"github.com/yuccadrift/yuccadrift/internal/pool"
)

// Reserve compares a shared reserve of free VMs with a reserve of each pool: how
// many spare VMs are needed, and the effect of fewer of them on a wave in the
// mixed scenario.
func Reserve(deployments []deployment.Deployment, seeds int) ([]figure.Table, error) {
	needed, err := spareNeeded(deployments)
	if err != nil {
		return nil, err
	}
	tables := []figure.Table{needed}
	for _, d := range deployments {
		table, err := measureSpare(d, seeds)
		if err != nil {
			return nil, err
		}
		tables = append(tables, table)
	}
	return tables, nil
}

// spareNeeded returns the counts of pool.SpareFor.
func spareNeeded(deployments []deployment.Deployment) (figure.Table, error) {
	table := figure.Table{
		Title:      "spare VMs needed",
		Labels:     []string{"deployment", "loss rates"},
		Quantities: []string{"shared", "own, sum"},
	}
	for _, d := range deployments {
		r, err := d.Start(0, pool.DefaultPolicy())
		if err != nil {
			return table, err
		}
		view := pool.NewView(r.State, deployment.Epoch)
		for _, scale := range []float64{1, 10, 50} {
			rates := pool.DefaultRates()
			rates.VM *= scale
			rates.Rack *= scale
			s := pool.SpareFor(view.Pools, rates, pool.DefaultFailureShare)
			counts := []figure.Sample{{float64(s.Shared)}, {float64(s.OwnTotal())}}
			table.Add(counts, d.Name, fmt.Sprintf("x%g", scale))
		}
	}
	return table, nil
}

// measureSpare measures the mixed scenario with zero to onePerPool spare VMs, under
// each reserve mode.
func measureSpare(d deployment.Deployment, seeds int) (figure.Table, error) {
	table := figure.Table{
		Title:      d.Name + ", mixed, by spare VMs",
		Labels:     []string{"spare VMs", "reserve"},
		Quantities: []string{"roll-out min", "short VM-s", "over max VM-s"},
	}
	for spare := range onePerPool + 1 {
		for _, v := range variants[:2] {
			samples, err := figure.Collect(seeds, func(seed uint64) ([]float64, error) {
				e, err := mixed.run(v, d, spare, seed)
				if err != nil {
					return nil, err
				}
				return []float64{e.end.Sub(e.start).Minutes(), e.shortage, e.overLimit}, nil
			})
			if err != nil {
				return table, err
			}
			table.Add(samples, strconv.Itoa(spare), string(v.reserve))
		}
	}
	return table, nil
}

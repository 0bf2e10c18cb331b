package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/placement"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// fleet is a size to measure at: 94 pools and 640 teams for 4,000 workers, also
// a quarter and four times of it.
type fleet struct{ workers, pools, teams int }

var fleets = []fleet{{1000, 94, 640}, {4000, 94, 640}, {16000, 94, 640}, {16000, 1, 640}}

func (f fleet) String() string { return fmt.Sprintf("workers=%d/pools=%d", f.workers, f.pools) }

// pools builds every pool at about half load.
func (f fleet) build() []*placement.Pool {
	list := make([]*placement.Pool, f.pools)
	perPool, teams := f.workers/f.pools, max(1, f.teams/f.pools)
	for i := range list {
		p := pool(perPool, 32, 65536)
		p.UrgentHold, p.UrgentPiece = perPool*32000/20, size(8, 8192)
		for t := range teams {
			p.Teams[fmt.Sprintf("team-%d", t)] = placement.Quota{Limit: size(perPool*32, perPool*65536)}
		}
		for w := range p.Workers {
			for k := range w % 5 {
				run(p, w, fmt.Sprintf("r%d-%d", w, k), 4, func(r *placement.Running) { r.Checkpointable = true })
			}
		}
		list[i] = p
	}
	return list
}

// BenchmarkPlace measures one placement: a queued job on a pool's snapshot.
func BenchmarkPlace(b *testing.B) {
	for _, f := range fleets {
		b.Run(f.String(), func(b *testing.B) {
			pools := f.build()
			n := 0
			for b.Loop() {
				j := job(fmt.Sprintf("job-%d", n), 2, 2048)
				j.Team = fmt.Sprintf("team-%d", n%max(1, f.teams/f.pools))
				p := *pools[n%len(pools)]
				if d := p.Place(&j, placement.Policy{}, now); d.Kind == placement.Placed {
					undo(&p, &j, d)
				}
				n++
			}
		})
	}
}

// undo frees the room again, so that the load stays as built.
func undo(p *placement.Pool, j *placement.Job, d placement.Decision) {
	for i := range p.Workers {
		if w := &p.Workers[i]; w.ID == d.Worker {
			w.Free = w.Free.Add(j.Want, 1)
			w.Slots++
			w.Running = w.Running[:len(w.Running)-1]
			break
		}
	}
	q := p.Teams[j.Team]
	q.Used = q.Used.Add(j.Want, -1)
	p.Teams[j.Team] = q
}

// BenchmarkMakeRoom measures the search for the jobs that an urgent one
// displaces.
func BenchmarkMakeRoom(b *testing.B) {
	for _, f := range fleets {
		b.Run(f.String(), func(b *testing.B) {
			pools := f.build()
			for _, p := range pools {
				for w := range p.Workers {
					run(p, w, fmt.Sprintf("fill-%d", w), p.Workers[w].Free.MilliCores/1000, func(r *placement.Running) { r.Checkpointable = true })
				}
			}
			n := 0
			for b.Loop() {
				b.StopTimer()
				p := clone(pools[n%len(pools)])
				n++
				b.StartTimer()
				j := job("urgent", 8, 8192)
				j.Urgent = true
				p.MakeRoom(&j, now)
			}
		})
	}
}

func clone(p *placement.Pool) *placement.Pool {
	c := *p
	c.Workers = append([]placement.Worker(nil), p.Workers...)
	for i := range c.Workers {
		c.Workers[i].Running = append([]placement.Running(nil), p.Workers[i].Running...)
	}
	c.Teams = map[string]placement.Quota{}
	for k, v := range p.Teams {
		c.Teams[k] = v
	}
	return &c
}

// BenchmarkSnapshot measures the snapshot of one pool from the folded state.
func BenchmarkSnapshot(b *testing.B) {
	for _, f := range fleets[:3] {
		b.Run(f.String(), func(b *testing.B) {
			st := f.state()
			n := 0
			for b.Loop() {
				placement.FromState(st, fmt.Sprintf("pool-%d", n%f.pools), placement.Knowledge{})
				n++
			}
		})
	}
}

// state folds a fleet with two running jobs and one queued job for each worker.
func (f fleet) state() *ledger.State {
	st := ledger.New()
	for i := range f.pools {
		name := fmt.Sprintf("pool-%d", i)
		st.Services[name] = &ledger.Service{Doc: document.Document{
			Service: name,
			Pool:    document.Pool{Size: f.workers / f.pools},
			Quotas:  []document.Quota{{Team: "a", MilliCores: 1 << 30, MemoryMB: 1 << 30}},
			Limits:  document.Limits{Slots: 8},
		}}
	}
	offset := uint64(0)
	apply := func(kind record.SubjectKind, name string, body record.Body) {
		offset++
		sub := record.Subject{Kind: kind, Name: name}
		out := st.Apply(offset, record.Record{ID: fmt.Sprint(offset), Subject: sub, Base: st.Revision(sub), Seen: offset - 1, Time: now.Add(time.Duration(offset)), Body: body})
		if out.Status != ledger.Effective {
			panic(out.Reason)
		}
	}
	for i := range f.workers {
		vm := fmt.Sprintf("vm-%d", i)
		service := fmt.Sprintf("pool-%d", i%f.pools)
		apply(record.SubjectVM, vm, record.VMRegister{Zone: "a", Rack: "a-1", Address: "10.0.0.1:80", Cores: 32, MemoryMB: 65536})
		apply(record.SubjectVM, vm, record.VMJoin{Pool: service})
		apply(record.SubjectVM, vm, record.VMUp{})
		for k := range 3 {
			id := fmt.Sprintf("job-%d-%d", i, k)
			apply(record.SubjectJob, id, record.JobSubmit{Service: service, Team: "a", MilliCores: 4000, MemoryMB: 4096})
			if k < 2 {
				apply(record.SubjectJob, id, record.JobPlace{Worker: vm, MilliCores: 4000, MemoryMB: 4096})
			}
		}
	}
	return st
}

package feasibility_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/feasibility"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

func cores(n int) workload.Resources { return workload.Resources{CPU: n * 1000, MemoryMB: n * 2000} }

// Guards against workers that are held for tasks that don't fit on them, and against tasks that are refused although
// they fit.
func TestCover(t *testing.T) {
	for name, c := range map[string]struct {
		request feasibility.Request
		rooms   []feasibility.Room
		count   int
		ok      bool
	}{
		"one task on the first worker":         {feasibility.Request{Tasks: 1, Each: cores(4)}, []feasibility.Room{{Free: cores(4)}, {Free: cores(8)}}, 1, true},
		"one task on the second worker":        {feasibility.Request{Tasks: 1, Each: cores(6)}, []feasibility.Room{{Free: cores(4)}, {Free: cores(8)}}, 2, true},
		"task larger than any worker":          {feasibility.Request{Tasks: 1, Each: cores(9)}, []feasibility.Room{{Free: cores(4)}, {Free: cores(8)}}, 0, false},
		"gang that shares workers":             {feasibility.Request{Tasks: 3, Each: cores(4)}, []feasibility.Room{{Free: cores(4)}, {Free: cores(8)}}, 2, true},
		"gang one member too wide":             {feasibility.Request{Tasks: 4, Each: cores(4)}, []feasibility.Room{{Free: cores(4)}, {Free: cores(8)}}, 0, false},
		"spread over too few workers":          {feasibility.Request{Tasks: 3, Each: cores(1), MaxPerWorker: 1}, []feasibility.Room{{Free: cores(8)}, {Free: cores(8)}}, 0, false},
		"spread beside running tasks":          {feasibility.Request{Tasks: 1, Each: cores(1), MaxPerWorker: 2}, []feasibility.Room{{Free: cores(8), TasksOfStep: 2}, {Free: cores(8), TasksOfStep: 1}}, 2, true},
		"enough processors, too little memory": {feasibility.Request{Tasks: 1, Each: workload.Resources{CPU: 1000, MemoryMB: 9000}}, []feasibility.Room{{Free: cores(4)}}, 0, false},
		"no GPU":                               {feasibility.Request{Tasks: 1, Each: workload.Resources{GPU: 1}}, []feasibility.Room{{Free: cores(4)}}, 0, false},
		"task without processors":              {feasibility.Request{Tasks: 2, Each: workload.Resources{MemoryMB: 1000}}, []feasibility.Room{{Free: workload.Resources{MemoryMB: 2000}}}, 1, true},
		"worker that runs more than it has":    {feasibility.Request{Tasks: 1, Each: workload.Resources{MemoryMB: 1000}}, []feasibility.Room{{Free: workload.Resources{CPU: -1, MemoryMB: 2000}}}, 0, false},
		"no worker":                            {feasibility.Request{Tasks: 1, Each: cores(1)}, nil, 0, false},
	} {
		count, ok := c.request.Cover(c.rooms)
		assert.Equal(t, c.ok, ok, name)
		assert.Equal(t, c.count, count, name)
	}
}

// canPlace tries every worker for every task.
func canPlace(q feasibility.Request, rooms []feasibility.Room, left int) bool {
	if left == 0 {
		return true
	}
	for i := range rooms {
		before := rooms[i]
		if !q.Each.FitsIn(before.Free) || q.MaxPerWorker > 0 && before.TasksOfStep >= q.MaxPerWorker {
			continue
		}
		rooms[i] = feasibility.Room{Free: before.Free.Sub(q.Each), TasksOfStep: before.TasksOfStep + 1}
		placed := canPlace(q, rooms, left-1)
		rooms[i] = before
		if placed {
			return true
		}
	}
	return false
}

// Guards against a verdict that differs from that of an exhaustive search.
func TestCoverAgreesWithAnExhaustiveSearch(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	amount := func(most int) workload.Resources {
		return workload.Resources{CPU: rng.IntN(most), MemoryMB: rng.IntN(most), GPU: rng.IntN(2)}
	}
	feasibleCount := 0
	const trials = 5000
	for range trials {
		q := feasibility.Request{Tasks: 1 + rng.IntN(4), Each: amount(6), MaxPerWorker: rng.IntN(3)}
		rooms := make([]feasibility.Room, rng.IntN(5))
		for i := range rooms {
			free := amount(14)
			free.CPU -= rng.IntN(2)
			rooms[i] = feasibility.Room{Free: free, TasksOfStep: rng.IntN(3)}
		}
		count, ok := q.Cover(rooms)
		if ok {
			feasibleCount++
			assert.True(t, canPlace(q, rooms[:count], q.Tasks), "%+v on %+v", q, rooms)
			assert.False(t, canPlace(q, rooms[:count-1], q.Tasks), "%+v on %+v", q, rooms)
			continue
		}
		assert.False(t, canPlace(q, rooms, q.Tasks), "%+v on %+v", q, rooms)
	}
	assert.Greater(t, feasibleCount, trials/10)
	assert.Less(t, feasibleCount, trials-trials/10)
}

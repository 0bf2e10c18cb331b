// Package feasibility decides whether tasks that start together can be placed on a set of workers. All tasks of one
// request are alike, so a worker's share of them does not depend on what the others get.
package feasibility

import "github.com/yuccadrift/yuccadrift/internal/workload"

// Request is a number of like tasks that start together: all members of a gang, otherwise a single task.
type Request struct {
	Tasks int
	// Each is what every one of the tasks reserves.
	Each workload.Resources
	// MaxPerWorker bounds the tasks of their step on one worker; 0 is no bound.
	MaxPerWorker int
}

// Room is what one worker offers to a request.
type Room struct {
	Free workload.Resources
	// TasksOfStep is how many tasks of the request's step the worker runs already.
	TasksOfStep int
}

// Places returns how many of the requested tasks the room holds, at most Tasks.
func (q Request) Places(r Room) int {
	n := q.Tasks
	if q.MaxPerWorker > 0 {
		n = min(n, q.MaxPerWorker-r.TasksOfStep)
	}
	n = min(n, quotient(r.Free.CPU, q.Each.CPU), quotient(r.Free.MemoryMB, q.Each.MemoryMB), quotient(r.Free.GPU, q.Each.GPU))
	return max(0, n)
}

// quotient returns how often need fits in free. A need of 0 fits without a bound unless free is negative.
func quotient(free, need int) int {
	const unbounded = 1 << 30
	switch {
	case free < 0:
		return 0
	case need <= 0:
		return unbounded
	}
	return free / need
}

// Cover returns how many of the rooms, from the first one on, hold all tasks of the request, and false if all
// rooms together do not.
func (q Request) Cover(rooms []Room) (count int, ok bool) {
	left := q.Tasks
	for i, r := range rooms {
		if left -= q.Places(r); left <= 0 {
			return i + 1, true
		}
	}
	return 0, false
}

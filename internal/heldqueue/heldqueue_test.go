package heldqueue_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/heldqueue"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

var began = time.Unix(1000, 0)

func request(id int, workspace string) heldqueue.Request {
	return heldqueue.Request{ID: heldqueue.ID(id), Workspace: workspace, Bytes: 10, FirstAttemptAt: began.Add(time.Duration(id) * time.Millisecond)}
}

// Guards against a workspace that fills the memory with its requests and so has those of others sent away.
func TestAWorkspaceWithManyRequestsMakesRoomForOthers(t *testing.T) {
	q := heldqueue.New(heldqueue.Limits{Requests: 4, Bytes: 1000})
	for i := range 4 {
		assert.Empty(t, q.Add(request(i, "large"), began))
	}
	assert.Equal(t, []heldqueue.ID{3}, q.Add(request(10, "small"), began), "its youngest")
	assert.Equal(t, []heldqueue.ID{11}, q.Add(request(11, "large"), began))
	assert.Equal(t, 4, q.Len())

	q = heldqueue.New(heldqueue.Limits{Requests: 100, Bytes: 30})
	for i := range 3 {
		q.Add(request(i, "large"), began)
	}
	assert.Equal(t, []heldqueue.ID{2}, q.Add(request(10, "small"), began), "bytes are bounded, too")
}

// Guards against retries of one workspace that are all tried before the first requests of others, and against
// requests that overtake older ones of their workspace.
func TestWorkspacesTakeTurnsAndTheOldestGoesFirst(t *testing.T) {
	q := heldqueue.New(heldqueue.Limits{Requests: 100, Bytes: 1000})
	for _, r := range []heldqueue.Request{request(3, "large"), request(1, "large"), request(2, "large"), request(9, "small"), request(8, "small")} {
		q.Add(r, began)
	}
	now := began.Add(time.Second)
	var order []heldqueue.ID
	for q.Len() > 0 {
		tries, _ := q.Next(now)
		order = append(order, tries...)
		for _, id := range tries {
			q.Stored(id)
		}
		now = now.Add(time.Second)
	}
	assert.Equal(t, []heldqueue.ID{1, 8, 2, 9, 3}, order)
}

// Guards against a node that sends all its held requests against a store that is away, or all at once when it
// returns, and against one try without an outcome that holds up all others.
func TestTriesArePaced(t *testing.T) {
	q := heldqueue.New(heldqueue.Limits{Requests: 100, Bytes: 1000})
	for i := range 40 {
		q.Add(request(i, ""), began)
	}
	now, count := began, 0
	for now.Before(began.Add(4 * time.Second)) {
		tries, next := q.Next(now)
		assert.LessOrEqual(t, len(tries), 1)
		for _, id := range tries {
			q.Failed(id, now)
			count++
		}
		if len(tries) == 0 {
			now = next
		}
	}
	assert.LessOrEqual(t, count, 20, "five tries a second")
	assert.GreaterOrEqual(t, count, 16, "four tries a second")

	q.StoreAnswers(now)
	var sizes []int
	for q.Len() > 0 {
		tries, _ := q.Next(now)
		sizes = append(sizes, len(tries))
		for _, id := range tries {
			q.Stored(id)
		}
		now = now.Add(100 * time.Millisecond)
	}
	assert.Equal(t, []int{1, 2, 8, 29}, sizes)

	q.Add(request(50, ""), now)
	q.Add(request(51, ""), now)
	tries, _ := q.Next(now.Add(time.Second))
	assert.Equal(t, []heldqueue.ID{50}, tries)
	tries, next := q.Next(now.Add(1100 * time.Millisecond))
	assert.Empty(t, tries)
	tries, _ = q.Next(next)
	assert.Equal(t, []heldqueue.ID{51}, tries)
}

// Guards against a memory of attempts that grows without bound, or that takes a later attempt for the first.
func TestFirstAttemptsAreRemembered(t *testing.T) {
	a := heldqueue.NewAttempts()
	assert.True(t, a.Record("a", time.Second, began))
	assert.False(t, a.Record("a", 0, began.Add(time.Second)))
	assert.Equal(t, 3*time.Second, a.Age("a", began.Add(2*time.Second)))
	assert.False(t, a.Record("a", 4*time.Second, began.Add(2*time.Second)))
	assert.Equal(t, 4*time.Second, a.Age("a", began.Add(2*time.Second)), "another node saw it earlier")
	assert.Zero(t, a.Age("b", began))
	assert.Zero(t, a.Age("a", began.Add(time.Minute)), "too long ago, also if nothing was recorded since")
	for i := range 10000 {
		a.Record(workload.JobID(time.Duration(i).String()), 0, began.Add(2*time.Second))
	}
	assert.Zero(t, a.Age("a", began.Add(2*time.Second)), "forgotten")
}

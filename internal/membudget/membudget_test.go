package membudget_test

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/yuccadrift/yuccadrift/internal/membudget"
)

// clients are connections of a group, by number, and which of them were closed for others.
type clients struct {
	group  *membudget.Group
	closed []int
}

func (c *clients) open(number int) (conn *membudget.Conn) {
	return c.openUntil(number, func() { conn.Close() })
}

// openUntil opens a connection that calls end when it is closed for others.
func (c *clients) openUntil(number int, end func()) *membudget.Conn {
	return c.group.Open(func() {
		c.closed = append(c.closed, number)
		end()
	})
}

func newClients(l membudget.Limits) (*clients, *membudget.Budget) {
	b := membudget.New()
	return &clients{group: b.NewGroup(l)}, b
}

// Guards against clients that keep others out by staying open: the connection without progress for longest gives way.
func TestConnectionWithoutProgressForLongestGivesWay(t *testing.T) {
	c, budget := newClients(membudget.Limits{Bytes: 100, Connections: 3, ConnBytes: 1})
	first := c.open(1)
	c.open(2)
	c.open(3)
	first.Progress()
	require.NotNil(t, c.open(4))
	assert.Equal(t, []int{2}, c.closed)
	assert.Equal(t, membudget.Usage{Limit: 100, Reserved: 3, Closed: 1}, budget.Usage())
}

// Guards against bodies that take the memory of all: those without progress for longest give way to a new one.
func TestRequestsWithoutProgressForLongestGiveWay(t *testing.T) {
	c, budget := newClients(membudget.Limits{Bytes: 100, Connections: 10, ConnBytes: 10})
	first, second, third := c.open(1), c.open(2), c.open(3)
	require.True(t, first.Reserve(35))
	require.True(t, second.Reserve(35))
	require.True(t, third.Reserve(40), "the first one's memory is released")
	assert.Equal(t, []int{1}, c.closed)
	assert.True(t, first.Yielded())
	assert.False(t, first.Reserve(1))
	assert.False(t, first.Hold())
	assert.False(t, second.Reserve(90), "the second one is itself the next to give way")
	assert.Equal(t, []int{1, 2}, c.closed)
	assert.Equal(t, 50, budget.Usage().Reserved)
}

// Guards against memory that is given away before the request that has to give way is gone.
func TestMemoryIsReservedOnceItIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, budget := newClients(membudget.Limits{Bytes: 100, Connections: 10, ConnBytes: 10})
		first := c.openUntil(1, func() {})
		require.True(t, first.Reserve(70))
		second, third := c.open(2), c.open(3)
		reserved := make(chan bool, 2)
		go func() { reserved <- third.Reserve(50) }()
		synctest.Wait()
		assert.Empty(t, reserved)
		assert.Equal(t, []int{1}, c.closed)
		assert.Equal(t, 100, budget.Usage().Reserved)
		go func() { reserved <- second.Reserve(60) }()
		synctest.Wait()
		assert.Empty(t, reserved, "both wait, as there is room for one of them")
		first.Close()
		synctest.Wait()
		assert.Len(t, reserved, 2)
		assert.Len(t, c.closed, 2, "one of them gives way to the other")
		assert.LessOrEqual(t, budget.Usage().Reserved, 100)
	})
}

// Guards against requests that wait for memory after they have given way themselves.
func TestAWaitingRequestGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := newClients(membudget.Limits{Bytes: 100, Connections: 3, ConnBytes: 10})
		first, second, third := c.openUntil(1, func() {}), c.openUntil(2, func() {}), c.open(3)
		require.True(t, first.Reserve(70))
		reserved, reservedLater := make(chan bool, 1), make(chan bool, 1)
		go func() { reserved <- second.Reserve(30) }()
		synctest.Wait()
		go func() { reservedLater <- third.Reserve(85) }()
		synctest.Wait()
		assert.False(t, <-reserved)
		assert.Equal(t, []int{1, 2}, c.closed)
		first.Close()
		second.Close()
		assert.True(t, <-reservedLater)
	})
}

// Guards against connections that are accepted faster than those that were closed for them end.
func TestConnectionsWaitForThoseThatWereClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, budget := newClients(membudget.Limits{Bytes: 100, Connections: 1, ConnBytes: 10})
		first := c.openUntil(1, func() {})
		require.True(t, first.Reserve(20))
		require.NotNil(t, c.open(2))
		opened := make(chan *membudget.Conn, 1)
		go func() { opened <- c.open(3) }()
		synctest.Wait()
		assert.Empty(t, opened)
		first.Close()
		assert.NotNil(t, <-opened)
		assert.Equal(t, 10, budget.Usage().Reserved)
	})
}

// Guards against requests that are cut off after they may have had an effect.
func TestHeldConnectionsDoNotGiveWay(t *testing.T) {
	c, budget := newClients(membudget.Limits{Bytes: 100, Connections: 2, ConnBytes: 10})
	first, second := c.open(1), c.open(2)
	require.True(t, first.Reserve(40))
	require.True(t, first.Hold())
	require.True(t, second.Hold())
	assert.Nil(t, c.open(3), "no connection may be closed")
	assert.False(t, second.Reserve(41), "no memory may be released")
	assert.False(t, second.Yielded())
	assert.Empty(t, c.closed)
	assert.Equal(t, 2, budget.Usage().Refused)
	first.Finish()
	assert.Equal(t, 20, budget.Usage().Reserved)
	assert.True(t, second.Reserve(41))
	require.NotNil(t, c.open(3))
	assert.Equal(t, []int{1}, c.closed)
}

// Guards against a crowd on one listener that takes the memory of the others.
func TestGroupsDoNotTakeEachOthersMemory(t *testing.T) {
	b := membudget.New()
	crowded := b.NewGroup(membudget.Limits{Bytes: 100, Connections: 10, ConnBytes: 1}).Open(func() {})
	require.True(t, crowded.Reserve(99))
	assert.NotNil(t, b.NewGroup(membudget.Limits{Bytes: 10, Connections: 1, ConnBytes: 10}).Open(func() { t.Error("closed") }))
	assert.Equal(t, membudget.Usage{Limit: 110, Reserved: 110}, b.Usage())
}

func TestANilConnHasNoBounds(t *testing.T) {
	var c *membudget.Conn
	assert.True(t, c.Reserve(1<<40))
	assert.True(t, c.Hold())
	assert.False(t, c.Yielded())
	c.Progress()
	c.Finish()
	c.Close()
}

// Guards against memory that is counted twice or never released, and against limits that are exceeded, in any
// order of calls.
func TestAnyOrderOfCallsStaysWithinTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := membudget.Limits{Bytes: 50, Connections: 4, ConnBytes: 5}
		c, budget := newClients(limits)
		var conns []*membudget.Conn
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			if conn := c.open(len(conns)); conn != nil {
				conns = append(conns, conn)
			}
			if len(conns) == 0 {
				continue
			}
			conn := conns[rapid.IntRange(0, len(conns)-1).Draw(t, "conn")]
			switch rapid.IntRange(0, 4).Draw(t, "call") {
			case 0:
				conn.Reserve(rapid.IntRange(0, 60).Draw(t, "bytes"))
			case 1:
				conn.Hold()
			case 2:
				conn.Finish()
			case 3:
				conn.Progress()
			default:
				conn.Close()
			}
			usage := budget.Usage()
			require.LessOrEqual(t, usage.Reserved, limits.Bytes)
			require.GreaterOrEqual(t, usage.Reserved, 0)
			require.Equal(t, usage.Closed, len(c.closed))
		}
		for _, conn := range conns {
			conn.Close()
		}
		require.Zero(t, budget.Usage().Reserved)
	})
}

// Package membudget bounds the memory that the clients of a process take: their connections, and the requests
// on them until they are answered. When it is short, the connections give way that have made no progress for
// longest, so that clients that stay open without an end don't keep others out.
package membudget

import (
	"container/list"
	"sync"
)

// Budget is the memory of all clients of a process. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	usage Usage
}

// New returns a budget without groups.
func New() *Budget { return &Budget{} }

// Usage is what a budget has in use and what became of clients that met its limits.
type Usage struct {
	Limit, Reserved int // bytes
	Closed          int // connections that were closed for others
	Refused         int // connections and requests for which nothing gave way
}

// Usage returns the budget's usage.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage
}

// Group is the connections of one listener. Connections give way only to others of their group.
type Group struct {
	budget      *Budget
	limits      Limits
	reserved    int
	connections int
	// yielding are the connections that may be closed, those without progress for longest first.
	yielding *list.List
}

// Limits are those of a group.
type Limits struct {
	Bytes       int // of all connections and their requests
	Connections int
	ConnBytes   int // of a connection beside its requests
}

// NewGroup adds a group to the budget, whose limit grows by the group's bytes.
func (b *Budget) NewGroup(l Limits) *Group {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usage.Limit += l.Bytes
	return &Group{budget: b, limits: l, yielding: list.New()}
}

// add adds bytes to what is reserved. It must be called with the budget locked.
func (g *Group) add(bytes int) {
	g.reserved += bytes
	g.budget.usage.Reserved += bytes
}

// Conn is a connection of a group. A nil Conn has no bounds.
type Conn struct {
	group    *Group
	bytes    int
	closeFn  func()
	position *list.Element // in group.yielding, nil while the connection must not be closed
	isClosed bool          // it has left the group
	yielded  bool          // it was closed for others
}

// Open adds a connection. It returns nil if the group has no room and none of its connections may be closed.
// closeConn closes the connection and may be called at any time, by other connections' goroutines.
func (g *Group) Open(closeConn func()) *Conn {
	b := g.budget
	b.mu.Lock()
	var victims []*Conn
	for g.connections >= g.limits.Connections && g.yielding.Len() > 0 {
		victims = append(victims, g.closeFirst())
	}
	c := &Conn{group: g, closeFn: closeConn}
	victims, ok := c.reserve(g.limits.ConnBytes, victims)
	if ok = ok && g.connections < g.limits.Connections; ok {
		g.connections++
		c.position = g.yielding.PushBack(c)
	} else {
		g.add(-c.bytes)
		b.usage.Refused++
		c = nil
	}
	b.mu.Unlock()
	closeAll(victims)
	return c
}

// Reserve reserves bytes for a request on the connection. It returns false if there is no room even if all
// others give way, or if the connection itself was the next to give way; see Yielded.
func (c *Conn) Reserve(bytes int) bool {
	if c == nil {
		return true
	}
	b := c.group.budget
	b.mu.Lock()
	if c.isClosed {
		b.mu.Unlock()
		return false
	}
	victims, ok := c.reserve(bytes, nil)
	if !ok && !c.isClosed {
		b.usage.Refused++
	}
	b.mu.Unlock()
	closeAll(victims)
	return ok
}

// reserve reserves bytes and returns the connections that are to be closed for them, added to victims. It must
// be called with the budget locked.
func (c *Conn) reserve(bytes int, victims []*Conn) (_ []*Conn, ok bool) {
	g := c.group
	for g.reserved+bytes > g.limits.Bytes {
		if c.isClosed || g.yielding.Len() == 0 {
			return victims, false
		}
		victims = append(victims, g.closeFirst())
	}
	if c.isClosed {
		return victims, false
	}
	g.add(bytes)
	c.bytes += bytes
	return victims, true
}

// closeFirst takes the connection without progress for longest out of the group. It must be called with the
// budget locked.
func (g *Group) closeFirst() *Conn {
	c := g.yielding.Front().Value.(*Conn)
	c.yielded = true
	c.leave()
	g.budget.usage.Closed++
	return c
}

// leave releases all of the connection. It must be called with the budget locked.
func (c *Conn) leave() {
	if c.isClosed {
		return
	}
	c.isClosed = true
	c.hold()
	c.group.connections--
	c.group.add(-c.bytes)
	c.bytes = 0
}

// hold keeps the connection from being closed. It must be called with the budget locked.
func (c *Conn) hold() {
	if c.position != nil {
		c.group.yielding.Remove(c.position)
		c.position = nil
	}
}

func closeAll(conns []*Conn) {
	for _, c := range conns {
		c.closeFn()
	}
}

// Progress notes that the connection has made progress: others give way before it.
func (c *Conn) Progress() {
	if c == nil {
		return
	}
	c.group.budget.mu.Lock()
	defer c.group.budget.mu.Unlock()
	if c.position != nil {
		c.group.yielding.MoveToBack(c.position)
	}
}

// Hold keeps the connection open until Finish: its request is complete and may have an effect. It returns false
// if the connection was closed for others.
func (c *Conn) Hold() bool {
	if c == nil {
		return true
	}
	c.group.budget.mu.Lock()
	defer c.group.budget.mu.Unlock()
	c.hold()
	return !c.yielded
}

// Finish releases what was reserved for the connection's request, which is answered.
func (c *Conn) Finish() {
	if c == nil {
		return
	}
	c.group.budget.mu.Lock()
	defer c.group.budget.mu.Unlock()
	if c.isClosed {
		return
	}
	c.group.add(c.group.limits.ConnBytes - c.bytes)
	c.bytes = c.group.limits.ConnBytes
	c.hold()
	c.position = c.group.yielding.PushBack(c)
}

// Close removes a connection that has ended. It may be called more than once.
func (c *Conn) Close() {
	if c == nil {
		return
	}
	c.group.budget.mu.Lock()
	defer c.group.budget.mu.Unlock()
	c.leave()
}

// Yielded reports whether the connection was closed for others.
func (c *Conn) Yielded() bool {
	if c == nil {
		return false
	}
	c.group.budget.mu.Lock()
	defer c.group.budget.mu.Unlock()
	return c.yielded
}

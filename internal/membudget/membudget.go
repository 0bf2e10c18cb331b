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
	// closing is the part of reserved whose connections were closed for others and have not ended yet.
	closing int
	ended   *sync.Cond // a connection ended or was closed for others
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
	return &Group{budget: b, limits: l, yielding: list.New(), ended: sync.NewCond(&b.mu)}
}

// add adds bytes to what is reserved. It must be called with the budget locked.
func (g *Group) add(bytes int) {
	g.reserved += bytes
	g.budget.usage.Reserved += bytes
}

// makeRoom takes connections out of the group until bytes for c fit once those have ended. It returns false if
// they never do or c is itself one of them. It must be called with the budget locked.
func (g *Group) makeRoom(bytes int, c *Conn) (victims []*Conn, ok bool) {
	for g.reserved-g.closing+bytes > g.limits.Bytes {
		if g.yielding.Len() == 0 || c != nil && c.yielded {
			return victims, false
		}
		victims = append(victims, g.yieldFirst())
	}
	return victims, true
}

// yieldFirst takes the connection without progress for longest out of the group. Its memory stays reserved until it
// ends. It must be called with the budget locked.
func (g *Group) yieldFirst() *Conn {
	c := g.yielding.Front().Value.(*Conn)
	c.yielded = true
	c.hold()
	g.connections--
	g.closing += c.bytes
	g.budget.usage.Closed++
	g.ended.Broadcast()
	return c
}

// maxClosingShare is the part of a group's memory that connections may take that were closed and have not ended.
const maxClosingShare = 4

// Conn is a connection of a group. A nil Conn has no bounds.
type Conn struct {
	group    *Group
	bytes    int
	closeFn  func()
	position *list.Element // in group.yielding, nil while the connection must not be closed
	yielded  bool          // it was closed for others
	hasEnded bool
}

// Open adds a connection. It returns nil if the group has no room and none of its connections may be closed.
// closeConn closes the connection and may be called at any time, by other connections' goroutines; Close must
// follow once nothing of the connection is in memory. Open waits while too many connections were closed and have
// not ended yet.
func (g *Group) Open(closeConn func()) *Conn {
	b := g.budget
	b.mu.Lock()
	for g.closing > g.limits.Bytes/maxClosingShare {
		g.ended.Wait()
	}
	var victims []*Conn
	for g.connections >= g.limits.Connections && g.yielding.Len() > 0 {
		victims = append(victims, g.yieldFirst())
	}
	more, ok := g.makeRoom(g.limits.ConnBytes, nil)
	victims = append(victims, more...)
	var c *Conn
	if ok && g.connections < g.limits.Connections {
		c = &Conn{group: g, closeFn: closeConn, bytes: g.limits.ConnBytes}
		g.add(c.bytes)
		g.connections++
		c.position = g.yielding.PushBack(c)
	} else {
		b.usage.Refused++
	}
	b.mu.Unlock()
	closeAll(victims)
	return c
}

// Reserve reserves bytes for a request on the connection, and waits until connections that give way for it have
// ended. It returns false if there is no room even if all others give way, or if the connection itself gives way;
// see Yielded.
func (c *Conn) Reserve(bytes int) bool {
	if c == nil {
		return true
	}
	g := c.group
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	for !c.yielded && !c.hasEnded {
		victims, ok := g.makeRoom(bytes, c)
		if len(victims) > 0 {
			g.budget.mu.Unlock()
			closeAll(victims)
			g.budget.mu.Lock()
			continue
		}
		switch {
		case !ok:
			g.budget.usage.Refused++
			return false
		case g.reserved+bytes <= g.limits.Bytes:
			g.add(bytes)
			c.bytes += bytes
			return true
		}
		g.ended.Wait()
	}
	return false
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
	g := c.group
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	if c.yielded || c.hasEnded {
		return
	}
	g.add(g.limits.ConnBytes - c.bytes)
	c.bytes = g.limits.ConnBytes
	c.hold()
	c.position = g.yielding.PushBack(c)
	g.ended.Broadcast()
}

// Close removes a connection that has ended. It may be called more than once.
func (c *Conn) Close() {
	if c == nil {
		return
	}
	g := c.group
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	if c.hasEnded {
		return
	}
	c.hasEnded = true
	c.hold()
	if c.yielded {
		g.closing -= c.bytes
	} else {
		g.connections--
	}
	g.add(-c.bytes)
	c.bytes = 0
	g.ended.Broadcast()
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

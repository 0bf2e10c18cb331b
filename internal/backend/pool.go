package backend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// errNoConnection means that all connections of this process's share to the backend
// server are in use.
var errNoConnection = errors.New("all connections to the backend server are in use")

// conn is one connection to a backend server. http.ClientConn sends a request on this
// connection only. http.Transport would resend GET, HEAD, OPTIONS, TRACE and requests
// with an idempotency header on a second connection after a reused one broke.
type conn struct {
	client *http.ClientConn
	meter  *meteredConn
	idleAt time.Time
}

// connPool holds the connections to one backend server.
type connPool struct {
	address   string
	transport *http.Transport
	dialer    net.Dialer
	idleFor   time.Duration

	mu   sync.Mutex
	max  int
	open int
	idle []*conn // most recently used last
}

// dialedKey is the context key of the dialed connection that newTransport's dialer
// returns.
type dialedKey struct{}

// newTransport returns the Transport that creates ClientConns from dialed
// connections. Its own connection pool is not used.
func newTransport(maxHeader int64) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return ctx.Value(dialedKey{}).(net.Conn), nil
		},
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeader,
	}
}

// get returns an idle connection or dials a new one. If fresh is true, it always
// dials.
func (p *connPool) get(ctx context.Context, fresh bool) (c *conn, reused bool, err error) {
	if !fresh {
		if c := p.takeIdle(time.Now()); c != nil {
			return c, true, nil
		}
	}
	if !p.reserve() {
		return nil, false, errNoConnection
	}
	c, err = p.dial(ctx)
	if err != nil {
		p.release()
		return nil, false, err
	}
	return c, false, nil
}

func (p *connPool) takeIdle(now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle[last] = nil
		p.idle = p.idle[:last]
		if c.client.Err() == nil && now.Sub(c.idleAt) < p.idleFor {
			return c
		}
		_ = c.client.Close()
		p.open--
	}
	return nil
}

// reserve reserves one more connection. At the limit it closes the idle connection
// that has been unused for longest.
func (p *connPool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.max && len(p.idle) > 0 {
		_ = p.idle[0].client.Close()
		p.idle = p.idle[1:]
		p.open--
	}
	if p.open >= p.max {
		return false
	}
	p.open++
	return true
}

func (p *connPool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

func (p *connPool) dial(ctx context.Context) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	meter := &meteredConn{Conn: raw}
	client, err := p.transport.NewClientConn(context.WithValue(ctx, dialedKey{}, meter), "http", p.address)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	return &conn{client: client, meter: meter}, nil
}

// put returns a connection to the pool. Its answer must have been read completely.
func (p *connPool) put(c *conn) {
	c.idleAt = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.client.Err() != nil || p.open > p.max {
		_ = c.client.Close()
		p.open--
		return
	}
	p.idle = append(p.idle, c)
}

// drop closes a connection that can't be reused.
func (p *connPool) drop(c *conn) {
	_ = c.client.Close()
	p.release()
}

// resize sets the maximum number of connections. Connections over it are closed as
// they become idle.
func (p *connPool) resize(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.max = limit
}

// trim closes connections that have been idle for idleFor or longer.
func (p *connPool) trim(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	keep := p.idle[:0]
	for _, c := range p.idle {
		if c.client.Err() == nil && now.Sub(c.idleAt) < p.idleFor {
			keep = append(keep, c)
			continue
		}
		_ = c.client.Close()
		p.open--
	}
	clear(p.idle[len(keep):])
	p.idle = keep
}

// closeIdle closes all idle connections.
func (p *connPool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		_ = c.client.Close()
		p.open--
	}
	p.idle = nil
}

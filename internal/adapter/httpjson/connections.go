package httpjson

import (
	"context"
	"net"
	"sync"
)

// connections are the open connections of a client. The transport of the standard library closes only idle ones, and a
// connection that went silent has calls in progress. The zero value is ready for use.
type connections struct {
	mu   sync.Mutex
	open map[*connection]struct{}
}

type connection struct {
	net.Conn
	of *connections
}

func (c *connections) dial(ctx context.Context, network, address string) (net.Conn, error) {
	inner, err := (&net.Dialer{Timeout: PingInterval}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conn := &connection{inner, c}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = map[*connection]struct{}{}
	}
	c.open[conn] = struct{}{}
	return conn, nil
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.of.mu.Lock()
	delete(c.of.open, c)
	c.of.mu.Unlock()
	return c.Conn.Close()
}

func (c *connections) closeAll() {
	c.mu.Lock()
	open := make([]*connection, 0, len(c.open))
	for conn := range c.open {
		open = append(open, conn)
	}
	c.mu.Unlock()
	for _, conn := range open {
		_ = conn.Close() // the other side may be gone
	}
}

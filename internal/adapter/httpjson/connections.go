package httpjson

import (
	"context"
	"net"
	"sync"
)

// connTracker tracks the open connections of a client so that all of them can be closed. http.Transport closes only idle
// connections, and an unresponsive connection has calls in progress. The zero value is ready for use.
type connTracker struct {
	mu    sync.Mutex
	conns map[*trackedConn]struct{}
}

type trackedConn struct {
	net.Conn
	tracker *connTracker
}

func (c *connTracker) dial(ctx context.Context, network, address string) (net.Conn, error) {
	inner, err := (&net.Dialer{Timeout: PingInterval}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conn := &trackedConn{inner, c}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = map[*trackedConn]struct{}{}
	}
	c.conns[conn] = struct{}{}
	return conn, nil
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.tracker.mu.Lock()
	delete(c.tracker.conns, c)
	c.tracker.mu.Unlock()
	return c.Conn.Close()
}

func (c *connTracker) closeAll() {
	c.mu.Lock()
	conns := make([]*trackedConn, 0, len(c.conns))
	for conn := range c.conns {
		conns = append(conns, conn)
	}
	c.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close() // the peer may have closed it already
	}
}

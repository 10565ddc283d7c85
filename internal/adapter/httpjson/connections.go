package httpjson

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// connection is the connection of a client between two resets. Each has a transport of its own, because http.Transport
// sends further calls on a closed connection until it has noticed that it is closed.
type connection struct {
	http      *http.Client
	transport *http.Transport
	conns     connTracker
}

func newConnection() *connection {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	c := &connection{}
	c.transport = &http.Transport{
		Protocols:          &protocols,
		DisableCompression: true,
		MaxConnsPerHost:    1, // without a limit, each of several concurrent calls opens a connection when there is none yet
		DialContext:        c.conns.dial,
		HTTP2:              &http.HTTP2Config{SendPingTimeout: PingInterval, PingTimeout: PingInterval},
	}
	c.http = &http.Client{Transport: c.transport}
	return c
}

func (c *connection) close() {
	c.transport.CloseIdleConnections()
	c.conns.closeAll()
}

// connTracker tracks the open connections of a client so that all of them can be closed. http.Transport closes only idle
// connections, and an unresponsive connection has calls in progress. The zero value is ready for use.
type connTracker struct {
	mu     sync.Mutex
	closed bool // closeAll has been called
	conns  map[*trackedConn]struct{}
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
	if c.closed { // while the connection was being opened
		_ = inner.Close() // it has not been used
		return nil, &net.OpError{Op: "dial", Net: network, Err: net.ErrClosed}
	}
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

// closeAll closes the open connections and those that are being opened.
func (c *connTracker) closeAll() {
	c.mu.Lock()
	c.closed = true
	conns := make([]*trackedConn, 0, len(c.conns))
	for conn := range c.conns {
		conns = append(conns, conn)
	}
	c.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close() // the peer may have closed it already
	}
}

package worker

import (
	"net"
	"sync"
)

// listener counts the connections of a worker and can stall the open ones.
type listener struct {
	net.Listener
	mu       sync.Mutex
	open     map[*conn]struct{}
	peakOpen int
	accepted int
}

// conn is a connection. Once it is stalled, received data is discarded and written data is not sent.
type conn struct {
	net.Conn
	parent *listener

	mu      sync.Mutex
	stalled bool
}

// Connections are counts of a worker's connections.
type Connections struct {
	Open     int
	Peak     int // largest number open at a time
	Accepted int // total number accepted since the start
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, parent: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	l.accepted++
	l.peakOpen = max(l.peakOpen, len(l.open))
	return c, nil
}

func (l *listener) connections() Connections {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Connections{Open: len(l.open), Peak: l.peakOpen, Accepted: l.accepted}
}

func (l *listener) forEachConn(do func(*conn)) {
	l.mu.Lock()
	open := make([]*conn, 0, len(l.open))
	for c := range l.open {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		do(c)
	}
}

func (c *conn) stall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stalled = true
}

func (c *conn) isStalled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stalled
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.isStalled() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.isStalled() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.parent.mu.Lock()
	delete(c.parent.open, c)
	c.parent.mu.Unlock()
	return c.Conn.Close()
}

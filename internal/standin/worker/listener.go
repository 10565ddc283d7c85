package worker

import (
	"net"
	"sync"
)

// listener counts the connections of a stand-in and can make the open ones go silent.
type listener struct {
	net.Listener
	mu   sync.Mutex
	open map[*conn]struct{}
	peak int
	made int
}

// conn is one connection. While it is silent, nothing that it receives is seen and nothing that is sent leaves.
type conn struct {
	net.Conn
	of *listener

	mu     sync.Mutex
	silent bool
}

// Connections are counts of a stand-in's connections.
type Connections struct {
	Open     int
	Peak     int // most at one time
	Accepted int // since the start
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, of: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	l.made++
	l.peak = max(l.peak, len(l.open))
	return c, nil
}

func (l *listener) connections() Connections {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Connections{Open: len(l.open), Peak: l.peak, Accepted: l.made}
}

func (l *listener) each(do func(*conn)) {
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

func (c *conn) setSilent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

func (c *conn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.isSilent() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.of.mu.Lock()
	delete(c.of.open, c)
	c.of.mu.Unlock()
	return c.Conn.Close()
}

package main

import (
	"net"
	"sync"
	"time"
)

// linkChunk is how much of a write passes a link at once.
const linkChunk = 8 << 10

// link limits what a machine receives from the platform to the bandwidth of the machine's own link.
type link struct {
	net.Listener
	bytesPerSecond float64

	mu   sync.Mutex
	free time.Time // when the link has carried what was sent so far
}

// newLink returns a listener for one machine whose link carries mbps million bits a second.
func newLink(listener net.Listener, mbps float64) *link {
	return &link{Listener: listener, bytesPerSecond: mbps * 1e6 / 8}
}

// Accept implements net.Listener.
func (l *link) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &linkedConn{conn, l}, nil
}

// await waits until the link has carried n more bytes.
func (l *link) await(n int) {
	l.mu.Lock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	until := l.free
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

type linkedConn struct {
	net.Conn
	link *link
}

// Write implements net.Conn.
func (c *linkedConn) Write(p []byte) (int, error) {
	sent := 0
	for sent < len(p) {
		chunk := p[sent:min(sent+linkChunk, len(p))]
		c.link.await(len(chunk))
		n, err := c.Conn.Write(chunk)
		sent += n
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}

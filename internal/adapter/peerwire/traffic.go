package peerwire

import (
	"bufio"
	"net"
	"sync/atomic"
)

// traffic counts what passes between this process and its peers.
type traffic struct {
	bytesIn, bytesOut, messagesIn, messagesOut, replaced atomic.Int64
}

// Traffic is a reading of the counts since the start.
type Traffic struct {
	BytesIn, BytesOut       int64 // on the connections, TLS included
	MessagesIn, MessagesOut int64 // calls, replies and heartbeats
	ReplacedSessions        int64 // sessions that a new connection replaced
	OpenSessions            int   // open now
}

// Traffic returns the counts.
func (t *Transport) Traffic() Traffic {
	t.mu.Lock()
	open := len(t.sessions)
	t.mu.Unlock()
	c := &t.traffic
	return Traffic{
		BytesIn: c.bytesIn.Load(), BytesOut: c.bytesOut.Load(), MessagesIn: c.messagesIn.Load(),
		MessagesOut: c.messagesOut.Load(), ReplacedSessions: c.replaced.Load(), OpenSessions: open,
	}
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	traffic *traffic
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.bytesIn.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.bytesOut.Add(int64(n))
	return n, err
}

// bufferedConn reads first what the handshake read too much.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

func (c bufferedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

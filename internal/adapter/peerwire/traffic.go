package peerwire

import (
	"bufio"
	"net"
	"sync/atomic"
)

// trafficCounters counts the traffic between this process and its peers.
type trafficCounters struct {
	bytesIn, bytesOut, messagesIn, messagesOut, replacedSessions atomic.Int64
}

// Traffic is a snapshot of the traffic counters, which count from the start of the process.
type Traffic struct {
	BytesIn, BytesOut       int64 // on the connections, including the TLS overhead
	MessagesIn, MessagesOut int64 // calls, replies and heartbeats
	ReplacedSessions        int64 // sessions replaced by a new connection
	OpenSessions            int   // sessions open at present
}

// Traffic returns a snapshot of the traffic counters.
func (t *Transport) Traffic() Traffic {
	t.mu.Lock()
	open := len(t.sessions)
	t.mu.Unlock()
	c := &t.counters
	return Traffic{
		BytesIn: c.bytesIn.Load(), BytesOut: c.bytesOut.Load(), MessagesIn: c.messagesIn.Load(),
		MessagesOut: c.messagesOut.Load(), ReplacedSessions: c.replacedSessions.Load(), OpenSessions: open,
	}
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	counters *trafficCounters
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.bytesIn.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.bytesOut.Add(int64(n))
	return n, err
}

// bufferedConn reads through the reader of the handshake, which may have buffered bytes that follow the hello message.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

func (c bufferedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// Package relay is a TCP proxy that simulates network faults between two processes: it can stall the open connections,
// while new ones work, and it can reset them.
package relay

import (
	"net"
	"sync"

	"skylarkstall/internal/fault"
)

// Relay is a running TCP proxy.
type Relay struct {
	listener net.Listener
	target   string

	mu        sync.Mutex
	stalled   chan struct{} // closed to stall the connections that are open now
	openConns map[net.Conn]bool
	closed    chan struct{}
}

// Start starts a relay on a free loopback port that forwards connections to the target.
func Start(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.WrapAs(fault.Unavailable, err, "listen")
	}
	r := &Relay{listener: listener, target: target, stalled: make(chan struct{}), openConns: map[net.Conn]bool{}, closed: make(chan struct{})}
	go r.accept()
	return r, nil
}

// Address returns the listening address as host:port.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close stops accepting connections and closes the stalled ones.
func (r *Relay) Close() {
	close(r.closed)
	_ = r.listener.Close()
}

// StallConnections stalls the open connections: they stay open but transfer no more data.
func (r *Relay) StallConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.stalled)
	r.stalled = make(chan struct{})
}

// ResetConnections closes the open connections.
func (r *Relay) ResetConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.openConns {
		_ = conn.Close()
	}
	clear(r.openConns)
}

func (r *Relay) accept() {
	for {
		downstream, err := r.listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = downstream.Close()
			continue
		}
		r.mu.Lock()
		stalled := r.stalled
		r.openConns[downstream], r.openConns[upstream] = true, true
		r.mu.Unlock()
		go r.copyData(downstream, upstream, stalled)
		go r.copyData(upstream, downstream, stalled)
	}
}

func (r *Relay) closeConns(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		delete(r.openConns, conn)
		_ = conn.Close()
	}
}

// copyData copies data until either connection ends. A stalled connection is held open until the relay is closed.
func (r *Relay) copyData(from, to net.Conn, stalled <-chan struct{}) {
	defer r.closeConns(from, to)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-stalled:
			<-r.closed
			return
		default:
		}
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// Package relay is a stand-in for the network between two processes: it passes TCP connections on, can make the open ones
// silent while new ones work, and can reset them.
package relay

import (
	"net"
	"sync"

	"skylarkstall/internal/fault"
)

// Relay is a relay that listens.
type Relay struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	frozen chan struct{} // closed when the connections that are open now become silent
	open   map[net.Conn]bool
	closed chan struct{}
}

// Start returns a relay on a free port of loopback that passes connections on to the target.
func Start(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.WrapAs(fault.Unavailable, err, "listen")
	}
	r := &Relay{listener: listener, target: target, frozen: make(chan struct{}), open: map[net.Conn]bool{}, closed: make(chan struct{})}
	go r.run()
	return r, nil
}

// Address returns host:port.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close ends the relay and all its connections.
func (r *Relay) Close() {
	close(r.closed)
	_ = r.listener.Close()
}

// StallConnections makes the open connections silent: they stay open and carry nothing more.
func (r *Relay) StallConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.frozen)
	r.frozen = make(chan struct{})
}

// ResetConnections closes the open connections.
func (r *Relay) ResetConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.open {
		_ = conn.Close()
	}
	clear(r.open)
}

func (r *Relay) run() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		r.mu.Lock()
		frozen := r.frozen
		r.open[near], r.open[far] = true, true
		r.mu.Unlock()
		go r.pass(near, far, frozen)
		go r.pass(far, near, frozen)
	}
}

func (r *Relay) forget(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		delete(r.open, conn)
		_ = conn.Close()
	}
}

// pass copies until the connection ends. A frozen one is held open until the relay is closed.
func (r *Relay) pass(from, to net.Conn, frozen <-chan struct{}) {
	defer r.forget(from, to)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-frozen:
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

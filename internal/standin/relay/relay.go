// Package relay is a TCP proxy that simulates network faults between two processes: it can stall the open connections,
// while new ones work, reset them, and hold back or delay what is sent in one direction or both.
package relay

import (
	"net"
	"sync"
	"time"

	"skylarkstall/internal/fault"
	"skylarkstall/internal/notify"
)

// Faults harm all connections of a relay, also those that are opened later.
type Faults struct {
	HoldRequests  bool          // what is sent to the target arrives once the fault is over
	HoldResponses bool          // what the target sends arrives once the fault is over
	Refuse        bool          // new connections are closed at once
	Delay         time.Duration // added to what is sent, in both directions
	Every         int           // hold and delay only every n-th connection, so that others overtake it; 0: all
}

func holdsRequests(f Faults) bool  { return f.HoldRequests }
func holdsResponses(f Faults) bool { return f.HoldResponses }

// harms reports whether data of the connection with a number is held back or delayed.
func (f Faults) harms(connection int) bool { return f.Every == 0 || connection%f.Every == 0 }

// Relay is a running TCP proxy.
type Relay struct {
	listener  net.Listener
	accepting sync.WaitGroup
	target    string

	mu        sync.Mutex
	stalled   chan struct{} // closed to stall the connections that are open now
	openConns map[net.Conn]bool
	closed    chan struct{}
	faults    Faults
	changed   notify.Broadcast // signals new faults
}

// Start starts a relay on a free loopback port that forwards connections to the target.
func Start(target string) (*Relay, error) { return StartAt("127.0.0.1:0", target) }

// StartAt is like Start, with a given address to listen on.
func StartAt(address, target string) (*Relay, error) {
	r := &Relay{target: target, stalled: make(chan struct{}), openConns: map[net.Conn]bool{}, closed: make(chan struct{})}
	return r, r.listen(address)
}

// listen starts to accept connections. The caller must not call Address meanwhile.
func (r *Relay) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fault.WrapAs(fault.Unavailable, err, "listen")
	}
	r.listener = listener
	r.accepting.Go(func() { r.accept(listener) })
	return nil
}

// TargetStopped lets the relay refuse connections, as the address of a process that is down does.
func (r *Relay) TargetStopped() {
	_ = r.listener.Close()
	r.accepting.Wait() // the address is in use until then
}

// TargetStarts lets the relay accept connections again.
func (r *Relay) TargetStarts() error { return r.listen(r.Address()) }

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

// SetFaults replaces the faults of the relay.
func (r *Relay) SetFaults(faults Faults) {
	r.mu.Lock()
	r.faults = faults
	r.mu.Unlock()
	r.changed.Signal()
}

func (r *Relay) currentFaults() Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

// hold waits while the faults hold back data of a connection, and then for their delay. It returns false if the relay was closed
// meanwhile.
func (r *Relay) hold(connection int, holds func(Faults) bool) bool {
	for {
		changed := r.changed.Changed()
		faults := r.currentFaults()
		if !faults.harms(connection) {
			return true
		}
		if !holds(faults) {
			time.Sleep(faults.Delay)
			return true
		}
		select {
		case <-changed:
		case <-r.closed:
			return false
		}
	}
}

func (r *Relay) accept(listener net.Listener) {
	for connection := 0; ; connection++ {
		downstream, err := listener.Accept()
		if err != nil {
			return
		}
		if r.currentFaults().Refuse {
			_ = downstream.Close()
			continue
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
		go r.copyData(downstream, upstream, stalled, func() bool { return r.hold(connection, holdsRequests) })
		go r.copyData(upstream, downstream, stalled, func() bool { return r.hold(connection, holdsResponses) })
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
func (r *Relay) copyData(from, to net.Conn, stalled <-chan struct{}, pass func() bool) {
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
		if err != nil || !pass() {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

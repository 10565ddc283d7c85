package peerwire

import (
	"net"
	"sync"
	"testing"
)

// relay passes TCP connections on and can freeze the open ones: they stay open and carry nothing more, while new ones
// work.
type relay struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	frozen chan struct{} // closed when the open connections are frozen
	closed chan struct{}
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, target: target, frozen: make(chan struct{}), closed: make(chan struct{})}
	go r.run()
	t.Cleanup(func() { close(r.closed); listener.Close() })
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) run() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.target)
		if err != nil {
			near.Close()
			continue
		}
		r.mu.Lock()
		frozen := r.frozen
		r.mu.Unlock()
		go r.pass(near, far, frozen)
		go r.pass(far, near, frozen)
	}
}

// pass copies until the connection is frozen; a frozen one is held open until the relay is closed.
func (r *relay) pass(from, to net.Conn, frozen <-chan struct{}) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-frozen:
			<-r.closed
		default:
		}
		if err != nil {
			from.Close()
			to.Close()
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			from.Close()
			return
		}
	}
}

// freeze makes the open connections silent.
func (r *relay) freeze() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.frozen)
	r.frozen = make(chan struct{})
}

// Package vmlist is a fake of the platform's VM list, which can lag or be unavailable.
package vmlist

import (
	"net"
	"net/http"
	"sync"
	"time"

	"skylarkstall/internal/adapter/httpjson"
	"skylarkstall/internal/adapter/vmlisthttp"
	"skylarkstall/internal/fault"
)

// List is a fake VM list that listens for calls.
type List struct {
	mu          sync.Mutex
	snapshots   []snapshot // oldest first; the last one is current
	lag         time.Duration
	unavailable bool
	server      *http.Server
	listener    net.Listener
}

type snapshot struct {
	takenAt time.Time
	vms     []vmlisthttp.VM
}

// Start starts an empty list that listens on the address.
func Start(address string) (*List, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.WrapAs(fault.Unavailable, err, "listen")
	}
	l := &List{listener: listener}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+vmlisthttp.Path, l.serve)
	l.server = httpjson.NewServer(mux)
	go func() { _ = l.server.Serve(listener) }() // returns when the server is closed
	return l, nil
}

// Address returns the listening address as host:port.
func (l *List) Address() string { return l.listener.Addr().String() }

// Close stops the list.
func (l *List) Close() { _ = l.server.Close() } // a failed close needs no handling

// Set replaces the list.
func (l *List) Set(vms []vmlisthttp.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.snapshots = append(l.snapshots, snapshot{time.Now(), vms})
}

// SetLag makes the list return its content of the given time ago.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// SetUnavailable makes all calls fail, or makes them succeed again.
func (l *List) SetUnavailable(unavailable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unavailable = unavailable
}

func (l *List) serve(w http.ResponseWriter, _ *http.Request) {
	vms, unavailable := l.visible(time.Now())
	if unavailable {
		httpjson.WriteError(w, fault.New(fault.Unavailable, "the VM list is unavailable"))
		return
	}
	httpjson.WriteJSON(w, vmlisthttp.Reply{VMs: vms})
}

func (l *List) visible(now time.Time) ([]vmlisthttp.VM, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var vms []vmlisthttp.VM
	for _, v := range l.snapshots {
		if !v.takenAt.After(now.Add(-l.lag)) {
			vms = v.vms
		}
	}
	return vms, l.unavailable
}

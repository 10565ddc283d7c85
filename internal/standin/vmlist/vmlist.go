// Package vmlist is a stand-in for the platform's VM list. It can lag and be down.
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

// List is a stand-in that listens for calls.
type List struct {
	mu       sync.Mutex
	versions []version // oldest first; the last one is the truth
	lag      time.Duration
	down     bool
	server   *http.Server
	listener net.Listener
}

type version struct {
	since time.Time
	vms   []vmlisthttp.VM
}

// Start returns an empty list that listens on the address.
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

// Address returns host:port.
func (l *List) Address() string { return l.listener.Addr().String() }

// Close ends the stand-in.
func (l *List) Close() { _ = l.server.Close() } // nothing to do about a failed close

// Set replaces the list.
func (l *List) Set(vms []vmlisthttp.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, version{time.Now(), vms})
}

// SetLag makes the list show what was true so long ago.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// SetUnavailable makes every call fail.
func (l *List) SetUnavailable(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *List) serve(w http.ResponseWriter, _ *http.Request) {
	vms, down := l.visible(time.Now())
	if down {
		httpjson.WriteError(w, fault.New(fault.Unavailable, "the VM list is down"))
		return
	}
	httpjson.WriteJSON(w, vmlisthttp.Reply{VMs: vms})
}

func (l *List) visible(now time.Time) ([]vmlisthttp.VM, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var vms []vmlisthttp.VM
	for _, v := range l.versions {
		if !v.since.After(now.Add(-l.lag)) {
			vms = v.vms
		}
	}
	return vms, l.down
}

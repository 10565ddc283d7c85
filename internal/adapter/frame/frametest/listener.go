// Package frametest has fakes for tests of what accepts connections.
package frametest

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
)

// FailingListener fails to accept a few times, as without a free file descriptor, before it accepts a connection.
type FailingListener struct {
	net.Listener
	failures atomic.Int64
}

// NewFailingListener returns a listener of which the given number of attempts to accept fail.
func NewFailingListener(listener net.Listener, failures int64) *FailingListener {
	l := &FailingListener{Listener: listener}
	l.failures.Store(failures)
	return l
}

// Accept implements net.Listener.
func (l *FailingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

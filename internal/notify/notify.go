// Package notify signals a change to all goroutines that wait for it.
package notify

import "sync"

// Broadcast signals changes by closing a channel. The zero value is ready for use.
type Broadcast struct {
	mu sync.Mutex
	ch chan struct{}
}

// Changed returns a channel that is closed at the next Signal. Call it before reading the state that may change;
// otherwise a change between the read and the call is missed.
func (b *Broadcast) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch == nil {
		b.ch = make(chan struct{})
	}
	return b.ch
}

// Signal wakes all goroutines that wait on a channel returned by Changed.
func (b *Broadcast) Signal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch != nil {
		close(b.ch)
		b.ch = nil
	}
}

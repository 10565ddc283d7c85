// Package notify wakes goroutines that wait for a change.
package notify

import "sync"

// Broadcast wakes every goroutine that waits on the current channel. The zero value is ready for use.
type Broadcast struct {
	mu sync.Mutex
	ch chan struct{}
}

// Changed returns a channel that is closed at the next Signal. Take it before reading the state that may change.
func (b *Broadcast) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch == nil {
		b.ch = make(chan struct{})
	}
	return b.ch
}

// Signal wakes the waiting goroutines.
func (b *Broadcast) Signal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch != nil {
		close(b.ch)
		b.ch = nil
	}
}

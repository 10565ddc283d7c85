package leadership

import (
	"context"
	"sync"
	"time"

	"skylarkstall/internal/domain/fitness"
	"skylarkstall/internal/pause"
)

// timerInterval is the interval of the timer whose delay shows whether the process gets its processor time.
const timerInterval = 100 * time.Millisecond

// Lateness collects the signs that the leader does not keep up. It is safe for concurrent use; a nil one notes nothing.
type Lateness struct {
	mu    sync.Mutex
	signs fitness.Lateness
}

// Note records a sign.
func (l *Lateness) Note(sign fitness.Sign, now time.Time) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.signs.Note(sign, now)
}

// For returns for how long the leader has been late, and 0 if it is not.
func (l *Lateness) For(now time.Time) time.Duration {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.signs.For(now)
}

// Counts returns the number of signs of each kind so far.
func (l *Lateness) Counts() map[fitness.Sign]int {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.signs.Counts()
}

// watchTimers notes timers that fire late, until the context ends.
func (l *Lateness) watchTimers(ctx context.Context) {
	for {
		due := time.Now().Add(timerInterval)
		if !pause.For(ctx, timerInterval) {
			return
		}
		if now := time.Now(); now.Sub(due) >= fitness.LateTimerAfter {
			l.Note(fitness.LateTimer, now)
		}
	}
}

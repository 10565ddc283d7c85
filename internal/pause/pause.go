// Package pause waits for a time, or until a context ends.
package pause

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits for d or until the context ends, and reports whether the whole time passed.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Jitter returns a random time from d/2 to 3d/2, so that processes that failed together do not try again together.
func Jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + rand.N(d)
}

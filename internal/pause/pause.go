// Package pause waits for a time, or until a context ends.
package pause

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
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

// Jitter returns a time from d/2 to 3d/2 that depends on the key and the clock, so that processes that failed
// together do not try again together. It is no random number, so that a session on a fake clock replays; the key
// names the process and what it tries.
func Jitter(d time.Duration, key string) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + time.Duration(xxhash.Sum64String(key+time.Now().Format(time.RFC3339Nano))%uint64(d))
}

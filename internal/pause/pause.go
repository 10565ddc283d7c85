// Package pause sleeps for a duration or until a context ends, and computes jittered durations.
package pause

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
)

// For sleeps for d or until the context ends, and reports whether the full duration has passed.
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

// Jitter returns a duration from d/2 to 3d/2, so that processes that failed at the same time do not retry at the same
// time. It is a hash of the key and the clock instead of a random number, so that a run on a fake clock is
// reproducible; the key names the process and the operation that it retries.
func Jitter(d time.Duration, key string) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + time.Duration(xxhash.Sum64String(key+time.Now().Format(time.RFC3339Nano))%uint64(d))
}

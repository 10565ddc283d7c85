package pause

import (
	"context"
	"os"
	"time"

	"skylarkstall/internal/fault"
)

// PollTimer waits like a timer, but the waiting goroutine resumes through the network poller of the Go runtime, as a
// goroutine that reads from a connection does. In a process with many runnable goroutines this takes much longer than the
// resumption by a plain timer, so the delay shows how late messages of other processes are read.
type PollTimer struct {
	reader, writer *os.File // a pipe; a byte resumes the waiting goroutine
}

// NewPollTimer returns a timer for one goroutine. It fails with Internal if the process has no free file descriptors.
func NewPollTimer() (*PollTimer, error) {
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, fault.WrapAs(fault.Internal, err, "open a pipe")
	}
	return &PollTimer{reader, writer}, nil
}

// WaitUntil waits until the given time or until the context ends. It may return too early after a call that was ended by
// its context.
func (t *PollTimer) WaitUntil(ctx context.Context, at time.Time) {
	timer := time.AfterFunc(time.Until(at), t.wake)
	defer timer.Stop()
	stop := context.AfterFunc(ctx, t.wake)
	defer stop()
	_, _ = t.reader.Read(make([]byte, 1)) // fails only after Close
}

func (t *PollTimer) wake() { _, _ = t.writer.Write([]byte{0}) } // fails only after Close

// Close releases the file descriptors.
func (t *PollTimer) Close() {
	_ = t.reader.Close() // a failed close needs no handling
	_ = t.writer.Close()
}

// Until waits until the given time or until the context ends.
func Until(ctx context.Context, at time.Time) { For(ctx, time.Until(at)) }

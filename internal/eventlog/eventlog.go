// Package eventlog writes the log of a process without ever holding up who logs: lines go through a bounded buffer to a
// writer of their own. Each line is an event, which is also counted.
package eventlog

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the buffer, in bytes.
const (
	bufferSize = 1 << 20
	// generalSize is the part that lines which are not about a single job may use.
	generalSize = bufferSize / 2
)

// Event is a line, for those who count.
type Event struct {
	Name    string        // the message
	Outcome string        // of the attribute kind, state or how; empty without one
	Took    time.Duration // of the attribute took_ms; negative without one
}

// Log takes lines. Run writes them.
type Log struct {
	out     io.Writer
	level   slog.Level
	observe func(Event)
	wake    chan struct{}

	mu      sync.Mutex
	buffer  bytes.Buffer
	dropped map[string]int // lines by message
	total   atomic.Int64
}

// New returns a log of lines of at least the level. Each event is observed, also one below the level.
func New(out io.Writer, level slog.Level, observe func(Event)) *Log {
	return &Log{out: out, level: level, observe: observe, wake: make(chan struct{}, 1), dropped: map[string]int{}}
}

// Dropped returns how many lines were dropped since the start.
func (l *Log) Dropped() int64 { return l.total.Load() }

// Logger returns a logger whose lines carry the attributes.
func (l *Log) Logger(attrs ...any) *slog.Logger {
	return slog.New(&handler{log: l}).With(attrs...)
}

// Run writes lines until the context ends, and then what is left.
func (l *Log) Run(ctx context.Context) {
	for {
		select {
		case <-l.wake:
			l.flush()
		case <-ctx.Done():
			l.flush()
			return
		}
	}
}

func (l *Log) flush() {
	l.mu.Lock()
	lines := bytes.Clone(l.buffer.Bytes())
	l.buffer.Reset()
	dropped := l.dropped
	l.dropped = map[string]int{}
	l.mu.Unlock()
	if len(lines) > 0 {
		_, _ = l.out.Write(lines) // nobody is left to tell
	}
	for name, n := range dropped {
		record := slog.NewRecord(time.Now(), slog.LevelWarn, "log lines dropped", 0)
		record.Add("event", name, "lines", n)
		_ = slog.NewTextHandler(l.out, nil).Handle(context.Background(), record) // as above
	}
}

// add keeps a line, unless the part of the buffer for its sort is full.
func (l *Log) add(text []byte, name string, aboutJob bool) {
	limit := generalSize
	if aboutJob {
		limit = bufferSize
	}
	l.mu.Lock()
	if l.buffer.Len()+len(text) > limit {
		l.dropped[name]++
		l.total.Add(1)
	} else {
		l.buffer.Write(text)
	}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default: // the writer is about to look
	}
}

// line passes a formatted line on; the handler tells before what it is about.
type line struct {
	log      *Log
	name     string
	aboutJob bool
}

func (w *line) Write(p []byte) (int, error) {
	w.log.add(p, w.name, w.aboutJob)
	return len(p), nil
}

// handler formats records and counts them.
type handler struct {
	log   *Log
	attrs []slog.Attr
}

// Enabled implements slog.Handler. Records below the level are counted only.
func (h *handler) Enabled(_ context.Context, level slog.Level) bool {
	return level >= h.log.level || h.log.observe != nil
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, record slog.Record) error {
	event := Event{Name: record.Message, Took: -1}
	aboutJob := false
	record.Attrs(func(a slog.Attr) bool {
		switch a.Key {
		case "job", "task", "step":
			aboutJob = true
		case "kind", "state", "how":
			event.Outcome = a.Value.String()
		case "took_ms":
			event.Took = time.Duration(a.Value.Int64()) * time.Millisecond
		}
		return true
	})
	if h.log.observe != nil {
		h.log.observe(event)
	}
	if record.Level < h.log.level {
		return nil
	}
	out := &line{log: h.log, name: record.Message, aboutJob: aboutJob}
	return slog.NewTextHandler(out, &slog.HandlerOptions{Level: slog.LevelDebug}).WithAttrs(h.attrs).Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{log: h.log, attrs: append(append([]slog.Attr(nil), h.attrs...), attrs...)}
}

// WithGroup implements slog.Handler. No line has groups.
func (h *handler) WithGroup(string) slog.Handler { return h }

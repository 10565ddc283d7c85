// Package eventlog writes the log of a process without blocking the goroutines that log: lines pass through a bounded
// buffer to a separate writer. Each line is an event, which is also reported to an observer, for instance for metrics.
package eventlog

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"skylarkstall/internal/pause"
)

// Limits of the buffer, in bytes.
const (
	bufferSize = 1 << 20
	// generalLimit is the part of the buffer that is available to lines that are not about a single job.
	generalLimit = bufferSize / 2
)

// flushDelay collects lines into one write. Lines of the last flushDelay are lost when the process is killed.
const flushDelay = 10 * time.Millisecond

// Event describes a log line for an observer.
type Event struct {
	Name    string        // the message
	Outcome string        // value of the attribute kind, state or how; empty if there is none
	Took    time.Duration // value of the attribute took_ms; negative if there is none
}

// Log buffers log lines. Run writes them.
type Log struct {
	out     io.Writer
	level   slog.Level
	observe func(Event)
	wake    chan struct{}

	formatting sync.Mutex
	line       lineWriter // of the record that is being formatted

	mu           sync.Mutex
	buffer       bytes.Buffer
	dropped      map[string]int // lines dropped since the last flush, by message
	totalDropped atomic.Int64
}

// New returns a Log that writes lines of at least the level. Every event is passed to observe, including those below the
// level.
func New(out io.Writer, level slog.Level, observe func(Event)) *Log {
	l := &Log{out: out, level: level, observe: observe, wake: make(chan struct{}, 1), dropped: map[string]int{}}
	l.line.log = l
	return l
}

// Dropped returns the number of lines that were dropped since the start.
func (l *Log) Dropped() int64 { return l.totalDropped.Load() }

// Logger returns a logger that adds the attributes to each line.
func (l *Log) Logger(attrs ...any) *slog.Logger {
	text := slog.NewTextHandler(&l.line, &slog.HandlerOptions{Level: slog.LevelDebug})
	return slog.New(&handler{log: l, text: text}).With(attrs...)
}

// Run writes lines until the context ends, and then writes the remaining ones.
func (l *Log) Run(ctx context.Context) {
	for {
		select {
		case <-l.wake:
			pause.For(ctx, flushDelay)
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
		_, _ = l.out.Write(lines) // there is no other place to report a failed log write
	}
	for name, n := range dropped {
		record := slog.NewRecord(time.Now(), slog.LevelWarn, "log lines dropped", 0)
		record.Add("event", name, "lines", n)
		_ = slog.NewTextHandler(l.out, nil).Handle(context.Background(), record) // as for lines
	}
}

// add appends a line to the buffer, or drops it if the limit for its category is reached. Lines about a single job may use
// the whole buffer.
func (l *Log) add(text []byte, name string, jobRelated bool) {
	limit := generalLimit
	if jobRelated {
		limit = bufferSize
	}
	l.mu.Lock()
	if l.buffer.Len()+len(text) > limit {
		l.dropped[name]++
		l.totalDropped.Add(1)
	} else {
		l.buffer.Write(text)
	}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// lineWriter adds a formatted line to the log, together with its message and category.
type lineWriter struct {
	log        *Log
	name       string
	jobRelated bool
}

func (w *lineWriter) Write(p []byte) (int, error) {
	w.log.add(p, w.name, w.jobRelated)
	return len(p), nil
}

// handler formats records and reports them to the observer.
type handler struct {
	log  *Log
	text slog.Handler // writes to log.line
}

// Enabled implements slog.Handler. Records below the level are enabled only to be reported to the observer.
func (h *handler) Enabled(_ context.Context, level slog.Level) bool {
	return level >= h.log.level || h.log.observe != nil
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, record slog.Record) error {
	event := Event{Name: record.Message, Took: -1}
	jobRelated := false
	record.Attrs(func(a slog.Attr) bool {
		switch a.Key {
		case "job", "task", "step":
			jobRelated = true
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
	h.log.formatting.Lock()
	defer h.log.formatting.Unlock()
	h.log.line.name, h.log.line.jobRelated = record.Message, jobRelated
	return h.text.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{log: h.log, text: h.text.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler. Groups are not used in this code base.
func (h *handler) WithGroup(string) slog.Handler { return h }

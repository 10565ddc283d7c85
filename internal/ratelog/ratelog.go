// Package ratelog keeps a failure that repeats from filling the log.
package ratelog

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// interval is how often a line that repeats is logged once its burst is used.
	interval = 10 * time.Second
	burst    = 3
	// maxLines bounds the memory: with more different lines than this, all begin anew.
	maxLines = 1024
)

// Handler passes records on. Of records with an "error" attribute that are equal but for it, it passes a few and then
// one each 10 s, which tells how many were left out.
type Handler struct {
	inner  slog.Handler
	prefix string // attributes of With
	state  *state
}

type state struct {
	mu    sync.Mutex
	lines map[string]*line
}

type line struct {
	limiter *rate.Limiter
	left    int // records left out since the last one
}

// New returns a handler that passes records to inner.
func New(inner slog.Handler) *Handler {
	return &Handler{inner: inner, state: &state{lines: map[string]*line{}}}
}

// Enabled implements slog.Handler.
func (h *Handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.inner.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *Handler) Handle(ctx context.Context, record slog.Record) error {
	key, failure := h.key(record)
	if !failure {
		return h.inner.Handle(ctx, record)
	}
	left, ok := h.state.allow(record.Time, key)
	if !ok {
		return nil
	}
	if left > 0 {
		record = record.Clone()
		record.AddAttrs(slog.Int("left_out", left))
	}
	return h.inner.Handle(ctx, record)
}

// key returns what equal records share, and whether the record tells of a failure.
func (h *Handler) key(record slog.Record) (string, bool) {
	var key strings.Builder
	key.WriteString(h.prefix + record.Level.String() + record.Message)
	failure := false
	record.Attrs(func(a slog.Attr) bool {
		if a.Key == "error" {
			failure = true
		} else {
			key.WriteString(" " + a.String())
		}
		return true
	})
	return key.String(), failure
}

func (s *state) allow(now time.Time, key string) (left int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, known := s.lines[key]
	if !known {
		if len(s.lines) >= maxLines {
			clear(s.lines)
		}
		l = &line{limiter: rate.NewLimiter(rate.Every(interval), burst)}
		s.lines[key] = l
	}
	if !l.limiter.AllowN(now, 1) {
		l.left++
		return 0, false
	}
	left, l.left = l.left, 0
	return left, true
}

// WithAttrs implements slog.Handler.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	prefix := h.prefix
	for _, a := range attrs {
		prefix += a.String() + " "
	}
	return &Handler{h.inner.WithAttrs(attrs), prefix, h.state}
}

// WithGroup implements slog.Handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{h.inner.WithGroup(name), h.prefix + name + ".", h.state}
}

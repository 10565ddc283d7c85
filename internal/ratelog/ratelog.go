// Package ratelog provides a slog handler that rate-limits repeated error records.
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
	// interval is the time between two passed records of one key after the burst is used up.
	interval = 10 * time.Second
	burst    = 3
	// maxKeys bounds memory use: when a further key arrives, all limiters are reset.
	maxKeys = 1024
)

// Handler passes records to another handler. Records with an "error" attribute are rate-limited: of those that are
// equal apart from that attribute, it passes a burst of 3 and then one every 10 s, with the number of suppressed
// records in the attribute "left_out".
type Handler struct {
	inner     slog.Handler
	keyPrefix string // attributes and groups added by WithAttrs and WithGroup
	limiters  *limiterSet
}

// limiterSet holds one limiter for each key. It is shared by the handlers derived with WithAttrs and WithGroup.
type limiterSet struct {
	mu    sync.Mutex
	byKey map[string]*keyLimiter
}

type keyLimiter struct {
	limiter    *rate.Limiter
	suppressed int // records suppressed since the last one that was passed
}

// New returns a handler that passes records to inner.
func New(inner slog.Handler) *Handler {
	return &Handler{inner: inner, limiters: &limiterSet{byKey: map[string]*keyLimiter{}}}
}

// Enabled implements slog.Handler.
func (h *Handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.inner.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *Handler) Handle(ctx context.Context, record slog.Record) error {
	key, hasError := h.key(record)
	if !hasError {
		return h.inner.Handle(ctx, record)
	}
	suppressed, ok := h.limiters.allow(record.Time, key)
	if !ok {
		return nil
	}
	if suppressed > 0 {
		record = record.Clone()
		record.AddAttrs(slog.Int("left_out", suppressed))
	}
	return h.inner.Handle(ctx, record)
}

// key returns the rate-limiting key of the record, which leaves out the "error" attribute, and reports whether the
// record has that attribute.
func (h *Handler) key(record slog.Record) (string, bool) {
	var key strings.Builder
	key.WriteString(h.keyPrefix + record.Level.String() + record.Message)
	hasError := false
	record.Attrs(func(a slog.Attr) bool {
		if a.Key == "error" {
			hasError = true
		} else {
			key.WriteString(" " + a.String())
		}
		return true
	})
	return key.String(), hasError
}

// allow reports whether a record of the key passes now and, if so, how many were suppressed before it.
func (s *limiterSet) allow(now time.Time, key string) (suppressed int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, known := s.byKey[key]
	if !known {
		if len(s.byKey) >= maxKeys {
			clear(s.byKey)
		}
		l = &keyLimiter{limiter: rate.NewLimiter(rate.Every(interval), burst)}
		s.byKey[key] = l
	}
	if !l.limiter.AllowN(now, 1) {
		l.suppressed++
		return 0, false
	}
	suppressed, l.suppressed = l.suppressed, 0
	return suppressed, true
}

// WithAttrs implements slog.Handler.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	prefix := h.keyPrefix
	for _, a := range attrs {
		prefix += a.String() + " "
	}
	return &Handler{h.inner.WithAttrs(attrs), prefix, h.limiters}
}

// WithGroup implements slog.Handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{h.inner.WithGroup(name), h.keyPrefix + name + ".", h.limiters}
}

package ratelog_test

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"skylarkstall/internal/ratelog"
)

// TestRepeatedFailure checks that an error logged every second is rate-limited, and that errors of another logger and
// records without an error are not suppressed with it.
func TestRepeatedFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := slog.New(ratelog.New(slog.NewTextHandler(&out, nil)))
		for range 60 {
			log.With("process", "a").Warn("store down", "error", errors.New(time.Now().String()))
			log.Info("alive")
			time.Sleep(time.Second)
		}
		log.With("process", "b").Warn("store down", "error", errors.New("other"))
		for text, want := range map[string]int{"process=a": 8, "process=b": 1, "alive": 60, "left_out=7": 1, "left_out=9": 4} {
			if got := strings.Count(out.String(), text); got != want {
				t.Errorf("%d lines with %q; want %d", got, text, want)
			}
		}
	})
}

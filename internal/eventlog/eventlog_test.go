package eventlog_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"skylarkstall/internal/eventlog"
)

// TestNobodyReads guards against a process that blocks because nothing reads its log, and against an unbounded buffer. It
// also checks that lines about single jobs are dropped last, and that dropped lines are reported.
func TestNobodyReads(t *testing.T) {
	reader, writer := io.Pipe()
	defer func() { _ = reader.Close() }()
	log := eventlog.New(writer, slog.LevelInfo, nil)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		log.Run(ctx)
	}()
	logger := log.Logger("process", "entry-1")
	logger.Info("process started")
	began := time.Now()
	general, buffered := 0, 0
	for i := range 40_000 {
		logger.Info("worker not reached", "worker", i)
		before := log.Dropped()
		logger.Info("job submitted", "job", i)
		if log.Dropped() == before {
			buffered++
		}
		general++
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("logging %d lines took %v, want at most 5s", general+buffered, took)
	}
	if log.Dropped() == 0 {
		t.Fatal("no line was dropped although nothing reads the log")
	}
	var text strings.Builder
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = io.Copy(&text, reader)
	}()
	stop()
	<-ended
	_ = writer.Close()
	<-read
	generalLines := strings.Count(text.String(), "msg=\"worker not reached\"")
	jobLines := strings.Count(text.String(), "msg=\"job submitted\"")
	if jobLines <= generalLines || text.Len() > 3<<20 {
		t.Errorf("kept %d job lines and %d general lines in %d bytes, want more job lines and at most %d bytes",
			jobLines, generalLines, text.Len(), 3<<20)
	}
	if !strings.Contains(text.String(), `msg="log lines dropped" event="worker not reached" lines=`) {
		t.Error("no line reports the number of dropped lines")
	}
}

// countingWriter counts the calls of Write, and the lines.
type countingWriter struct{ writes, lines int }

func (w *countingWriter) Write(p []byte) (int, error) {
	w.writes++
	w.lines += bytes.Count(p, []byte("\n"))
	return len(p), nil
}

// TestLinesAreWrittenTogether guards against a leader that spends its processor time on a system call for each line.
func TestLinesAreWrittenTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &countingWriter{}
		log := eventlog.New(out, slog.LevelInfo, nil)
		ctx, stop := context.WithCancel(t.Context())
		go log.Run(ctx)
		logger := log.Logger()
		for range 1000 {
			logger.Info("run ordered")
			time.Sleep(100 * time.Microsecond)
		}
		time.Sleep(time.Second)
		stop()
		synctest.Wait()
		if out.lines != 1000 || out.writes > 20 {
			t.Errorf("%d lines of 100 ms are written by %d calls, want 1000 lines by at most 20 calls", out.lines, out.writes)
		}
	})
}

// TestObserve guards against an observer that does not get events below the level, or gets wrong outcomes or durations.
func TestObserve(t *testing.T) {
	var mu sync.Mutex
	var got []string
	log := eventlog.New(io.Discard, slog.LevelWarn, func(e eventlog.Event) {
		mu.Lock()
		defer mu.Unlock()
		got = append(got, fmt.Sprint(e.Name, "/", e.Outcome, "/", e.Took))
	})
	logger := log.Logger()
	logger.Info("job over", "state", "completed", "took_ms", int64(1500))
	logger.Debug("run ended", "how", "done")
	want := "[job over/completed/1.5s run ended/done/-1ns]"
	if fmt.Sprint(got) != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

func BenchmarkLine(b *testing.B) {
	log := eventlog.New(io.Discard, slog.LevelInfo, func(eventlog.Event) {})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go log.Run(ctx)
	logger := log.Logger("process", "entry-1")
	b.ReportAllocs()
	for i := range b.N {
		logger.Info("run ordered", "task", "00aa.0.0.1", "run", 1, "worker", "w1", "took_ms", int64(i))
	}
}

package processtest

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"skylarkstall/internal/adapter/callerhttp"
)

// pin moves every thread of a process to one processor.
func pin(t *testing.T, pid, processor int) {
	t.Helper()
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", pid))
	if err != nil || len(threads) == 0 {
		t.Fatalf("threads of %d: %v", pid, err)
	}
	var set unix.CPUSet
	set.Set(processor)
	for _, thread := range threads {
		tid, err := strconv.Atoi(filepath.Base(thread))
		if err != nil {
			t.Fatal(err)
		}
		if err := unix.SchedSetaffinity(tid, &set); err != nil && !os.IsNotExist(err) && err != unix.ESRCH {
			t.Fatalf("pin thread %d: %v", tid, err)
		}
	}
}

// busyLoop starts a process that does nothing but compute.
func busyLoop(t *testing.T) int {
	t.Helper()
	cmd := exec.Command("sh", "-c", "while :; do :; done")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // it does not end by itself
		_ = cmd.Wait()
	})
	return cmd.Process.Pid
}

// TestBusyProcessor guards against processes that count each other as dead because all of them wait for the processor: no
// partition and no worker may change hands, and requests are answered.
func TestBusyProcessor(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 16 processes")
	}
	const loops, starved = 8, 20 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	c := startCell(ctx, t, 3, 3)
	for _, p := range slices.Concat(c.entries, c.workers) {
		pin(t, p.cmd.Process.Pid, 0)
	}
	for range loops {
		pin(t, busyLoop(t), 0)
	}
	began := time.Now()
	for i := 0; time.Since(began) < starved; i++ {
		c.request(ctx, fmt.Sprintf("busy-%d", i), 50*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
	}
	client := callerhttp.NewClient(c.entries[0].addresses()[0], "")
	defer func() { _ = client.Close() }()
	reply, err := client.Timeline(ctx, "since=1m")
	if err != nil {
		t.Fatal(err)
	}
	moves := []string{"peer down", "lease lost", "claimed", "taken over", "partition taken over", "partition lost"}
	for _, e := range reply.Events {
		if e.WallNS > began.UnixNano() && slices.Contains(moves, e.Kind) {
			t.Errorf("%s %s: %s %s", time.Unix(0, e.WallNS).Format(time.StampMilli), e.Process, e.Kind, e.Detail)
		}
	}
}

package cli

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"skylarkstall/internal/fault"
	"skylarkstall/platform/platformtest"
)

// syncBuffer is an output that can be read while a command writes to it.
type syncBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) waitFor(t *testing.T, want string) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		b.mu.Lock()
		found := strings.Contains(b.text.String(), want)
		b.mu.Unlock()
		if found {
			return
		}
	}
	t.Fatalf("no %q in the output within 10 s:\n%s", want, b.text.String())
}

// TestSettingsChange guards against SIGHUP terminating the process, also at the end of a drain, and against a changed
// settings file being ignored.
func TestSettingsChange(t *testing.T) {
	boot := filepath.Join(t.TempDir(), "local.conf")
	text := "node=entry-1\nplatform.address=127.0.0.1:1\nadvice=127.0.0.1:1\nlimits.cpuShare=0.4\nlimits.memoryMb=284\nbounds.maxHoldMs=6000\n" +
		"bounds.status_s=120\nbounds.graceS=1\nlisten.front=" + platformtest.FreeAddress(t) + "\nlisten.ready=" + platformtest.FreeAddress(t) +
		"\nlisten.control=" + platformtest.FreeAddress(t) + "\nsomething.new=1\n"
	if err := os.WriteFile(boot, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	out := &syncBuffer{}
	ended := make(chan int)
	go func() {
		ended <- Main(ctx, []string{"platform", "--boot", boot, "--metrics-port", "0"}, out, io.Discard)
	}()
	out.waitFor(t, "process started")
	if err := os.WriteFile(boot, []byte(strings.Replace(text, "=284", "=200", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	out.waitFor(t, "memory_mib=200 needs_restart=false")
	stop()
	if code := <-ended; code != 0 {
		t.Errorf("exit code %d", code)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil { // terminates the tests if nothing handles it
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
}

// TestPlatformSettings checks that a process does not start with unusable settings and reports them in one line.
func TestPlatformSettings(t *testing.T) {
	boot := filepath.Join(t.TempDir(), "local.conf")
	if err := os.WriteFile(boot, []byte("node=entry-1\nlisten.front=nowhere\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{{"platform"}, {"platform", "--boot", boot}, {"platform", "--boot", boot + ".missing"}} {
		errOut := &syncBuffer{}
		code := Main(context.Background(), args, io.Discard, errOut)
		if code != fault.Invalid.Response().ExitCode || strings.Count(errOut.text.String(), "\n") != 1 {
			t.Errorf("%v: exit code %d, %q", args, code, errOut.text.String())
		}
	}
}

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

// lines is an output that can be read while a command writes it.
type lines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) await(t *testing.T, want string) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		l.mu.Lock()
		found := strings.Contains(l.text.String(), want)
		l.mu.Unlock()
		if found {
			return
		}
	}
	t.Fatalf("no %q in the output:\n%s", want, l.text.String())
}

// TestSettingsChange guards against a process that SIGHUP ends, and against settings that are not read again.
func TestSettingsChange(t *testing.T) {
	boot := filepath.Join(t.TempDir(), "local.conf")
	text := "node=entry-1\nplatform.address=127.0.0.1:1\nadvice=127.0.0.1:1\nlimits.cpuShare=0.4\nlimits.memoryMb=284\nbounds.maxHoldMs=6000\n" +
		"bounds.status_s=120\nbounds.graceS=1\nlisten.front=" + platformtest.FreeAddress(t) + "\nlisten.ready=" + platformtest.FreeAddress(t) +
		"\nlisten.control=" + platformtest.FreeAddress(t) + "\nsomething.new=1\n"
	if err := os.WriteFile(boot, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	out := &lines{}
	ended := make(chan int)
	go func() {
		ended <- Main(ctx, []string{"platform", "--boot", boot, "--metrics-port", "0"}, out, io.Discard)
	}()
	out.await(t, "process started")
	if err := os.WriteFile(boot, []byte(strings.Replace(text, "=284", "=200", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	out.await(t, "memory_mib=200 needs_restart=false")
	stop()
	if code := <-ended; code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// TestPlatformSettings guards against a start with settings that cannot work, without a line that says what to change.
func TestPlatformSettings(t *testing.T) {
	boot := filepath.Join(t.TempDir(), "local.conf")
	if err := os.WriteFile(boot, []byte("node=entry-1\nlisten.front=nowhere\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{{"platform"}, {"platform", "--boot", boot}, {"platform", "--boot", boot + ".missing"}} {
		errOut := &lines{}
		code := Main(context.Background(), args, io.Discard, errOut)
		if code != fault.Invalid.Response().ExitCode || strings.Count(errOut.text.String(), "\n") != 1 {
			t.Errorf("%v: exit code %d, %q", args, code, errOut.text.String())
		}
	}
}

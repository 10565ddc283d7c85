package cli_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"skylarkstall/internal/cli"
	"skylarkstall/internal/devcell"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"skylarkstall": func() { os.Exit(cli.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr)) },
		"exits":        exits,
	})
}

// exits runs a command and fails unless its exit code is the first argument.
func exits() {
	command := exec.Command(os.Args[2], os.Args[3:]...)
	command.Stdin, command.Stdout, command.Stderr = os.Stdin, os.Stdout, os.Stderr
	code := "0"
	var exit *exec.ExitError
	if err := command.Run(); errors.As(err, &exit) {
		code = fmt.Sprint(exit.ExitCode())
	} else if err != nil {
		code = err.Error()
	}
	if code != os.Args[1] {
		fmt.Fprintf(os.Stderr, "exit code %s; want %s\n", code, os.Args[1])
		os.Exit(1)
	}
}

// TestScripts checks the command line interface: output, exit codes and the invalid inputs that the help texts mention.
// All scripts use the same cell.
func TestScripts(t *testing.T) {
	cell, err := devcell.Start(t.Context(), devcell.Settings{
		Processes: 3, Workers: 3, Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cell.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if err := cell.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Setenv("SKYLARKSTALL_ADDRESS", cell.Nodes[0].CallerAddress())
			env.Setenv("CELL_TOKEN", devcell.CellToken)
			env.Setenv("GORACE", "atexit_sleep_ms=0") // otherwise the race detector sleeps 1 s at the end of each command
			return nil
		},
	})
}

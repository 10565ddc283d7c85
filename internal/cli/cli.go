// Package cli implements the commands of skylarkstall, one file for each command or group of commands.
package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"skylarkstall/internal/fault"
	"skylarkstall/internal/ratelog"
)

// envPrefix is the prefix of the environment variables: the flag --peer-address is set by SKYLARKSTALL_PEER_ADDRESS.
const envPrefix = "SKYLARKSTALL"

// app holds the output streams and the command line, which all commands share.
type app struct {
	out    io.Writer
	errOut io.Writer
	args   []string // arguments of the command line
}

// Main runs the command line and returns the exit code that corresponds to the kind of the error.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	a := &app{out: out, errOut: errOut, args: args}
	root := a.root()
	err := root.Parse(args)
	if err != nil {
		err = asInvalid(err)
	} else {
		err = root.Run(ctx)
	}
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return 0
	}
	fmt.Fprintf(errOut, "skylarkstall: %v\n", err)
	return fault.KindOf(err).Response().ExitCode
}

// asInvalid marks an error of flag parsing as Invalid. A request for help is returned unchanged.
func asInvalid(err error) error {
	if errors.Is(err, flag.ErrHelp) {
		return err
	}
	return fault.WrapAs(fault.Invalid, err, "parse flags")
}

func (a *app) root() *ffcli.Command {
	root := &ffcli.Command{
		Name:       "skylarkstall",
		ShortUsage: "skylarkstall <command> [flags]",
		ShortHelp:  "A cluster scheduler for teams that share a pool of VMs.",
		FlagSet:    a.flags("skylarkstall"),
		Subcommands: []*ffcli.Command{
			a.serve(), a.platform(), a.dev(), a.run(), a.submit(), a.status(), a.wait(), a.cancel(),
			a.cell(), a.timeline(), a.explain(), a.document(), a.version(),
			a.load(), a.report(), a.replay(), a.standin(),
		},
	}
	root.Exec = func(_ context.Context, args []string) error {
		if len(args) > 0 {
			return fault.New(fault.Invalid, "unknown command %q; see skylarkstall --help", args[0])
		}
		return flag.ErrHelp
	}
	return root
}

func (a *app) flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(a.errOut)
	return fs
}

func options() []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix(envPrefix)}
}

func logLevel(level string) (slog.Level, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return l, fault.New(fault.Invalid, "log-level %q: want debug, info, warn or error", level)
	}
	return l, nil
}

func (a *app) logger(level string) (*slog.Logger, error) {
	l, err := logLevel(level)
	if err != nil {
		return nil, err
	}
	text := slog.NewTextHandler(a.errOut, &slog.HandlerOptions{Level: l})
	return slog.New(ratelog.New(text)), nil
}

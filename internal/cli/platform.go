package cli

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"skylarkstall/internal/app/gateway"
	"skylarkstall/internal/app/scheduler"
	"skylarkstall/internal/cellnode"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/fault"
	"skylarkstall/platform"
)

// Memory of a process under the platform's limit. The collector runs rarely until the soft limit is near.
const (
	softMemoryPercent = 60
	collectPercent    = 300
)

func (a *app) platform() *ffcli.Command {
	fs := a.flags("skylarkstall platform")
	boot := fs.String("boot", "", "path of the settings file that the platform writes")
	level := fs.String("log-level", "info", "debug, info, warn or error")
	return &ffcli.Command{
		Name: "platform", ShortUsage: "skylarkstall platform [flags]",
		ShortHelp: "Run one process in front of the users' workers.",
		LongHelp: help("Run one process of a cell on the users' platform until it is told to stop; then it drains. The platform "+
			"names the settings file in "+platform.SettingsVariable+".", "skylarkstall platform --boot local.conf"),
		FlagSet: fs, Options: options(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return fault.New(fault.Invalid, "unexpected argument %q", args[0])
			}
			return a.runPlatform(ctx, *boot, *level)
		},
	}
}

func (a *app) runPlatform(ctx context.Context, boot, level string) error {
	l, err := logLevel(level)
	if err != nil {
		return err
	}
	if boot == "" {
		return fault.New(fault.Invalid, "boot: set it, or %s", platform.SettingsVariable)
	}
	settings, err := platform.ReadSettings(boot)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(settings.MemoryMiB << 20 * softMemoryPercent / 100)
	debug.SetGCPercent(collectPercent)
	log := slog.New(slog.NewTextHandler(a.out, &slog.HandlerOptions{Level: l})).With("process", settings.Process)
	node, err := cellnode.New(nodeSettings(settings), nodePlatform(settings, log), log)
	if err != nil {
		return err
	}
	return node.Run(ctx)
}

func nodeSettings(s platform.Settings) cellnode.Settings {
	return cellnode.Settings{
		Process: s.Process, Incarnation: uint64(time.Now().UnixNano()) ^ uint64(os.Getpid()), Callers: s.Callers,
		Readiness: s.Readiness, Processes: s.Processes, ConfigKey: platform.ConfigKey,
		Bounds:     scheduler.Settings{MaxHold: s.MaxHold, StatusKeep: s.StatusKeep},
		StopWithin: s.StopWithin, DrainServe: platform.ReadyNotice,
	}
}

func nodePlatform(s platform.Settings, log *slog.Logger) cellnode.Platform {
	client := platform.NewClient()
	store := platform.NewStore(client, s.Store)
	return cellnode.Platform{
		Ledger: store, Runner: platform.NewRunners(client), Workers: platform.NewWorkers(store, log),
		Adviser: platform.NewAdviser(client, s.Permits), Decode: platform.DecodeConfig,
		Callers: func(g *gateway.Gateway, table *route.Table) http.Handler { return platform.NewCallers(g, table) },
		Ready:   platform.Ready,
	}
}

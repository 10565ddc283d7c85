package cli

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
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
	changes := make(chan os.Signal, 1)
	signal.Notify(changes, syscall.SIGHUP) // without a handler the signal would end the process
	defer signal.Stop(changes)
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
	limitMemory(settings)
	debug.SetGCPercent(collectPercent)
	log := slog.New(slog.NewTextHandler(a.out, &slog.HandlerOptions{Level: l})).With("process", settings.Process)
	node, err := cellnode.New(nodeSettings(settings), nodePlatform(settings, log), log)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go reload(ctx, changes, boot, settings, log)
	return node.Run(ctx)
}

func limitMemory(settings platform.Settings) {
	debug.SetMemoryLimit(settings.MemoryMiB << 20 * softMemoryPercent / 100)
}

// reload reads the settings again at each signal. The limit of memory takes effect at once; the process would have to
// start again for the others.
func reload(ctx context.Context, changes <-chan os.Signal, boot string, settings platform.Settings, log *slog.Logger) {
	for {
		select {
		case <-changes:
		case <-ctx.Done():
			return
		}
		next, err := platform.ReadSettings(boot)
		if err != nil {
			log.Error("settings not read again; the former ones stay in force", "error", err)
			continue
		}
		limitMemory(next)
		applied := settings
		applied.MemoryMiB, applied.Seeds = next.MemoryMiB, next.Seeds // seeds count at the start only
		log.Info("settings read again", "memory_mib", next.MemoryMiB, "needs_restart", !reflect.DeepEqual(next, applied))
	}
}

func nodeSettings(s platform.Settings) cellnode.Settings {
	return cellnode.Settings{
		Process: s.Process, Incarnation: uint64(time.Now().UnixNano()) ^ uint64(os.Getpid()), Callers: s.Callers,
		Readiness: s.Readiness, Processes: s.Processes, Seeds: s.Seeds, ConfigKey: platform.ConfigKey,
		Bounds:     scheduler.Settings{MaxHold: s.MaxHold, StatusKeep: s.StatusKeep},
		StopWithin: s.StopWithin, DrainServe: platform.ReadyNotice, Patience: patience(s.Processor),
	}
}

// Leading takes a share of a core that grows with the cell, so processes with less of it leave the lead to others first.
const (
	amplePart       = 0.4 // of a core
	longestPatience = 400 * time.Millisecond
)

func patience(processor float64) time.Duration {
	return time.Duration(max(1-processor/amplePart, 0) * float64(longestPatience))
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

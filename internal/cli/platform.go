package cli

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"skylarkstall/internal/adapter/metrics"
	"skylarkstall/internal/app/gateway"
	"skylarkstall/internal/app/scheduler"
	"skylarkstall/internal/cellnode"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/eventlog"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
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
	port := fs.Int("metrics-port", 9464, "port of /metrics; 0 for none")
	return &ffcli.Command{
		Name: "platform", ShortUsage: "skylarkstall platform [flags]",
		ShortHelp: "Run one process in front of the users' workers.",
		LongHelp: help("Run one process of a cell on the users' platform until it is told to stop; then it drains. The platform "+
			"names the settings file in "+platform.SettingsFileEnv+".", "skylarkstall platform --boot local.conf"),
		FlagSet: fs, Options: options(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return fault.New(fault.Invalid, "unexpected argument %q", args[0])
			}
			return a.runPlatform(ctx, *boot, *level, *port)
		},
	}
}

func (a *app) runPlatform(ctx context.Context, boot, level string, metricsPort int) error {
	changes := make(chan os.Signal, 1)
	signal.Notify(changes, syscall.SIGHUP) // without a handler the signal would end the process
	defer signal.Stop(changes)
	l, err := logLevel(level)
	if err != nil {
		return err
	}
	if boot == "" {
		return fault.New(fault.Invalid, "boot: set it, or %s", platform.SettingsFileEnv)
	}
	settings, err := platform.ReadSettings(boot)
	if err != nil {
		return err
	}
	limitMemory(settings)
	debug.SetGCPercent(collectPercent)
	counts := metrics.NewCellMetrics()
	defer counts.Close() //nolint:errcheck // nobody is left to tell
	events := eventlog.New(a.out, l, counts.RecordEvent)
	log := events.Logger("process", settings.Process)
	node, err := cellnode.New(nodeSettings(settings), nodePlatform(settings, counts.RecordCall, log), log)
	if err != nil {
		return err
	}
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	written := make(chan struct{})
	go func() {
		defer close(written)
		events.Run(work)
	}()
	go reload(work, changes, boot, settings, log)
	go counts.Run(work, func() port.ProcessState {
		state := node.State()
		state.DroppedLogLines = events.Dropped()
		return state
	})
	if metricsPort > 0 {
		go serveMetrics(work, net.JoinHostPort(settings.IP, strconv.Itoa(metricsPort)), counts.Handler(), log)
	}
	err = node.Run(ctx)
	stop()
	select {
	case <-written:
	case <-time.After(lastLines):
	}
	return err
}

// lastLines is how long the end of a process waits for a reader of its log.
const lastLines = 300 * time.Millisecond

// serveMetrics answers scrapes. A process works without them.
func serveMetrics(ctx context.Context, address string, handler http.Handler, log *slog.Logger) {
	mux := http.NewServeMux()
	mux.Handle("/metrics", handler)
	server := &http.Server{Addr: address, Handler: mux, ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		log.Warn("metrics not served", "address", address, "error", err)
	}
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
		Process: s.Process, Incarnation: uint64(time.Now().UnixNano()) ^ uint64(os.Getpid()), CallerAddress: s.CallerAddress,
		ReadinessAddress: s.ReadinessAddress, PeerAddress: s.PeerAddress, Seeds: s.Seeds, ConfigKey: platform.ConfigKey,
		Scheduler:       scheduler.Settings{MaxLease: s.MaxLease, StatusRetention: s.StatusRetention},
		StopGracePeriod: s.StopGracePeriod, DrainAcceptPeriod: platform.UnreadyPropagationDelay, ElectionDelay: patience(s.CPUShare),
	}
}

// Leading takes a share of a core that grows with the cell, so processes with less of it leave leadership to others first.
const (
	amplePart       = 0.4 // of a core
	longestPatience = 400 * time.Millisecond
)

func patience(processor float64) time.Duration {
	return time.Duration(max(1-processor/amplePart, 0) * float64(longestPatience))
}

func nodePlatform(s platform.Settings, observe platform.CallObserver, log *slog.Logger) cellnode.Platform {
	client := platform.NewClient(observe)
	store := platform.NewStore(client, s.StoreAddress)
	return cellnode.Platform{
		Store: store, RunClient: platform.NewRunClient(client), Workers: platform.NewWorkerRegistry(store, log),
		PermitClient: platform.NewPermitClient(client, s.PermitAddress), Decode: platform.DecodeConfig,
		NewCallerHandler:    func(g *gateway.Gateway, table *route.Table) http.Handler { return platform.NewCallerHandler(g, table) },
		NewReadinessHandler: platform.ReadinessHandler,
	}
}

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
	"skylarkstall/internal/app/scheduler"
	"skylarkstall/internal/cellnode"
	"skylarkstall/internal/domain/fitness"
	"skylarkstall/internal/eventlog"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
	"skylarkstall/platform"
)

// Garbage collection under the platform's memory limit: the collector runs rarely until the soft limit is near.
const (
	softLimitPercent = 60  // of the memory limit in the settings
	gcPercent        = 300 // as GOGC
)

func (a *app) platform() *ffcli.Command {
	fs := a.flags("skylarkstall platform")
	boot := fs.String("boot", "", "path of the settings file written by the platform")
	level := fs.String("log-level", "info", "debug, info, warn or error")
	metricsPort := fs.Int("metrics-port", 9464, "port of /metrics; 0 to disable")
	return &ffcli.Command{
		Name: "platform", ShortUsage: "skylarkstall platform [flags]",
		ShortHelp: "Run one scheduler process on the users' platform.",
		LongHelp: help("Run one process of a cell on the users' platform until it receives a signal to stop; then drain. The "+
			"platform passes the path of the settings file in "+platform.SettingsFileEnv+".",
			"skylarkstall platform --boot local.conf"),
		FlagSet: fs, Options: options(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return fault.New(fault.Invalid, "unexpected argument %q", args[0])
			}
			return a.runPlatform(ctx, *boot, *level, *metricsPort)
		},
	}
}

func (a *app) runPlatform(ctx context.Context, boot, level string, metricsPort int) error {
	hangups := make(chan os.Signal, 1)
	// The handler stays until the process has exited: without it, a SIGHUP at the end of a drain would terminate the process
	// with a failure.
	signal.Notify(hangups, syscall.SIGHUP)
	l, err := logLevel(level)
	if err != nil {
		return err
	}
	if boot == "" {
		return fault.New(fault.Invalid, "boot: want the path of the settings file, in --boot or %s", platform.SettingsFileEnv)
	}
	settings, err := platform.ReadSettings(boot)
	if err != nil {
		return err
	}
	limitMemory(settings)
	debug.SetGCPercent(gcPercent)
	cellMetrics := metrics.NewCellMetrics()
	defer cellMetrics.Close() //nolint:errcheck // the process is ending; there is no log left to report to
	events := eventlog.New(a.out, l, cellMetrics.RecordEvent)
	log := events.Logger("process", settings.Process)
	nodePorts := nodePlatform(settings, cellMetrics.RecordCall, log)
	nodePorts.ObservePass, nodePorts.ObserveRefusal = cellMetrics.RecordPass, cellMetrics.RecordRefusal
	node, err := cellnode.New(nodeSettings(settings), nodePorts, log)
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	logFlushed := make(chan struct{})
	go func() {
		defer close(logFlushed)
		events.Run(background)
	}()
	go reload(background, hangups, boot, settings, log)
	go cellMetrics.Run(background, func() port.ProcessState {
		state := node.State()
		state.DroppedLogLines = events.Dropped()
		return state
	})
	if metricsPort > 0 {
		go serveMetrics(background, net.JoinHostPort(settings.IP, strconv.Itoa(metricsPort)), cellMetrics.Handler(), log)
	}
	err = node.Run(ctx)
	stop()
	select {
	case <-logFlushed:
	case <-time.After(logFlushTimeout):
	}
	return err
}

// logFlushTimeout limits how long a stopping process waits until its last log lines are written.
const logFlushTimeout = 300 * time.Millisecond

// serveMetrics serves /metrics. If it cannot listen, it logs a warning and the process runs without metrics.
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
	debug.SetMemoryLimit(settings.MemoryMiB << 20 * softLimitPercent / 100)
}

// reload reads the settings file at each SIGHUP. The memory limit takes effect immediately; a change of another setting
// takes effect at the next restart, which the log line reports.
func reload(ctx context.Context, hangups <-chan os.Signal, boot string, settings platform.Settings, log *slog.Logger) {
	for {
		select {
		case <-hangups:
		case <-ctx.Done():
			return
		}
		next, err := platform.ReadSettings(boot)
		if err != nil {
			log.Error("settings not read again; the former ones stay in force", "error", err)
			continue
		}
		limitMemory(next)
		expected := settings
		expected.MemoryMiB, expected.Seeds = next.MemoryMiB, next.Seeds // the seeds are read at startup only; a change needs no restart
		log.Info("settings read again", "memory_mib", next.MemoryMiB, "needs_restart", !reflect.DeepEqual(next, expected))
	}
}

func nodeSettings(s platform.Settings) cellnode.Settings {
	share := fitness.UsableShare(s.CPUShare, s.LinkMbps)
	return cellnode.Settings{
		Process: s.Process, Incarnation: uint64(time.Now().UnixNano()) ^ uint64(os.Getpid()), CallerAddress: s.CallerAddress,
		ReadinessAddress: s.ReadinessAddress, PeerAddress: s.PeerAddress, Seeds: s.Seeds, ConfigKey: platform.ConfigKey,
		Withdrawal:      s.Withdrawal,
		Scheduler:       scheduler.Settings{MaxLease: s.MaxLease, StatusRetention: s.StatusRetention, CPUShare: s.CPUShare, UsableShare: float64(share), RemoteFactor: s.RemoteFactor},
		StopGracePeriod: s.StopGracePeriod, DrainAcceptPeriod: platform.UnreadyPropagationDelay, Share: share,
	}
}

func nodePlatform(s platform.Settings, observe platform.CallObserver, log *slog.Logger) cellnode.Platform {
	client := platform.NewClient(observe)
	store := platform.NewStore(client, s.StoreAddress)
	return cellnode.Platform{
		Store: store, RunClient: platform.NewRunClient(client), Workers: platform.NewWorkerRegistry(store, log),
		PermitClient: platform.NewPermitClient(client, s.PermitAddress), Decode: platform.DecodeConfig,
		NewCallerHandler:    platform.NewCallerHandler,
		NewReadinessHandler: platform.NewReadinessHandler,
	}
}

// Package cellnode assembles one process of a cell that runs on the users' platform. Every process serves callers, and
// one of them is the leader and schedules the jobs.
package cellnode

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"skylarkstall/internal/adapter/cellwire"
	"skylarkstall/internal/app/gateway"
	"skylarkstall/internal/app/leadership"
	"skylarkstall/internal/app/routing"
	"skylarkstall/internal/app/scheduler"
	"skylarkstall/internal/app/storeguard"
	"skylarkstall/internal/bootclock"
	"skylarkstall/internal/domain/account"
	"skylarkstall/internal/domain/admission"
	"skylarkstall/internal/domain/fitness"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// Settings configure a process.
type Settings struct {
	Process           ident.ProcessID
	Incarnation       uint64   // differs each time the process starts
	CallerAddress     string   // host:port that callers connect to
	ReadinessAddress  string   // host:port of the readiness probe
	PeerAddress       string   // host:port that other processes connect to
	Seeds             []string // host:port of other processes; may be outdated
	ConfigKey         string   // key of the configuration in the store
	Withdrawal        account.WithdrawalPolicy
	Scheduler         scheduler.Settings
	StopGracePeriod   time.Duration // from the signal to stop until the process is killed
	Share             fitness.Share // of a processor, as far as the process can use it; 0 if it is not known
	DrainAcceptPeriod time.Duration // how long a draining process still accepts new connections
}

// Platform holds the dependencies of the process outside the cell.
type Platform struct {
	Store        port.TxnStore
	RunClient    port.RunClient
	Workers      scheduler.WorkerList
	PermitClient port.PermitClient
	ObservePass  func(port.PlacementPass) // called after each pass of placement; nil if nobody observes them
	// ObserveRefusal is called for each job that was refused for want of room; nil if nobody observes them.
	ObserveRefusal func(account account.ID, reason admission.Reason)
	Decode         routing.DecodeFunc
	Clock          port.Clock // by which evidence is dated; nil: that of the kernel
	// NewCallerHandler and NewReadinessHandler return the HTTP handlers for callers and for the readiness probe.
	NewCallerHandler    func(*gateway.Gateway) http.Handler
	NewReadinessHandler func(func() bool) http.Handler
}

// exitMargin is the part of the grace period that is left after the drain for the process to exit.
const exitMargin = 700 * time.Millisecond

// Timeouts of a caller's connection.
const (
	headerTimeout = 3 * time.Second
	idleTimeout   = 20 * time.Second
)

// Node is one process of a cell.
type Node struct {
	settings        Settings
	platform        Platform
	log             *slog.Logger
	table           *route.Table
	leader          *leaderClient
	transport       *cellwire.Transport
	store           *storeguard.Breaker
	election        *leadership.Election
	configWatcher   *routing.ConfigWatcher
	callerServer    *http.Server
	readinessServer *http.Server
	draining        chan struct{}
}

// New returns a process that starts with Run. It listens for other processes at once.
func New(settings Settings, platform Platform, log *slog.Logger) (*Node, error) {
	listener, err := net.Listen("tcp", settings.PeerAddress)
	if err != nil {
		return nil, fault.WrapAs(fault.Invalid, err, "listen for other processes")
	}
	n := &Node{
		settings: settings, platform: platform, log: log, table: &route.Table{}, leader: &leaderClient{},
		draining: make(chan struct{}),
	}
	gate := &admission.Gate{}
	handler := &peerHandler{permits: platform.PermitClient, gate: gate}
	handler.remote = notLeader{}
	self := port.Leader{
		Process: settings.Process, Address: settings.PeerAddress, Incarnation: settings.Incarnation,
		ElectionDelay: fitness.StartingDelay(settings.Share), Share: settings.Share,
	}
	handler.self = self
	if n.platform.Clock == nil {
		n.platform.Clock = bootclock.Now
	}
	replica := routing.NewReplica(n.table, platform.Decode, n.platform.Clock, log)
	n.transport = cellwire.New(self, listener, settings.Seeds, handler, replica, log)
	n.leader.remote = n.transport
	n.store = storeguard.New(platform.Store, log)
	n.election = leadership.New(
		self, n.store, cellwire.RecordCodec{}, n.transport, n.leadFunc(handler), log,
	)
	n.configWatcher = routing.New(settings.ConfigKey, n.store, replica, log)
	g := gateway.New(n.store, cellwire.RecordCodec{}, n.leader, n.table, log).WithWithdrawal(settings.Withdrawal, n.platform.Clock)
	g.RefuseBy(gate, platform.ObserveRefusal)
	n.callerServer = &http.Server{
		Handler: logPanics(platform.NewCallerHandler(g), log), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	n.readinessServer = &http.Server{Handler: platform.NewReadinessHandler(n.isReady), ReadHeaderTimeout: headerTimeout}
	return n, nil
}

// leadFunc returns the function that runs the scheduler while this process leads.
func (n *Node) leadFunc(handler *peerHandler) leadership.LeadFunc {
	return func(ctx context.Context, term leadership.Term) (giveWay bool) {
		ports := scheduler.Ports{
			Store: n.store, RecordCodec: cellwire.RecordCodec{}, RunClient: n.platform.RunClient,
			Workers: n.platform.Workers, PermitClient: n.platform.PermitClient, PeerPermitClients: n.transport,
			ObservePass: n.platform.ObservePass, ObserveRoom: handler.ObserveRoom,
		}
		s := scheduler.New(n.settings.Process, n.settings.Scheduler, ports, n.table, term, n.log)
		handler.term.Store(term.Number)
		n.leader.local.Store(s)
		handler.local.Store(s)
		giveWay = s.Run(ctx)
		handler.local.Store(nil)
		n.leader.local.Store(nil)
		return giveWay
	}
}

// State returns the state of the process for its metrics.
func (n *Node) State() port.ProcessState {
	config, confirmed := n.table.Active()
	state := port.ProcessState{ConfigVersion: config.Version}
	state.ConfigAge, _ = confirmed.Age(n.platform.Clock())
	if local := n.leader.local.Load(); local != nil {
		local.FillState(&state)
	}
	return state
}

// isReady reports whether the process accepts new connections of callers: it has a configuration and does not drain.
func (n *Node) isReady() bool {
	select {
	case <-n.draining:
		return false
	default:
		return n.table.Config().Version > 0
	}
}

// Run serves until the context ends, and then drains the process.
func (n *Node) Run(ctx context.Context) error {
	n.log.Info("process started", "incarnation", n.settings.Incarnation)
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, workCtx := errgroup.WithContext(workCtx)
	group.Go(func() error { return n.transport.Run(workCtx) })
	group.Go(func() error { n.election.Run(workCtx); return nil })
	group.Go(func() error { n.configWatcher.Run(workCtx); return nil })
	group.Go(func() error { n.store.Run(workCtx); return nil })
	group.Go(func() error { return n.serve(n.callerServer, n.settings.CallerAddress) })
	group.Go(func() error { return n.serve(n.readinessServer, n.settings.ReadinessAddress) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			n.drain()
		case <-workCtx.Done():
		}
		stop()
		return nil
	})
	err := group.Wait()
	n.log.Info("process stopped", "error", err)
	return err
}

func (n *Node) serve(server *http.Server, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fault.WrapAs(fault.Invalid, err, "listen")
	}
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return fault.WrapAs(fault.Unavailable, err, "serve on "+address)
	}
	return nil
}

// drain gives up leadership, keeps accepting connections until the platform stops sending new ones, and then completes the
// requests in progress.
func (n *Node) drain() {
	drainStart := time.Now()
	n.log.Info("process drains")
	close(n.draining)
	n.election.Resign()
	n.callerServer.SetKeepAlivesEnabled(false)
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.StopGracePeriod-exitMargin)
	defer cancel()
	pause.For(ctx, n.settings.DrainAcceptPeriod)
	if err := n.callerServer.Shutdown(ctx); err != nil {
		n.log.Warn("callers cut off at the end of the drain", "error", err)
	}
	_ = n.readinessServer.Close() // probes in progress need no response
	n.log.Info("process drained", "took_ms", time.Since(drainStart).Milliseconds())
}

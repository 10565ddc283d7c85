// Package cellnode wires one process of a cell that runs on the users' platform: every process answers callers, and one
// of them leads.
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
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/route"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// Settings are the settings of a process.
type Settings struct {
	Process           ident.ProcessID
	Incarnation       uint64   // differs between starts of a process
	CallerAddress     string   // host:port
	ReadinessAddress  string   // host:port
	PeerAddress       string   // host:port
	Seeds             []string // host:port of other processes, which may be stale
	ConfigKey         string   // where the operator writes the configuration
	Scheduler         scheduler.Settings
	StopGracePeriod   time.Duration // from the order to stop to being killed
	ElectionDelay     time.Duration // for which leading is left to other processes
	DrainAcceptPeriod time.Duration // how long a stopping process still takes new connections
}

// Platform is what the process reaches outside the cell.
type Platform struct {
	Store        port.TxnStore
	RunClient    port.RunClient
	Workers      scheduler.WorkerList
	PermitClient port.PermitClient
	Decode       routing.DecodeFunc
	// NewCallerHandler and Ready make the handlers for callers and for the question whether the process is ready.
	NewCallerHandler    func(*gateway.Gateway, *route.Table) http.Handler
	NewReadinessHandler func(func() bool) http.Handler
}

// stopReserve is kept for the end of the process.
const stopReserve = 700 * time.Millisecond

// Bounds of a caller's connection.
const (
	headerTimeout = 3 * time.Second
	idleTimeout   = 20 * time.Second
)

// Node is one process.
type Node struct {
	settings Settings
	platform Platform
	log      *slog.Logger
	table    *route.Table
	leader   *leader
	mesh     *cellwire.Transport
	store    *storeguard.Breaker
	election *leadership.Election
	router   *routing.ConfigWatcher
	callers  *http.Server
	ready    *http.Server
	draining chan struct{}
}

// New returns a process that starts once Run is called. It listens at once.
func New(settings Settings, platform Platform, log *slog.Logger) (*Node, error) {
	listener, err := net.Listen("tcp", settings.PeerAddress)
	if err != nil {
		return nil, fault.WrapAs(fault.Invalid, err, "listen for processes")
	}
	n := &Node{
		settings: settings, platform: platform, log: log, table: &route.Table{}, leader: &leader{},
		draining: make(chan struct{}),
	}
	answers := &local{adviser: platform.PermitClient}
	answers.remote = notLeading{}
	self := port.Leader{Process: settings.Process, Address: settings.PeerAddress, Incarnation: settings.Incarnation}
	answers.self = self
	n.mesh = cellwire.New(self, listener, settings.Seeds, answers, log)
	n.leader.remote = n.mesh
	n.store = storeguard.New(platform.Store, log)
	n.election = leadership.New(self, settings.ElectionDelay, n.store, cellwire.RecordCodec{}, n.mesh, n.lead(answers), log)
	n.router = routing.New(settings.ConfigKey, n.store, n.leader, platform.Decode, n.table, log)
	g := gateway.New(n.store, cellwire.RecordCodec{}, n.leader, log)
	n.callers = &http.Server{
		Handler: platform.NewCallerHandler(g, n.table), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	n.ready = &http.Server{Handler: platform.NewReadinessHandler(n.isReady), ReadHeaderTimeout: headerTimeout}
	return n, nil
}

// lead returns the leader's work of this process.
func (n *Node) lead(answers *local) leadership.LeadFunc {
	return func(ctx context.Context, term leadership.Term) {
		ports := scheduler.Ports{
			Ledger: n.store, Records: cellwire.RecordCodec{}, Runner: n.platform.RunClient,
			Workers: n.platform.Workers, PermitClient: n.platform.PermitClient, PeerPermitClients: n.mesh,
		}
		s := scheduler.New(n.settings.Process, n.settings.Scheduler, ports, n.table, term, n.log)
		answers.term.Store(term.Number)
		n.leader.own.Store(s)
		answers.own.Store(s)
		s.Run(ctx)
		answers.own.Store(nil)
		n.leader.own.Store(nil)
	}
}

// State is what the process shows of itself.
func (n *Node) State() port.ProcessState {
	state := port.ProcessState{ConfigVersion: n.table.Config().Version}
	if own := n.leader.own.Load(); own != nil {
		own.FillState(&state)
	}
	return state
}

// isReady reports whether new connections of callers are welcome.
func (n *Node) isReady() bool {
	select {
	case <-n.draining:
		return false
	default:
		return n.table.Config().Version > 0
	}
}

// Run serves until the context ends, and then drains.
func (n *Node) Run(ctx context.Context) error {
	n.log.Info("process started", "incarnation", n.settings.Incarnation)
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, work := errgroup.WithContext(work)
	group.Go(func() error { return n.mesh.Run(work) })
	group.Go(func() error { n.election.Run(work); return nil })
	group.Go(func() error { n.router.Run(work); return nil })
	group.Go(func() error { n.store.Run(work); return nil })
	group.Go(func() error { return n.serve(n.callers, n.settings.CallerAddress) })
	group.Go(func() error { return n.serve(n.ready, n.settings.ReadinessAddress) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			n.drain()
		case <-work.Done():
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
		return fault.WrapAs(fault.Unavailable, err, "serve "+address)
	}
	return nil
}

// drain hands over leadership, keeps answering until the platform sends no new connections, and finishes what was
// asked.
func (n *Node) drain() {
	began := time.Now()
	n.log.Info("process drains")
	close(n.draining)
	n.election.Resign()
	n.callers.SetKeepAlivesEnabled(false)
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.StopGracePeriod-stopReserve)
	defer cancel()
	pause.For(ctx, n.settings.DrainAcceptPeriod)
	if err := n.callers.Shutdown(ctx); err != nil {
		n.log.Warn("callers cut off at the end of the drain", "error", err)
	}
	_ = n.ready.Close() // nobody waits for its answers
	n.log.Info("process drained", "took_ms", time.Since(began).Milliseconds())
}

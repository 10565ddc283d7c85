// Package node wires one entry process from its settings.
package node

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"skylarkstall/internal/adapter/callerhttp"
	"skylarkstall/internal/adapter/document"
	"skylarkstall/internal/adapter/httpjson"
	"skylarkstall/internal/adapter/journalwire"
	"skylarkstall/internal/adapter/metrics"
	"skylarkstall/internal/adapter/peerwire"
	"skylarkstall/internal/adapter/storehttp"
	"skylarkstall/internal/adapter/vmlisthttp"
	"skylarkstall/internal/adapter/workerhttp"
	"skylarkstall/internal/app/configsync"
	"skylarkstall/internal/app/directory"
	"skylarkstall/internal/app/entry"
	"skylarkstall/internal/app/home"
	"skylarkstall/internal/app/journalwriter"
	"skylarkstall/internal/app/meter"
	"skylarkstall/internal/app/owner"
	"skylarkstall/internal/app/peering"
	"skylarkstall/internal/domain/fleet"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/membership"
	"skylarkstall/internal/domain/team"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// Settings are the checked settings of a process.
type Settings struct {
	ID            ident.ProcessID
	Zone          ident.Zone
	CallerAddress string // host:port for callers and operators
	PeerAddress   string // host:port for peers
	StoreAddress  string // host:port of the key-value service
	VMListAddress string // host:port of the VM list
	PeerPlain     bool   // connections between processes without TLS
	PeerTLS       peerwire.CredentialFiles
	Peers         []port.VM // processes to contact beside those of the VM list
	DrainTimeout  time.Duration
	TimelineSize  int          // events kept
	Policy        fleet.Policy // zero for fleet.FairShare
	CellToken     string       // secret of the cell's operators; empty when nobody may change cell quotas or add teams
}

// Failure detection of peers.
const (
	deadAfter  = 3 * peerwire.HeartbeatInterval
	rejoinRow  = 3
	readyAfter = 2 * time.Second // with no peer heard of, the process is taken to be alone
)

// Node is one entry process.
type Node struct {
	settings    Settings
	log         *slog.Logger
	started     time.Time
	members     *membership.Membership
	catalog     *team.Catalog
	metrics     *metrics.Metrics
	meter       *meter.Meter
	recorder    *timeline.Recorder
	dir         *directory.Directory
	peers       *peering.Service
	owner       *owner.Service
	home        *home.Service
	config      *configsync.Service
	entry       *entry.Service
	transport   *peerwire.Transport
	credentials *peerwire.Credentials // nil for plain connections
	calls       port.Peers
	caller      net.Listener
	peer        net.Listener

	mu       sync.Mutex
	draining bool
}

func (s Settings) policy() fleet.Policy {
	if s.Policy == (fleet.Policy{}) {
		return fleet.FairShare
	}
	return s.Policy
}

// New returns a process that listens but does not serve yet.
func New(settings Settings, log *slog.Logger) (*Node, error) {
	log = log.With("process", settings.ID)
	var credentials *peerwire.Credentials
	if !settings.PeerPlain {
		var err error
		if credentials, err = peerwire.LoadCredentials(settings.PeerTLS, log); err != nil {
			return nil, err
		}
	}
	caller, err := net.Listen("tcp", settings.CallerAddress)
	if err != nil {
		return nil, fault.As(fault.Unavailable, err, "caller address")
	}
	peer, err := net.Listen("tcp", settings.PeerAddress)
	if err != nil {
		_ = caller.Close() // the process does not start
		return nil, fault.As(fault.Unavailable, err, "peer address")
	}
	exported := metrics.New()
	n := prepare(settings, vmlisthttp.New(settings.VMListAddress), exported, log)
	n.metrics, n.credentials, n.caller, n.peer = exported, credentials, caller, peer
	n.transport = peerwire.New(settings.ID, peer, credentials, n.peers, n.meter.Handler(n), n.recorder, n.log)
	n.wire(storehttp.New(settings.StoreAddress), workerhttp.Dialer{}, n.transport)
	return n, nil
}

// Platform is what a process reaches outside itself.
type Platform struct {
	Store   port.Store
	VMs     port.VMList
	Workers port.WorkerDialer
	Peers   port.Peers
}

// Assemble returns a process that reaches the given platform and listens on no address. Run its services with
// RunServices.
func Assemble(settings Settings, platform Platform, log *slog.Logger) *Node {
	n := prepare(settings, platform.VMs, meter.Discard{}, log.With("process", settings.ID))
	n.wire(platform.Store, platform.Workers, platform.Peers)
	return n
}

// prepare makes the parts that every other part refers to.
func prepare(settings Settings, vms port.VMList, sink meter.Sink, log *slog.Logger) *Node {
	n := &Node{
		settings: settings, log: log, started: time.Now(), catalog: team.NewCatalog(),
		recorder: timeline.NewRecorder(settings.ID, settings.TimelineSize), dir: directory.New(vms, log),
		meter: meter.New(sink),
	}
	self := membership.Peer{ID: settings.ID, Zone: settings.Zone, Incarnation: uint64(n.started.UnixNano())}
	n.members = membership.New(self, membership.Settings{
		Interval: peerwire.HeartbeatInterval, DeadAfter: deadAfter, Rejoin: rejoinRow,
	})
	n.peers = peering.New(n.members, n.dir, settings.Peers, n.recorder, log, n.catalog.Revision,
		func(now time.Time) fleet.Digest { return n.owner.Digest(now) })
	return n
}

// wire makes the services.
func (n *Node) wire(store port.Store, workers port.WorkerDialer, peers port.Peers) {
	n.calls = n.meter.Peers(&localPeers{Peers: peers, self: n.settings.ID, handler: n.meter.Handler(n)})
	n.recorder.Hear(n.meter.Event)
	n.owner = owner.New(owner.Config{
		Self: n.settings.ID, Members: n.members, Live: n.peers.LiveChanged, Dir: n.dir, Dialer: workers,
		Peers: n.calls, Policy: n.settings.policy(), Recorder: n.recorder, Log: n.log,
	})
	journal := journalwriter.New(journalwriter.Config{
		Self: n.settings.ID, Store: n.meter.Store(store), Codec: journalwire.Codec{}, Log: n.log,
	})
	n.home = home.New(home.Config{
		Self: n.settings.ID, Zone: n.settings.Zone, Members: n.members, Live: n.peers.LiveChanged,
		Beats: n.peers.Heartbeats, Digest: n.owner.Digest, Dir: n.dir, Peers: n.calls, Recorder: n.recorder, Log: n.log,
		LostAfter: owner.TaskLeaseBound, Journal: journal,
	})
	n.config = configsync.New(configsync.Config{
		Self: n.settings.ID, Store: n.meter.Store(store), Peers: n.calls, Beats: n.peers.Heartbeats,
		Arrived: n.peers.HeartbeatArrived, Catalog: n.catalog, Decode: document.Decode, DecodeCell: document.DecodeCell,
		Recorder: n.recorder, Log: n.log,
	})
	n.entry = entry.New(entry.Config{
		Self: n.settings.ID, Members: n.members, Catalog: n.catalog, Peers: n.calls, Recorder: n.recorder, Log: n.log,
	})
}

// CallerAddress returns the host:port that callers reach.
func (n *Node) CallerAddress() string { return n.caller.Addr().String() }

// PeerAddress returns the host:port that peers reach.
func (n *Node) PeerAddress() string { return n.peer.Addr().String() }

// Run serves until the context ends, then drains: it takes no new connections, gives back workers and partitions and
// finishes what runs, for at most the drain timeout.
func (n *Node) Run(ctx context.Context) error {
	handler, err := callerhttp.New(n, n.metrics.Handler(), n.meter.Refused)
	if err != nil {
		return err
	}
	server := httpjson.NewServer(handler)
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	var running sync.WaitGroup
	running.Go(func() { n.runMetrics(inner) })
	running.Go(func() { _ = n.transport.Run(inner) }) // ends with the context
	running.Go(func() { n.peers.RunConnections(inner, n.transport) })
	running.Go(func() { n.RunServices(inner) })
	drained := context.AfterFunc(ctx, func() { n.drain(server, stop) })
	defer drained()
	err = callerhttp.Serve(server, n.caller)
	if ctx.Err() == nil {
		stop()
	}
	running.Wait()
	return err
}

// RunServices runs everything but the connections to callers and peers until the context ends.
func (n *Node) RunServices(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { n.dir.Run(ctx) })
	running.Go(func() { n.peers.Run(ctx) })
	running.Go(func() { n.config.Run(ctx) })
	running.Go(func() { n.config.RunPeers(ctx) })
	running.Go(func() { n.runOwnership(ctx) })
	running.Wait()
}

// Peering returns the service that sends and takes heartbeats.
func (n *Node) Peering() *peering.Service { return n.peers }

func (n *Node) runMetrics(ctx context.Context) {
	n.metrics.Run(ctx, metrics.Sources{
		Counts: n.meter.Reading, Digest: n.owner.Digest, Traffic: n.transport.Traffic,
		Live: func() int { return len(n.members.Live()) }, Revision: n.catalog.Revision,
	})
	if err := n.metrics.Close(); err != nil {
		n.log.Warn("metrics not closed", "error", err)
	}
}

// runOwnership claims workers and partitions once the peers had time to make themselves known.
func (n *Node) runOwnership(ctx context.Context) {
	n.awaitPeers(ctx)
	var running sync.WaitGroup
	running.Go(func() { n.owner.Run(ctx) })
	running.Go(func() { n.home.Run(ctx) })
	running.Wait()
}

// awaitPeers waits until every listed peer has sent a heartbeat, or for a short time.
func (n *Node) awaitPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readyAfter)
	defer cancel()
	for ctx.Err() == nil {
		arrived, listed := n.peers.HeartbeatArrived(), n.dir.Changed()
		if n.dir.Known() && len(n.members.Live()) >= len(n.dir.VMs(port.RoleEntry)) {
			return
		}
		select {
		case <-arrived:
		case <-listed:
		case <-ctx.Done():
		}
	}
}

func (n *Node) drain(server *http.Server, stop func()) {
	n.mu.Lock()
	n.draining = true
	n.mu.Unlock()
	n.recorder.Record(time.Now(), timeline.Event{Kind: timeline.DrainStarted})
	n.log.Info("draining", "timeout", n.settings.DrainTimeout)
	n.peers.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.DrainTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		n.log.Warn("drain timeout; requests were cut off", "error", err)
	}
	stop()
}

// Ready tells the balancer whether the process takes work. It fails with Draining or NotReady.
func (n *Node) Ready() error {
	n.mu.Lock()
	draining := n.draining
	n.mu.Unlock()
	switch {
	case draining:
		return fault.New(fault.Draining, "the process is draining")
	case !n.catalog.Confirmed():
		return fault.New(fault.NotReady, "no documents confirmed by the store or a peer")
	case !n.dir.Known():
		return fault.New(fault.NotReady, "the VM list was not read")
	}
	return nil
}

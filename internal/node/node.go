// Package node wires one entry process from its settings.
package node

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"

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
	"skylarkstall/internal/domain/health"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/membership"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/domain/team"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/port"
)

// Settings are the checked settings of a process.
type Settings struct {
	ID                ident.ProcessID
	Zone              ident.Zone
	CallerAddress     string // host:port for callers and operators
	PeerAddress       string // host:port for peers
	StoreAddress      string // host:port of the key-value service
	VMListAddress     string // host:port of the VM list
	PlaintextPeers    bool   // connections between processes without TLS
	PeerTLS           peerwire.CredentialFiles
	StaticPeers       []port.VM                   // processes to contact beside those of the VM list
	DrainAcceptPeriod time.Duration               // how long a draining process still serves, until the balancer has noticed
	DrainTimeout      time.Duration               // longest graceful shutdown, the grace included
	TerminationNotice time.Duration               // how long tasks on a leaving worker may go on before they are checkpointed or stopped
	TimelineSize      int                         // events kept
	Policy            fleet.Policy                // zero for fleet.FairShare
	CellToken         string                      // secret of the cell's operators; empty when nobody may change cell quotas or add teams
	WrapPeers         func(port.Peers) port.Peers // lets a test see or break calls between processes; may be nil
}

// Failure detection of peers.
const (
	deadAfter  = 3 * peerwire.HeartbeatInterval
	rejoinRow  = 3
	readyAfter = 2 * time.Second // with no peer heard of, the process is taken to be alone
)

// Retry budget of a process: further placements of refused or failed attempts per second, and how many may come at
// once. At the peak of 530 starts per second over 17 processes, 30 per second let each start be tried twice on
// average, so a zone that fails everything at most doubles the load on the others.
const (
	retryRate  = 30
	retryBurst = 100
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
	retries     *rate.Limiter
	executing   inflight
	caller      net.Listener
	peer        net.Listener
	life        context.Context // ends with Run
	end         context.CancelFunc

	killed context.Context // ends when the process is to stop at once
	kill   context.CancelFunc

	mu       sync.Mutex
	joined   bool // the peers had time to make themselves known
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
	if !settings.PlaintextPeers {
		var err error
		if credentials, err = peerwire.LoadCredentials(settings.PeerTLS, log); err != nil {
			return nil, err
		}
	}
	caller, err := net.Listen("tcp", settings.CallerAddress)
	if err != nil {
		return nil, fault.WrapAs(fault.Unavailable, err, "caller address")
	}
	peer, err := net.Listen("tcp", settings.PeerAddress)
	if err != nil {
		_ = caller.Close() // the process does not start
		return nil, fault.WrapAs(fault.Unavailable, err, "peer address")
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

// NewWithPlatform returns a process that reaches the given platform and listens on no address. Run its services with
// RunServices.
func NewWithPlatform(settings Settings, platform Platform, log *slog.Logger) *Node {
	n := prepare(settings, platform.VMs, meter.Discard{}, log.With("process", settings.ID))
	n.wire(platform.Store, platform.Workers, platform.Peers)
	return n
}

// prepare makes the parts that every other part refers to.
func prepare(settings Settings, vms port.VMList, sink meter.Sink, log *slog.Logger) *Node {
	n := &Node{
		settings: settings, log: log, started: time.Now(), catalog: team.NewCatalog(),
		recorder: timeline.NewRecorder(settings.ID, settings.TimelineSize), dir: directory.New(vms, log),
		meter: meter.New(sink), retries: rate.NewLimiter(retryRate, retryBurst),
	}
	n.killed, n.kill = context.WithCancel(context.Background())
	self := membership.Peer{ID: settings.ID, Zone: settings.Zone, Incarnation: uint64(n.started.UnixNano())}
	n.members = membership.New(self, membership.Settings{
		HeartbeatInterval: peerwire.HeartbeatInterval, DeadAfter: deadAfter, RejoinHeartbeats: rejoinRow,
	})
	n.peers = peering.New(n.members, n.dir, settings.StaticPeers, n.recorder, log, n.catalog.Revision,
		func(now time.Time) fleet.Digest {
			digest := n.owner.Digest(now)
			digest.Shapes = n.owner.Shapes()
			return digest
		})
	n.life, n.end = context.WithCancel(context.Background())
	return n
}

// wire makes the services.
func (n *Node) wire(store port.Store, workers port.WorkerDialer, peers port.Peers) {
	n.calls = n.meter.Peers(&localPeers{Peers: peers, self: n.settings.ID, handler: n.meter.Handler(n), life: n.life})
	if n.settings.WrapPeers != nil {
		n.calls = n.settings.WrapPeers(n.calls)
	}
	n.recorder.SetObserver(n.meter.RecordEvent)
	n.owner = owner.New(owner.Config{
		Self: n.settings.ID, Membership: n.members, LiveChanged: n.peers.LiveChanged, Directory: n.dir, Dialer: workers,
		Peers: n.calls, Heartbeats: n.peers.Heartbeats, Policy: n.settings.policy(), Quota: n.quota, Health: health.New(health.DefaultSettings),
		RetryLimiter: n.retries, TerminationNotice: n.settings.TerminationNotice, Recorder: n.recorder, Log: n.log,
	})
	journal := journalwriter.New(journalwriter.Config{
		Self: n.settings.ID, Store: n.meter.Store(store), Codec: journalwire.Codec{}, Log: n.log,
	})
	n.home = home.New(home.Config{
		Self: n.settings.ID, Zone: n.settings.Zone, Membership: n.members, LiveChanged: n.peers.LiveChanged,
		Heartbeats: n.peers.Heartbeats, Digest: n.owner.Digest, Directory: n.dir, Peers: n.calls, Recorder: n.recorder, Log: n.log,
		TaskLeaseBound: owner.TaskLeaseBound, Journal: journal, RetryLimiter: n.retries,
	})
	n.config = configsync.New(configsync.Config{
		Self: n.settings.ID, Store: n.meter.Store(store), Peers: n.calls, Heartbeats: n.peers.Heartbeats,
		HeartbeatArrived: n.peers.HeartbeatArrived, Catalog: n.catalog, Decode: document.Decode, DecodeCell: document.DecodeCellQuotas,
		Recorder: n.recorder, Log: n.log,
	})
	n.entry = entry.New(entry.Config{
		Self: n.settings.ID, Membership: n.members, Catalog: n.catalog, Peers: n.calls, Recorder: n.recorder, Log: n.log,
		WorkerShapes: n.shapes,
	})
}

// shapes returns the capacities of the cell's workers. It returns false while some worker of the VM list is not known,
// because then work that seems impossible may fit on it.
func (n *Node) shapes() ([]fleet.Shape, bool) {
	shapes := n.owner.Shapes()
	for _, beat := range n.peers.Heartbeats() {
		shapes = append(shapes, beat.Digest.Shapes...)
	}
	known := 0
	for _, shape := range shapes {
		known += shape.Count
	}
	return shapes, n.dir.Loaded() && known > 0 && known >= len(n.dir.VMs(port.RoleWorker))
}

// quota returns what falls to this process of a team's quota: as much as it owns of the cell's processors.
func (n *Node) quota(id ident.TeamID) resource.Vector {
	stored, err := n.catalog.Get(id)
	if err != nil {
		return resource.Vector{}
	}
	own := n.owner.Digest(time.Now()).Capacity.MilliCores
	all := own
	for _, beat := range n.peers.Heartbeats() {
		all += beat.Digest.Capacity.MilliCores
	}
	if all == 0 {
		return resource.Vector{}
	}
	return stored.Document.Quota.Prorate(own, all)
}

// CallerAddress returns the host:port that callers reach.
func (n *Node) CallerAddress() string { return n.caller.Addr().String() }

// PeerAddress returns the host:port that peers reach.
func (n *Node) PeerAddress() string { return n.peer.Addr().String() }

// Run serves until the context ends, then drains; see drain.
func (n *Node) Run(ctx context.Context) error {
	handler, err := callerhttp.New(n, n.metrics.Handler(), n.meter.CountRefusal)
	if err != nil {
		return err
	}
	server := httpjson.NewServer(handler)
	inner, stop := n.life, n.end
	defer stop()
	var running sync.WaitGroup
	running.Go(func() { n.runMetrics(inner) })
	running.Go(func() { _ = n.transport.Run(inner) }) // ends with the context
	running.Go(func() { n.peers.RunConnections(inner, n.transport) })
	running.Go(func() { n.RunServices(inner) })
	stopping := context.AfterFunc(ctx, func() { n.drain(inner, server, stop) })
	defer stopping()
	killed := context.AfterFunc(n.killed, func() { n.breakOff(server, stop) })
	defer killed()
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
	running.Go(func() { n.config.RunPeerSync(ctx) })
	running.Go(func() { n.runOwnership(ctx) })
	running.Wait()
}

// Peering returns the service that sends and takes heartbeats.
func (n *Node) Peering() *peering.Service { return n.peers }

func (n *Node) runMetrics(ctx context.Context) {
	n.metrics.Run(ctx, metrics.Sources{
		Counts: n.meter.Snapshot, Digest: n.owner.Digest, Traffic: n.transport.Traffic,
		LiveProcesses: func() int { return len(n.members.Live()) }, Revision: n.catalog.Revision,
	})
	if err := n.metrics.Close(); err != nil {
		n.log.Warn("metrics not closed", "error", err)
	}
}

// runOwnership claims workers and partitions once the peers had time to make themselves known.
func (n *Node) runOwnership(ctx context.Context) {
	n.awaitPeers(ctx)
	n.mu.Lock()
	n.joined = true
	n.mu.Unlock()
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
		if n.dir.Loaded() && len(n.members.Live()) >= len(n.dir.VMs(port.RoleEntry)) {
			return
		}
		select {
		case <-arrived:
		case <-listed:
		case <-ctx.Done():
		}
	}
}

// Ready tells the balancer whether the process takes work. It fails with Draining or NotReady.
func (n *Node) Ready() error {
	n.mu.Lock()
	draining, joined := n.draining, n.joined
	n.mu.Unlock()
	switch {
	case draining:
		return fault.New(fault.Draining, "the process is draining")
	case !n.catalog.Confirmed():
		return fault.New(fault.NotReady, "no documents confirmed by the store or a peer")
	case !n.dir.Loaded():
		return fault.New(fault.NotReady, "the VM list was not read")
	case !joined:
		return fault.New(fault.NotReady, "not every listed process was heard of yet")
	}
	return nil
}

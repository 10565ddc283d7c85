// Package node assembles an entry process from its settings and runs it.
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
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
)

// Settings are the validated settings of a process.
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
	DrainAcceptPeriod time.Duration               // how long a draining process still accepts connections, until the load balancer has noticed
	DrainTimeout      time.Duration               // longest graceful shutdown, including the time in which connections are still accepted
	TerminationNotice time.Duration               // how long tasks on a draining worker may continue before they are checkpointed or stopped
	TimelineSize      int                         // number of events kept
	Policy            fleet.Policy                // the zero value selects fleet.FairShare
	CellToken         string                      // secret of the cell's operators; if empty, nobody may change cell quotas or add teams
	WrapPeers         func(port.Peers) port.Peers // lets a test observe or interrupt calls between processes; may be nil
}

// Failure detection of peers.
const (
	deadAfter        = 3 * peerwire.HeartbeatInterval
	rejoinHeartbeats = 3
)

// Retry budget of a process: rate per second and burst of further placements after refused or failed attempts. At the
// peak of 530 starts per second on 17 processes, 30 per second allow each start to be tried twice on average, so that a
// zone in which everything fails at most doubles the load on the others.
const (
	retryRate  = 30
	retryBurst = 100
)

// Node is one entry process.
type Node struct {
	settings       Settings
	log            *slog.Logger
	started        time.Time
	membership     *membership.Membership
	catalog        *team.Catalog
	metrics        *metrics.Metrics
	meter          *meter.Meter
	recorder       *timeline.Recorder
	directory      *directory.Directory
	peering        *peering.Service
	owner          *owner.Service
	home           *home.Service
	config         *configsync.Service
	entry          *entry.Service
	transport      *peerwire.Transport
	credentials    *peerwire.Credentials // nil for plain connections
	peerCalls      port.Peers
	retryLimiter   *rate.Limiter
	inFlight       inFlightCalls
	callerListener net.Listener
	peerListener   net.Listener
	lifetime       context.Context // ends with Run
	endLifetime    context.CancelFunc

	killed context.Context // ends when Kill is called
	kill   context.CancelFunc

	mu       sync.Mutex
	joined   bool // awaitPeers has returned
	draining bool
}

func (s Settings) policy() fleet.Policy {
	if s.Policy == (fleet.Policy{}) {
		return fleet.FairShare
	}
	return s.Policy
}

// New returns a process that has opened its listeners but does not serve yet.
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
		return nil, fault.WrapAs(fault.Unavailable, err, "listen on the caller address")
	}
	peer, err := net.Listen("tcp", settings.PeerAddress)
	if err != nil {
		_ = caller.Close() // nothing was accepted yet
		return nil, fault.WrapAs(fault.Unavailable, err, "listen on the peer address")
	}
	metricSet := metrics.New()
	n := newNode(settings, vmlisthttp.New(settings.VMListAddress), metricSet, log)
	n.metrics, n.credentials, n.callerListener, n.peerListener = metricSet, credentials, caller, peer
	n.transport = peerwire.New(settings.ID, peer, credentials, n.peering, n.meter.Handler(n), n.recorder, n.log)
	n.wireServices(storehttp.New(settings.StoreAddress), workerhttp.Dialer{}, n.transport)
	return n, nil
}

// Platform holds the adapters through which a process reaches the services around it.
type Platform struct {
	Store   port.Store
	VMs     port.VMList
	Workers port.WorkerDialer
	Peers   port.Peers
}

// NewWithPlatform returns a process that uses the given platform and has no listeners. Run it with RunServices instead
// of Run.
func NewWithPlatform(settings Settings, platform Platform, log *slog.Logger) *Node {
	n := newNode(settings, platform.VMs, meter.Discard{}, log.With("process", settings.ID))
	n.wireServices(platform.Store, platform.Workers, platform.Peers)
	return n
}

// newNode creates the parts that the services depend on.
func newNode(settings Settings, vms port.VMList, sink meter.Sink, log *slog.Logger) *Node {
	n := &Node{
		settings: settings, log: log, started: time.Now(), catalog: team.NewCatalog(),
		recorder: timeline.NewRecorder(settings.ID, settings.TimelineSize), directory: directory.New(vms, log),
		meter: meter.New(sink), retryLimiter: rate.NewLimiter(retryRate, retryBurst),
	}
	n.killed, n.kill = context.WithCancel(context.Background())
	self := membership.Peer{ID: settings.ID, Zone: settings.Zone, Incarnation: uint64(n.started.UnixNano())}
	n.membership = membership.New(self, membership.Settings{
		HeartbeatInterval: peerwire.HeartbeatInterval, DeadAfter: deadAfter, RejoinHeartbeats: rejoinHeartbeats,
	})
	n.peering = peering.New(n.membership, n.directory, settings.StaticPeers, n.recorder, log, n.catalog.Revision,
		func(now time.Time) fleet.Digest {
			digest := n.owner.Digest(now)
			digest.Shapes = n.owner.Shapes()
			return digest
		})
	n.lifetime, n.endLifetime = context.WithCancel(context.Background())
	return n
}

// wireServices creates the services.
func (n *Node) wireServices(store port.Store, workers port.WorkerDialer, peers port.Peers) {
	n.peerCalls = n.meter.Peers(&localPeers{Peers: peers, self: n.settings.ID, handler: n.meter.Handler(n), lifetime: n.lifetime})
	if n.settings.WrapPeers != nil {
		n.peerCalls = n.settings.WrapPeers(n.peerCalls)
	}
	n.recorder.SetObserver(n.meter.RecordEvent)
	n.owner = owner.New(owner.Config{
		Self: n.settings.ID, Membership: n.membership, LiveChanged: n.peering.LiveChanged, Directory: n.directory, Dialer: workers,
		Peers: n.peerCalls, Heartbeats: n.peering.Heartbeats, Policy: n.settings.policy(), Quota: n.quotaShare, Health: health.New(health.DefaultSettings),
		RetryLimiter: n.retryLimiter, TerminationNotice: n.settings.TerminationNotice, Recorder: n.recorder, Log: n.log,
	})
	journal := journalwriter.New(journalwriter.Config{
		Self: n.settings.ID, Store: n.meter.Store(store), Codec: journalwire.Codec{}, Log: n.log,
	})
	n.home = home.New(home.Config{
		Self: n.settings.ID, Zone: n.settings.Zone, Membership: n.membership, LiveChanged: n.peering.LiveChanged,
		Heartbeats: n.peering.Heartbeats, Digest: n.owner.Digest, Directory: n.directory, Peers: n.peerCalls, Recorder: n.recorder, Log: n.log,
		TaskLeaseBound: owner.TaskLeaseBound, Journal: journal, RetryLimiter: n.retryLimiter,
	})
	n.config = configsync.New(configsync.Config{
		Self: n.settings.ID, Store: n.meter.Store(store), Peers: n.peerCalls, Heartbeats: n.peering.Heartbeats,
		HeartbeatArrived: n.peering.HeartbeatArrived, Catalog: n.catalog, Decode: document.Decode, DecodeCellQuotas: document.DecodeCellQuotas,
		Recorder: n.recorder, Log: n.log,
	})
	n.entry = entry.New(entry.Config{
		Self: n.settings.ID, Membership: n.membership, Catalog: n.catalog, Peers: n.peerCalls, Recorder: n.recorder, Log: n.log,
		WorkerShapes: n.workerShapes,
	})
}

// workerShapes returns the capacities of the cell's workers. It returns false while the capacity of a worker in the VM
// list is unknown, because work that fits on no known worker may fit on that one.
func (n *Node) workerShapes() ([]fleet.Shape, bool) {
	shapes := n.owner.Shapes()
	for _, heartbeat := range n.peering.Heartbeats() {
		shapes = append(shapes, heartbeat.Digest.Shapes...)
	}
	known := 0
	for _, shape := range shapes {
		known += shape.Count
	}
	return shapes, n.directory.Loaded() && known > 0 && known >= len(n.directory.VMs(port.RoleWorker))
}

// quotaShare returns this process's share of a team's quota, in proportion to its share of the cell's cores.
func (n *Node) quotaShare(id ident.TeamID) resource.Vector {
	stored, err := n.catalog.Get(id)
	if err != nil {
		return resource.Vector{}
	}
	own := n.owner.Digest(time.Now()).Capacity.MilliCores
	total := own
	for _, heartbeat := range n.peering.Heartbeats() {
		total += heartbeat.Digest.Capacity.MilliCores
	}
	if total == 0 {
		return resource.Vector{}
	}
	return stored.Document.Quota.Prorate(own, total)
}

// CallerAddress returns the host:port of the listener for callers.
func (n *Node) CallerAddress() string { return n.callerListener.Addr().String() }

// PeerAddress returns the host:port of the listener for peers.
func (n *Node) PeerAddress() string { return n.peerListener.Addr().String() }

// Run serves until the context ends and then drains the process.
func (n *Node) Run(ctx context.Context) error {
	handler, err := callerhttp.New(n, n.metrics.Handler(), n.meter.CountRefusal)
	if err != nil {
		return err
	}
	timer, err := pause.NewPollTimer()
	if err != nil {
		return err
	}
	defer timer.Close()
	server := httpjson.NewServer(handler)
	lifetime, stop := n.lifetime, n.endLifetime
	defer stop()
	var goroutines sync.WaitGroup
	goroutines.Go(func() { n.runMetrics(lifetime) })
	goroutines.Go(func() { _ = n.transport.Run(lifetime) }) // ends with the context
	goroutines.Go(func() { n.peering.RunConnections(lifetime, n.transport) })
	goroutines.Go(func() { n.RunServices(lifetime, timer.WaitUntil) })
	cancelDrain := context.AfterFunc(ctx, func() { n.drain(lifetime, server, stop) })
	defer cancelDrain()
	cancelAbort := context.AfterFunc(n.killed, func() { n.abort(server, stop) })
	defer cancelAbort()
	err = callerhttp.Serve(server, n.callerListener)
	if ctx.Err() == nil {
		stop()
	}
	goroutines.Wait()
	return err
}

// RunServices runs all services, without the connections to callers and peers, until the context ends. waitUntil is the
// timer of the peering service.
func (n *Node) RunServices(ctx context.Context, waitUntil func(context.Context, time.Time)) {
	var goroutines sync.WaitGroup
	goroutines.Go(func() { n.directory.Run(ctx) })
	goroutines.Go(func() { n.peering.Run(ctx, waitUntil) })
	goroutines.Go(func() { n.config.Run(ctx) })
	goroutines.Go(func() { n.config.RunPeerSync(ctx) })
	goroutines.Go(func() { n.runOwnership(ctx) })
	goroutines.Wait()
}

// Peering returns the service that tracks peers by their heartbeats.
func (n *Node) Peering() *peering.Service { return n.peering }

func (n *Node) runMetrics(ctx context.Context) {
	n.metrics.Run(ctx, metrics.Sources{
		Counts: n.meter.Snapshot, Digest: n.owner.Digest, Traffic: n.transport.Traffic,
		LiveProcesses: func() int { return len(n.membership.Live()) }, Revision: n.catalog.Revision,
	})
	if err := n.metrics.Close(); err != nil {
		n.log.Warn("closing the metrics failed", "error", err)
	}
}

// Ready is the readiness check of the load balancer. It fails with Draining or NotReady if the process takes no work.
func (n *Node) Ready() error {
	n.mu.Lock()
	draining, joined := n.draining, n.joined
	n.mu.Unlock()
	switch {
	case draining:
		return fault.New(fault.Draining, "the process is draining")
	case !n.catalog.Confirmed():
		return fault.New(fault.NotReady, "the documents have not been confirmed by the store or a peer")
	case !n.directory.Loaded():
		return fault.New(fault.NotReady, "the VM list has not been read")
	case !joined:
		return fault.New(fault.NotReady, "still waiting for heartbeats of the other listed processes")
	}
	return nil
}

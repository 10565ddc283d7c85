// Package devcell runs a whole cell in one process: a fake store, VM list and workers, and entry processes that
// communicate with them and with each other over loopback.
package devcell

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"skylarkstall/examples"
	"skylarkstall/internal/adapter/callerhttp"
	"skylarkstall/internal/adapter/storehttp"
	"skylarkstall/internal/adapter/vmlisthttp"
	"skylarkstall/internal/app/configsync"
	"skylarkstall/internal/domain/fleet"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/resource"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/node"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
	"skylarkstall/internal/standin/store"
	"skylarkstall/internal/standin/vmlist"
	"skylarkstall/internal/standin/worker"
)

// Settings describe a cell.
type Settings struct {
	Processes         int
	Workers           int
	Zones             []ident.Zone
	Capacity          resource.Vector // of each worker
	CallerAddress     string          // of the first entry process; the others listen on free ports
	Policy            fleet.Policy    // zero for fleet.FairShare
	DrainAcceptPeriod time.Duration   // of each process
	TerminationNotice time.Duration   // how long tasks on a leaving worker may continue
	Log               *slog.Logger
	Observe           func(ident.WorkerID, worker.Observation)     // may be nil
	WrapPeers         func(ident.ProcessID, port.Peers) port.Peers // may be nil
	// StoreAddressFunc returns the address of the store for a process, so that a test can disconnect single processes.
	// nil stands for the address of the fake store.
	StoreAddressFunc func(id ident.ProcessID, storeAddress string) string
	// AdvertisedAddressFunc returns the peer address of a process in the VM list. nil stands for the address on which
	// the process listens.
	AdvertisedAddressFunc func(id ident.ProcessID, peerAddress string) string
}

// WorkersPerRack is the number of workers in a rack.
const WorkersPerRack = 8

// CellToken is the secret of the cell's operators.
const CellToken = "cell-dev-token"

// DefaultTerminationNotice is the default of Settings.TerminationNotice.
const DefaultTerminationNotice = time.Minute

// DefaultCapacity is the default of Settings.Capacity: 32 cores, 128 GiB and 8 slots.
var DefaultCapacity = resource.Vector{MilliCores: 32_000, MemoryBytes: 128 << 30, Slots: 8}

// Cell is a running cell.
type Cell struct {
	Store   *store.Store
	VMs     *vmlist.List
	Workers []*worker.Worker
	Nodes   []*Node

	settings Settings
	mu       sync.Mutex
	vms      []vmlisthttp.VM
}

// Node is an entry process of the cell.
type Node struct {
	*node.Node
	ID   ident.ProcessID
	stop context.CancelFunc
	done chan struct{}
}

// Start starts a cell. Close stops it.
func Start(ctx context.Context, settings Settings) (*Cell, error) {
	if settings.Capacity.IsZero() {
		settings.Capacity = DefaultCapacity
	}
	if len(settings.Zones) == 0 {
		settings.Zones = []ident.Zone{"kochi-a", "kochi-b", "alappuzha"}
	}
	if settings.TerminationNotice == 0 {
		settings.TerminationNotice = DefaultTerminationNotice
	}
	c := &Cell{settings: settings}
	if err := c.start(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cell) start(ctx context.Context) error {
	var err error
	if c.Store, err = store.Start("127.0.0.1:0"); err != nil {
		return err
	}
	if c.VMs, err = vmlist.Start("127.0.0.1:0"); err != nil {
		return err
	}
	if err := c.putDocuments(ctx); err != nil {
		return err
	}
	for i := range c.settings.Workers {
		if err := c.addWorker(i); err != nil {
			return err
		}
	}
	for i := range c.settings.Processes {
		if _, err := c.AddNode(fmt.Sprintf("entry-%d", i+1), i); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cell) putDocuments(ctx context.Context) error {
	client := storehttp.New(c.Store.Address())
	for id, source := range map[string][]byte{"vembanad": examples.Vembanad, "goldfields": examples.Goldfields} {
		if _, err := client.Put(ctx, configsync.KeyPrefix+id, source, 0, 0); err != nil {
			return fault.Wrap(err, "document of %s", id)
		}
	}
	return nil
}

func (c *Cell) zone(i int) ident.Zone { return c.settings.Zones[i%len(c.settings.Zones)] }

func (c *Cell) addWorker(i int) error {
	id := fmt.Sprintf("worker-%02d", i+1)
	rack := ident.Rack(fmt.Sprintf("%s-rack-%d", c.zone(i), i/len(c.settings.Zones)/WorkersPerRack+1))
	var observe func(worker.Observation)
	if c.settings.Observe != nil {
		observe = func(o worker.Observation) { c.settings.Observe(ident.WorkerID(id), o) }
	}
	w, err := worker.Start("127.0.0.1:0", worker.Settings{
		Capacity: c.settings.Capacity, Zone: c.zone(i), Rack: rack,
	}, observe)
	if err != nil {
		return err
	}
	c.Workers = append(c.Workers, w)
	c.AddVM(vmlisthttp.VM{
		ID: id, Role: string(port.RoleWorker), Address: w.Address(), Zone: string(c.zone(i)), Rack: string(rack),
	})
	return nil
}

// AddVM adds a VM to the VM list.
func (c *Cell) AddVM(vm vmlisthttp.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vms = append(c.vms, vm)
	c.VMs.Set(append([]vmlisthttp.VM(nil), c.vms...))
}

// MarkDraining marks a VM in the VM list as leaving.
func (c *Cell) MarkDraining(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.vms {
		c.vms[i].Draining = c.vms[i].Draining || c.vms[i].ID == id
	}
	c.VMs.Set(append([]vmlisthttp.VM(nil), c.vms...))
}

// RemoveVM removes a VM from the VM list.
func (c *Cell) RemoveVM(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var kept []vmlisthttp.VM
	for _, vm := range c.vms {
		if vm.ID != id {
			kept = append(kept, vm)
		}
	}
	c.vms = kept
	c.VMs.Set(append([]vmlisthttp.VM(nil), kept...))
}

// AddNode starts an entry process in the zone with the given index and adds it to the VM list.
func (c *Cell) AddNode(id string, zone int) (*Node, error) {
	caller := "127.0.0.1:0"
	if len(c.Nodes) == 0 && c.settings.CallerAddress != "" {
		caller = c.settings.CallerAddress
	}
	store := c.Store.Address()
	if c.settings.StoreAddressFunc != nil {
		store = c.settings.StoreAddressFunc(ident.ProcessID(id), store)
	}
	n, err := node.New(node.Settings{
		ID: ident.ProcessID(id), Zone: c.zone(zone), CallerAddress: caller, PeerAddress: "127.0.0.1:0",
		StoreAddress: store, VMListAddress: c.VMs.Address(), DrainAcceptPeriod: c.settings.DrainAcceptPeriod,
		DrainTimeout: 30 * time.Second, TerminationNotice: c.settings.TerminationNotice, TimelineSize: 20_000,
		Policy: c.settings.Policy, CellToken: CellToken, PlaintextPeers: true,
		WrapPeers: func(peers port.Peers) port.Peers {
			if c.settings.WrapPeers == nil {
				return peers
			}
			return c.settings.WrapPeers(ident.ProcessID(id), peers)
		},
	}, c.settings.Log)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	running := &Node{Node: n, ID: ident.ProcessID(id), stop: cancel, done: make(chan struct{})}
	c.Nodes = append(c.Nodes, running)
	advertised := n.PeerAddress()
	if c.settings.AdvertisedAddressFunc != nil {
		advertised = c.settings.AdvertisedAddressFunc(ident.ProcessID(id), advertised)
	}
	c.AddVM(vmlisthttp.VM{ID: id, Role: string(port.RoleEntry), Address: advertised, Zone: string(c.zone(zone))})
	go func() {
		defer close(running.done)
		if err := n.Run(ctx); err != nil {
			c.settings.Log.Error("entry process failed", "process", id, "error", err)
		}
	}()
	return running, nil
}

// Stop drains the process and waits until it has stopped.
func (n *Node) Stop() {
	n.stop()
	<-n.done
}

// Kill stops the process immediately, without draining it, and waits until it has stopped.
func (n *Node) Kill() {
	n.Node.Kill()
	<-n.done
}

// readyPollInterval is the interval at which the cell is polled until it is ready.
const readyPollInterval = 50 * time.Millisecond

// AwaitReady waits until every process is ready and connected to all others and every worker has an owner. Readiness
// alone is not enough: a process that read the VM list before the others were added is ready, but does not know them.
func (c *Cell) AwaitReady(ctx context.Context) error {
	for _, n := range c.Nodes {
		client := callerhttp.NewClient(n.CallerAddress(), "")
		for client.Ready(ctx) != nil {
			if !pause.For(ctx, readyPollInterval) {
				return fault.New(fault.NotReady, "process %s is not ready", n.ID)
			}
		}
	}
	for _, n := range c.Nodes {
		for !c.reachesAll(ctx, n) {
			if !pause.For(ctx, readyPollInterval) {
				return fault.New(fault.NotReady, "process %s is not connected to all other processes", n.ID)
			}
		}
	}
	for c.ownedWorkers(ctx) < len(c.Workers) {
		if !pause.For(ctx, readyPollInterval) {
			return fault.New(fault.NotReady, "only %d of %d workers have an owner", c.ownedWorkers(ctx), len(c.Workers))
		}
	}
	return nil
}

func (c *Cell) reachesAll(ctx context.Context, n *Node) bool {
	statuses, _ := n.CellStatus(ctx)
	return len(statuses) == len(c.Nodes)
}

func (c *Cell) ownedWorkers(ctx context.Context) int {
	statuses, _ := c.Nodes[0].CellStatus(ctx)
	ownedWorkers := 0
	for _, s := range statuses {
		ownedWorkers += len(s.Workers)
	}
	return ownedWorkers
}

// Close stops all processes and fakes.
func (c *Cell) Close() {
	var running sync.WaitGroup
	for _, n := range c.Nodes {
		running.Go(n.Kill)
	}
	running.Wait()
	for _, w := range c.Workers {
		w.Close()
	}
	if c.VMs != nil {
		c.VMs.Close()
	}
	if c.Store != nil {
		c.Store.Close()
	}
}

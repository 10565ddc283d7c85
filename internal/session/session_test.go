// Package session runs scenarios of several entry processes, workers and the store on a fake clock, and compares the
// resulting timeline with a golden file. The entry processes run the production code; only the network connections are
// replaced by in-memory ones.
package session

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"skylarkstall/examples"
	"skylarkstall/internal/app/configsync"
	"skylarkstall/internal/app/entry"
	"skylarkstall/internal/domain/ident"
	"skylarkstall/internal/domain/timeline"
	"skylarkstall/internal/fault"
	"skylarkstall/internal/node"
	"skylarkstall/internal/pause"
	"skylarkstall/internal/port"
	"skylarkstall/internal/standin/local"
	"skylarkstall/internal/standin/store"
	"skylarkstall/internal/standin/worker"

	"skylarkstall/internal/devcell"
)

var zones = []ident.Zone{"kochi-a", "kochi-b", "alappuzha"}

// scenario is a cell that runs on a fake clock, and the notes of the test that drives it.
type scenario struct {
	t           *testing.T
	startTime   time.Time
	ctx         context.Context
	network     *local.Network
	workers     *local.Workers
	store       *store.Store
	nodes       map[ident.ProcessID]*killableNode
	workersByID map[string]*local.Worker

	mu        sync.Mutex
	vms       []port.VM
	notes     []string
	requests  sync.WaitGroup // calls of callers in progress
	processes sync.WaitGroup // running entry processes
}

// killableNode is an entry process that a test can kill.
type killableNode struct {
	*node.Node
	stop     context.CancelFunc
	dialer   *local.WorkerDialer
	killedAt time.Time // zero while the process is running
}

// List implements port.VMList.
func (s *scenario) List(context.Context) ([]port.VM, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]port.VM(nil), s.vms...), nil
}

// runScenario starts a cell, runs the script on it, and compares the timeline and the notes with the golden file named
// after the test.
func runScenario(t *testing.T, processes, workers int, script func(*scenario)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := &scenario{
			t: t, startTime: time.Now(), ctx: ctx, network: local.NewNetwork(), workers: local.NewWorkers(),
			store: store.New(), nodes: map[ident.ProcessID]*killableNode{}, workersByID: map[string]*local.Worker{},
		}
		s.putDocument("vembanad", examples.Vembanad, 0)
		s.putDocument("goldfields", examples.Goldfields, 0)
		for i := range workers {
			s.addWorker(i)
		}
		for i := range processes {
			s.addVM(port.VM{ID: string(processID(i)), Role: port.RoleEntry, Address: string(processID(i)), Zone: zoneOf(i)})
		}
		for i := range processes {
			s.addNode(processID(i), zoneOf(i))
		}
		script(s)
		s.requests.Wait()
		rendered := s.renderTimeline()
		cancel()
		s.store.Close()
		s.processes.Wait()
		goldie.New(t).Assert(t, t.Name(), []byte(rendered))
	})
}

func (s *scenario) addWorker(i int) {
	id, zone := fmt.Sprintf("worker-%d", i+1), zoneOf(i)
	rack := ident.Rack(fmt.Sprintf("%s-rack-1", zone))
	s.workersByID[id] = s.workers.Add(s.ctx, id, devcell.DefaultCapacity, zone, rack)
	s.addVM(port.VM{ID: id, Role: port.RoleWorker, Address: id, Zone: zone, Rack: rack})
}

func (s *scenario) addVM(vm port.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = append(s.vms, vm)
}

func processID(i int) ident.ProcessID { return ident.ProcessID(fmt.Sprintf("entry-%d", i+1)) }

func zoneOf(i int) ident.Zone { return zones[i%len(zones)] }

func (s *scenario) addNode(id ident.ProcessID, zone ident.Zone) {
	dialer := s.workers.Dialer(id)
	n := node.NewWithPlatform(node.Settings{ID: id, Zone: zone, TimelineSize: 10_000}, node.Platform{
		Store: s.store.DirectClient(), VMs: s, Workers: dialer, Peers: s.network.Peers(id),
	}, slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(s.ctx)
	s.nodes[id] = &killableNode{Node: n, stop: stop, dialer: dialer}
	s.network.Join(ctx, id, n, n.Peering())
	s.processes.Go(func() { n.RunServices(ctx, pause.Until) })
}

// kill ends a process without draining it.
func (s *scenario) kill(id ident.ProcessID) {
	s.note("%s is killed", id)
	s.network.Kill(id)
	s.nodes[id].dialer.Disconnect()
	s.nodes[id].killedAt = time.Now()
	s.nodes[id].stop()
}

func (s *scenario) putDocument(team string, source []byte, expectedRevision ident.Revision) ident.Revision {
	revision, err := s.store.DirectClient().Put(s.ctx, configsync.KeyPrefix+team, source, expectedRevision, 0)
	if err != nil {
		s.t.Fatal(err)
	}
	return revision
}

// note adds a line written by the scenario itself to the timeline. Such lines begin with "--".
func (s *scenario) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notes = append(s.notes, s.formatLine(time.Now(), "-- "+fmt.Sprintf(format, args...)))
}

func (s *scenario) formatLine(at time.Time, text string) string {
	return fmt.Sprintf("%8.3f  %s", at.Sub(s.startTime).Seconds(), text)
}

// request sends a request through a process without waiting for the response, which is added as a note.
func (s *scenario) request(through ident.ProcessID, team, kind, id string, runTime time.Duration) {
	payload, err := json.Marshal(worker.Payload{RunMS: runTime.Milliseconds(), Echo: "done " + id})
	if err != nil {
		s.t.Fatal(err)
	}
	s.requests.Go(func() {
		outcome, err := s.nodes[through].RunRequest(s.ctx, entry.Request{
			Team: ident.TeamID(team), Token: team + "-dev-token", ID: ident.RequestID(id), Kind: kind, Payload: payload,
		})
		if !s.nodes[through].killedAt.IsZero() {
			return // the process was killed, so its caller gets no response
		}
		if err != nil {
			s.note("%s got %s through %s", id, fault.KindOf(err), through)
			return
		}
		s.note("%s got %q through %s", id, outcome.Output, through)
	})
}

// submit sends a job through a process without waiting for the response; a note tells whether the job was accepted.
func (s *scenario) submit(through ident.ProcessID, team, kind, id string, tasks uint32, taskRunTime time.Duration) {
	payload, err := json.Marshal(worker.Payload{RunMS: taskRunTime.Milliseconds(), Echo: "done"})
	if err != nil {
		s.t.Fatal(err)
	}
	s.requests.Go(func() {
		_, err := s.nodes[through].SubmitJob(s.ctx, entry.JobRequest{
			Team: ident.TeamID(team), Token: team + "-dev-token", ID: ident.RequestID(id), Kind: kind, Tasks: tasks,
			Payload: payload,
		})
		if err != nil {
			s.note("%s got %s through %s", id, fault.KindOf(err), through)
			return
		}
		s.note("%s is accepted through %s", id, through)
	})
}

// renderTimeline returns the timelines of all processes merged with the notes of the scenario. Lines with the same time
// are sorted by their text, because their order within one instant of the fake clock has no meaning.
func (s *scenario) renderTimeline() string {
	s.mu.Lock()
	lines := append([]string(nil), s.notes...)
	s.mu.Unlock()
	for _, n := range s.nodes {
		events, err := n.HandleEvents(s.ctx, timeline.Filter{})
		if err != nil {
			s.t.Fatal(err)
		}
		for _, e := range events {
			if !n.killedAt.IsZero() && e.At.Wall > n.killedAt.UnixNano() {
				continue // a killed process can report nothing
			}
			lines = append(lines, s.formatLine(time.Unix(0, e.At.Wall), formatEvent(e)))
		}
	}
	sort.Strings(lines)
	return strings.Join(lines, "\n") + "\n"
}

func formatEvent(e timeline.Event) string {
	text := fmt.Sprintf("%-8s %s", e.Process, e.Kind)
	if e.Work.Request != "" {
		text += " " + e.Work.String() + e.Task
	}
	if e.Worker != "" {
		text += " on " + string(e.Worker)
	}
	if e.Detail != "" {
		text += " (" + e.Detail + ")"
	}
	return text
}

// Package session runs whole sessions of several processes, workers and the store on a fake clock, and compares their
// time line with a golden file. The processes are the real ones; only the sockets are replaced.
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
	"skylarkstall/internal/port"
	"skylarkstall/internal/standin/local"
	"skylarkstall/internal/standin/store"
	"skylarkstall/internal/standin/worker"

	"skylarkstall/internal/devcell"
)

var zones = []ident.Zone{"kochi-a", "kochi-b", "alappuzha"}

// session is a cell on a fake clock.
type session struct {
	t       *testing.T
	began   time.Time
	ctx     context.Context
	network *local.Network
	workers *local.Workers
	store   *store.Store
	nodes   map[ident.ProcessID]*member
	byID    map[string]*local.Worker

	mu      sync.Mutex
	vms     []port.VM
	answers []string
	waiting sync.WaitGroup // requests
	running sync.WaitGroup // processes
}

type member struct {
	*node.Node
	stop context.CancelFunc
	link *local.WorkerDialer
	dead time.Time // zero while it runs
}

// List implements port.VMList.
func (s *session) List(context.Context) ([]port.VM, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]port.VM(nil), s.vms...), nil
}

// run plays a session and compares its time line and answers with the golden file of the test's name.
func run(t *testing.T, processes, workers int, play func(*session)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := &session{
			t: t, began: time.Now(), ctx: ctx, network: local.NewNetwork(), workers: local.NewWorkers(),
			store: store.New(), nodes: map[ident.ProcessID]*member{}, byID: map[string]*local.Worker{},
		}
		s.document("vembanad", examples.Vembanad, 0)
		s.document("goldfields", examples.Goldfields, 0)
		for i := range workers {
			s.addWorker(i)
		}
		for i := range processes {
			s.list(port.VM{ID: string(processID(i)), Role: port.RoleEntry, Address: string(processID(i)), Zone: zone(i)})
		}
		for i := range processes {
			s.addNode(processID(i), zone(i))
		}
		play(s)
		s.waiting.Wait()
		text := s.text()
		cancel()
		s.store.Close()
		s.running.Wait()
		goldie.New(t).Assert(t, t.Name(), []byte(text))
	})
}

func (s *session) addWorker(i int) {
	id, zone := fmt.Sprintf("worker-%d", i+1), zone(i)
	rack := ident.Rack(fmt.Sprintf("%s-rack-1", zone))
	s.byID[id] = s.workers.Add(s.ctx, id, devcell.DefaultCapacity, zone, rack)
	s.list(port.VM{ID: id, Role: port.RoleWorker, Address: id, Zone: zone, Rack: rack})
}

func (s *session) list(vm port.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = append(s.vms, vm)
}

func processID(i int) ident.ProcessID { return ident.ProcessID(fmt.Sprintf("entry-%d", i+1)) }

func zone(i int) ident.Zone { return zones[i%len(zones)] }

func (s *session) addNode(id ident.ProcessID, zone ident.Zone) {
	link := s.workers.Dialer(id)
	n := node.NewWithPlatform(node.Settings{ID: id, Zone: zone, TimelineSize: 10_000}, node.Platform{
		Store: s.store.DirectClient(), VMs: s, Workers: link, Peers: s.network.Peers(id),
	}, slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(s.ctx)
	s.nodes[id] = &member{Node: n, stop: stop, link: link}
	s.network.Join(ctx, id, n, n.Peering())
	s.running.Go(func() { n.RunServices(ctx) })
}

// kill ends a process without a chance to drain.
func (s *session) kill(id ident.ProcessID) {
	s.note("%s is killed", id)
	s.network.Kill(id)
	s.nodes[id].link.Disconnect()
	s.nodes[id].dead = time.Now()
	s.nodes[id].stop()
}

func (s *session) document(team string, source []byte, expect ident.Revision) ident.Revision {
	revision, err := s.store.DirectClient().Put(s.ctx, configsync.KeyPrefix+team, source, expect, 0)
	if err != nil {
		s.t.Fatal(err)
	}
	return revision
}

// note adds a line of the session's own to the time line.
func (s *session) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers = append(s.answers, s.line(time.Now(), "-- "+fmt.Sprintf(format, args...)))
}

func (s *session) line(at time.Time, text string) string {
	return fmt.Sprintf("%8.3f  %s", at.Sub(s.began).Seconds(), text)
}

// request sends a request through a process and notes its answer; it does not wait.
func (s *session) request(through ident.ProcessID, team, kind, id string, run time.Duration) {
	payload, err := json.Marshal(worker.Payload{RunMS: run.Milliseconds(), Echo: "done " + id})
	if err != nil {
		s.t.Fatal(err)
	}
	s.waiting.Go(func() {
		outcome, err := s.nodes[through].RunRequest(s.ctx, entry.Request{
			Team: ident.TeamID(team), Token: team + "-dev-token", ID: ident.RequestID(id), Kind: kind, Payload: payload,
		})
		if !s.nodes[through].dead.IsZero() {
			return // the caller's connection broke with the process
		}
		if err != nil {
			s.note("%s got %s through %s", id, fault.KindOf(err), through)
			return
		}
		s.note("%s got %q through %s", id, outcome.Output, through)
	})
}

// submit sends a job through a process and notes whether it was accepted.
func (s *session) submit(through ident.ProcessID, team, kind, id string, tasks uint32, each time.Duration) {
	payload, err := json.Marshal(worker.Payload{RunMS: each.Milliseconds(), Echo: "done"})
	if err != nil {
		s.t.Fatal(err)
	}
	s.waiting.Go(func() {
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

// text returns the time line of all processes with the session's own lines. Lines of one instant are sorted by their
// text, because their order within the instant has no meaning.
func (s *session) text() string {
	s.mu.Lock()
	lines := append([]string(nil), s.answers...)
	s.mu.Unlock()
	for _, n := range s.nodes {
		events, err := n.HandleEvents(s.ctx, timeline.Filter{})
		if err != nil {
			s.t.Fatal(err)
		}
		for _, e := range events {
			if !n.dead.IsZero() && e.At.Wall > n.dead.UnixNano() {
				continue // nobody hears of it
			}
			lines = append(lines, s.line(time.Unix(0, e.At.Wall), describe(e)))
		}
	}
	sort.Strings(lines)
	return strings.Join(lines, "\n") + "\n"
}

func describe(e timeline.Event) string {
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
